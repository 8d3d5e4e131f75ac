"""Tests of closed channels and of calls that timed out."""

from __future__ import annotations

import asyncio
import socket

import pytest
from aiohttp import web

from medlarspring_adapters.http_channel import HttpChannel, Unanswered


async def test_closing_leaves_no_connection_open():
    """
    Guards against connections that stay open at shutdown: a close task that is
    cancelled before it starts does not close its session, and the library logs a
    warning for each connection.
    """
    served = web.Server(lambda _: asyncio.sleep(0, web.Response()))
    runner = web.ServerRunner(served)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    host, port = runner.addresses[0][:2]
    channel = HttpChannel(f"{host}:{port}")
    assert (await channel.call("GET", "/", 1.0)).status == 200
    session = channel._session
    assert session is not None
    await channel.close()
    assert session.closed
    await runner.cleanup()


async def test_call_that_timed_out_is_not_delivered_later():
    """
    Guards against an operation on a VM that is carried out after another process has
    operated on it. The call times out during a partition, and the kernel would send
    the rest of it when the partition ends.
    """
    received: list[bytes] = []
    may_read, is_over = asyncio.Event(), asyncio.Event()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await may_read.wait()
        try:
            while data := await reader.read(65_536):
                received.append(data)
        except ConnectionError:
            pass
        finally:
            writer.close()
            is_over.set()

    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        listener.bind(("127.0.0.1", 0))
        server = await asyncio.start_server(serve, sock=listener, limit=1_024)
        host, port = listener.getsockname()
        channel = HttpChannel(f"{host}:{port}", drops_unsent=True)
        body = b"x" * 400_000
        with pytest.raises(Unanswered):
            await channel.call("POST", "/", 0.2, body=body)
        await channel.close()
        may_read.set()
        await asyncio.wait_for(is_over.wait(), 5.0)
        server.close()
    assert sum(map(len, received)) < len(body)
