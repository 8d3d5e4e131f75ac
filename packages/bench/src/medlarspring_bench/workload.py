"""A seeded mixed batch of requests of an example's partners."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from medlarspring_bench.callers import CallSpec

if TYPE_CHECKING:
    from collections.abc import Callable

    from medlarspring_bench.callers import Callers
    from medlarspring_bench.example import Platform, RequestKind

BODY_BYTES = 200


def create_call_specs(
    platform: Platform, count: int, seed: int, prefix: str = "call"
) -> list[CallSpec]:
    """Return calls of all partners in turn, with kinds drawn by their share."""
    rng = random.Random(seed)
    partners = list(platform.credentials)
    shares = [kind.share for kind in platform.requests]
    return [
        _create_call_spec(
            f"{prefix}-{number}",
            partners[number % len(partners)],
            platform,
            rng.choices(platform.requests, shares)[0],
            rng,
        )
        for number in range(count)
    ]


def _create_call_spec(
    id_: str, partner: str, platform: Platform, kind: RequestKind, rng: random.Random
) -> CallSpec:
    safe = kind.method == "GET"
    return CallSpec(
        id=id_,
        partner=partner,
        credential=platform.credentials[partner],
        method=kind.method,
        path=f"/{kind.service}{kind.path}/{id_}?work_ms={kind.work_ms:g}",
        body=b""
        if safe
        else f"{kind.kind} {id_} ".encode() + rng.randbytes(BODY_BYTES),
        key=f"{kind.kind}-{id_}-{rng.getrandbits(64):016x}" if kind.keyed else "",
        urgency=kind.urgency,
    )


async def send_paced(
    callers: Callers,
    call_specs: list[CallSpec],
    seconds: float,
    on_sent: Callable[[int], None] | None = None,
) -> None:
    """Start calls evenly over a time, without waiting for earlier ones."""
    loop = asyncio.get_running_loop()
    start = loop.time()
    async with asyncio.TaskGroup() as group:
        for number, call_spec in enumerate(call_specs):
            due = start + seconds * number / len(call_specs)
            await asyncio.sleep(max(0.0, due - loop.time()))
            group.create_task(callers.make(call_spec))
            if on_sent is not None:
                on_sent(number)


__all__ = ["create_call_specs", "send_paced"]
