"""Tests of streams that are closed when their context ends."""

from __future__ import annotations

import asyncio
import logging

import pytest

from medlarspring_bench.streams import connect_streams, serve_streams

WAIT_SECONDS = 10.0


class BodyFailed(Exception):
    """Raised by a test inside the context."""


async def return_at_once(reader, writer):
    return


async def wait_forever(reader, writer):
    await asyncio.Event().wait()


async def fill_the_buffer(reader, writer):
    writer.write(b"x" * 20_000_000)
    writer.close()


async def wait_for_the_end(reader, writer):
    writer.write(b"x" * 20_000_000)
    writer.close()
    await writer.wait_closed()


async def read_to_the_end(reader, writer):
    await reader.readuntil(b"\n")


async def fail(reader, writer):
    raise ValueError("failed on purpose")


@pytest.mark.parametrize("body_fails", [False, True])
@pytest.mark.parametrize(
    "handler",
    [
        return_at_once,
        wait_forever,
        fill_the_buffer,
        wait_for_the_end,
        read_to_the_end,
        fail,
    ],
)
async def test_no_stream_is_open_after_the_context(handler, body_fails):
    """Guards against writers that are collected after their event loop has ended."""
    writers, tasks = [], []

    async def serve(reader, writer):
        writers.append(writer)
        tasks.append(asyncio.current_task())
        await handler(reader, writer)

    async def use_streams():
        async with (
            serve_streams(serve) as address,
            connect_streams(address) as (_, writer),
        ):
            writers.append(writer)
            async with asyncio.timeout(WAIT_SECONDS):
                while len(writers) < 2:
                    await asyncio.sleep(0)
            if body_fails:
                raise BodyFailed

    if body_fails:
        with pytest.raises(BodyFailed):
            await use_streams()
    else:
        await use_streams()
    assert [writer.get_extra_info("socket").fileno() for writer in writers] == [-1, -1]
    assert [task.done() for task in tasks] == [True]


async def test_connection_stays_open_when_its_handler_returns():
    async with (
        serve_streams(return_at_once) as address,
        connect_streams(address) as (reader, _),
    ):
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(reader.read(), 0.1)


async def test_failed_handler_is_logged_and_closes_its_connection(caplog):
    async with (
        serve_streams(fail) as address,
        connect_streams(address) as (reader, _),
    ):
        assert await asyncio.wait_for(reader.read(), WAIT_SECONDS) == b""
    assert [record.levelno for record in caplog.records] == [logging.ERROR]
