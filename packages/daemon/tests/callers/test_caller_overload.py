from __future__ import annotations

import asyncio
import random

from .conftest import encode_answer

RATE = 105.0
"""Requests per second; two upstreams with 8 slots each serve about 140."""
WARM_UP_SECONDS = 1.5
SETTLE_SECONDS = 2.5
MEASURED_SECONDS = 2.0


async def test_lost_connections_at_high_load_do_not_cause_congestion_collapse(bench):
    """All open connections stop responding at three quarters of the capacity. The
    requests on them time out and their slots stay in use for a while, so that other
    requests wait longer. If these were then stopped early because little time is
    left, their slots would be lost too, and a service with healthy upstreams would
    answer no request."""
    rng = random.Random(1)
    loop = asyncio.get_running_loop()
    unresponsive_from = float("inf")

    def is_unresponsive(opened_at: float) -> bool:
        return opened_at < unresponsive_from <= loop.time()

    async def work(reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        opened_at = loop.time()
        while await reader.readline():
            await reader.readuntil(b"\r\n\r\n")
            await asyncio.sleep(0.1 * rng.lognormvariate(0.0, 0.5))
            if is_unresponsive(opened_at):
                await asyncio.sleep(60)
            writer.write(encode_answer(b"ok"))

    async def ask() -> bool:
        try:
            async with asyncio.timeout(1.0):
                return (await entry_vm.ask(Request_Timeout="1.0")).status == 200
        except TimeoutError:
            return False

    async def send_for(seconds: float) -> float:
        asked = []
        end = loop.time() + seconds
        while loop.time() < end:
            asked.append(asyncio.create_task(ask()))
            await asyncio.sleep(1 / RATE)
        return sum(await asyncio.gather(*asked)) / len(asked)

    for _ in range(2):
        await bench.add_raw_upstream(work)
    entry_vm = await bench.start_entry_vm()
    await send_for(WARM_UP_SECONDS)
    unresponsive_from = loop.time()
    await send_for(SETTLE_SECONDS)
    assert await send_for(MEASURED_SECONDS) >= 0.9
