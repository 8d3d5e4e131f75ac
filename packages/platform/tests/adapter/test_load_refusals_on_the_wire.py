"""A submission that is refused for load, at the customers' port."""

from __future__ import annotations

import asyncio
import json
import time
from typing import TYPE_CHECKING

import msgspec

from medlarspring_bench.key_value_ops import PutOp
from medlarspring_bench.platform_world.partners import PartnerPlan
from medlarspring_bench.platform_world.plans import WorldPlan
from medlarspring_systems.scheduling.load_admission import MAX_RETRY_AFTER_SECONDS
from medlarspring_tables import PartnerId, PoolId
from medlarspring_tables.scheduling import LoadRecord, WaitForecast

from .conftest import BODY, open_frontend

if TYPE_CHECKING:
    from .conftest import Frontend, Platform

KEY = "key-of-ziwa"
PLAN = WorldPlan(
    partners=(
        PartnerPlan("ziwa", (KEY,)),
        PartnerPlan("pwani", ("key-of-pwani",)),
    ),
)


async def submit(frontend: Frontend, number: int) -> tuple[int, dict[str, str], str]:
    body = json.dumps(BODY).encode()
    path = f"/lookup/{number:016x}"
    return await frontend.call("POST", path, body, f"Bearer {KEY}")


async def test_refusal_for_load_says_not_accepted_and_when_to_return(
    platform: Platform,
):
    async with open_frontend(platform, PLAN) as frontend:
        answer = await submit(frontend, 0)
        assert answer[0] == 200
        async with asyncio.timeout(5.0):
            number = 0
            while answer[0] == 200:
                wait = WaitForecast(PoolId("consent"), 0, PartnerId("ziwa"), 60_000)
                record = LoadRecord(at_ms=round(time.time() * 1_000), waits=(wait,))
                platform.state.apply(PutOp(b"load/0", msgspec.json.encode(record)))
                await asyncio.sleep(0.05)
                number += 1
                answer = await submit(frontend, number)
        status, problem, retry_after = answer
        assert status == 429
        assert problem["error"] == "share-exceeded"
        assert problem["message"].startswith("The job was not accepted")
        assert "with the same id" in problem["message"]
        assert 1 <= int(retry_after) <= MAX_RETRY_AFTER_SECONDS
        path = f"/lookup/{number:016x}"
        assert (await frontend.call("GET", path, None, f"Bearer {KEY}"))[0] == 410
        assert (await submit(frontend, 0))[0] == 200
