"""Tests that closing a channel closes its connections."""

from __future__ import annotations

import asyncio

from aiohttp import web

from medlarspring_adapters.http_channel import HttpChannel


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
