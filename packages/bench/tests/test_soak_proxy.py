"""Tests of the soak's TCP proxy."""

from __future__ import annotations

import asyncio
import socket

import pytest

from medlarspring_bench.soak.proxy import Link
from medlarspring_bench.streams import connect_streams

WAIT_SECONDS = 10.0


async def wait_for_new_task(before: set[asyncio.Task]) -> asyncio.Task:
    async with asyncio.timeout(WAIT_SECONDS):
        while not (new := asyncio.all_tasks() - before):
            await asyncio.sleep(0.005)
    return new.pop()


@pytest.mark.parametrize("end", ["cancel the task", "close the link"])
async def test_client_of_an_unresponsive_target_is_disconnected_at_the_end(end):
    """Guards against client connections that stay open when their link ends."""
    with socket.socket() as target, socket.socket() as queued:
        target.bind(("127.0.0.1", 0))
        target.listen(0)  # its queue is full with one connection
        queued.connect(target.getsockname())
        link = Link("{}:{}".format(*target.getsockname()))
        await link.open()
        before = asyncio.all_tasks()
        async with connect_streams(link.address) as (reader, _):
            accepted = await wait_for_new_task(before)
            await asyncio.sleep(0)  # begin to connect
            if end == "cancel the task":
                accepted.cancel()
            else:
                await link.close()
            with pytest.raises(ConnectionResetError):
                await asyncio.wait_for(reader.read(), WAIT_SECONDS)
        await link.close()
