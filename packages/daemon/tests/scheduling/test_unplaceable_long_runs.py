"""A long-running task that fits nowhere must not stop batch work again and again."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import pytest

from medlarspring_tables.scheduling import StepSpec

from .scenarios import run_scenario, submit, wait_for_end

if TYPE_CHECKING:
    from medlarspring_bench.platform_world.customers import Customers
    from medlarspring_bench.platform_world.world import World

SEED = 31
WHOLE_MEMORY_MB = 32_768
UNPLACEABLE: dict[str, dict[str, Any]] = {
    "accelerator": {"count": 1, "accelerators": 1},
    "gang": {"count": 9, "gang": True},
    "label": {"count": 1, "required_label": "none-has-it"},
    "cpu": {"count": 1, "cpu_millis": 64_000},
    "several": {"count": 9},
}


@pytest.mark.parametrize("name", UNPLACEABLE)
def test_batch_jobs_complete_beside_an_unplaceable_long_running_job(name: str):
    """Guards against batch runs that are stopped for a task that can't use their room.

    In a random history, 667 runs were stopped in 30 s for a task that needed an
    accelerator; the pool has none.
    """
    step = StepSpec(long_running=True, memory_mb=WHOLE_MEMORY_MB, **UNPLACEABLE[name])

    async def scenario(world: World, customers: Customers) -> None:
        earlier = await submit(customers)
        assert await customers.submit("archive", *customers.create_job(step))
        await wait_for_end(customers, [*earlier, *await submit(customers)])

    run_scenario(scenario, SEED)
