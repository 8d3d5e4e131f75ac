"""An exception in one part of a controller must not leave the cell without service."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import pytest

from medlarspring_bench.platform_world.calls import SimulatedOrders
from medlarspring_bench.platform_world.store import SimulatedStore
from medlarspring_daemon.scheduling.controller import CellController
from medlarspring_daemon.scheduling.election import Election
from medlarspring_daemon.scheduling.job_record_writer import JobRecordWriter
from medlarspring_daemon.scheduling.worker_links import WorkerLinks

from .scenarios import run_scenario, submit, wait_for_end

if TYPE_CHECKING:
    from collections.abc import Callable

    from medlarspring_adapters.store import Transaction
    from medlarspring_bench.platform_world.customers import Customers
    from medlarspring_bench.platform_world.world import World
    from medlarspring_tables import JobId
    from medlarspring_tables.scheduling import ActiveJob

SEED = 37
STEP_DOWN_SECONDS = 5.0
"""Time in which another process takes the cell after its holder stepped down."""


class InjectedError(Exception):
    """The fault that these tests inject."""


def fail_once(
    monkeypatch: pytest.MonkeyPatch,
    owner: type,
    method: str,
    is_hit: Callable[..., bool] = lambda *_: True,
    error: BaseException | None = None,
) -> list[str]:
    """Make a method raise at the first call that is hit; returns the calls hit."""
    hits: list[str] = []
    original = getattr(owner, method)

    def call(instance: Any, *args: Any, **options: Any) -> Any:
        if not hits and is_hit(*args):
            hits.append(method)
            raise error or InjectedError
        return original(instance, *args, **options)

    monkeypatch.setattr(owner, method, call)
    return hits


@pytest.mark.parametrize("way", ["step-down", "stop", "superseded"])
def test_cell_is_served_after_its_controllers_stop_failed(
    way: str, monkeypatch: pytest.MonkeyPatch
):
    """Guards against a process that keeps a cell whose controller it has dropped."""

    async def scenario(world: World, customers: Customers) -> None:
        name = world.find_controller()
        assert name is not None
        hits = fail_once(monkeypatch, JobRecordWriter, "close")
        if way == "stop":
            await world.stop_node(name)
        elif way == "superseded":
            world.revoke_controller()
        else:
            monkeypatch.setattr(Election, "_should_step_down", lambda _: not hits)
        await asyncio.sleep(STEP_DOWN_SECONDS)
        await wait_for_end(customers, await submit(customers))
        assert hits

    run_scenario(scenario, SEED)


def test_cell_is_served_while_its_former_controllers_stop_hangs(
    monkeypatch: pytest.MonkeyPatch,
):
    """Guards against a cell that nobody serves since a connection never closes."""

    async def hang(_: WorkerLinks) -> None:
        await asyncio.Event().wait()

    async def scenario(world: World, customers: Customers) -> None:
        with monkeypatch.context() as patch:
            patch.setattr(WorkerLinks, "close_all", hang)
            world.revoke_controller()
            await asyncio.sleep(STEP_DOWN_SECONDS)
        await wait_for_end(customers, await submit(customers))

    run_scenario(scenario, SEED)


def is_progress_write(transaction: Transaction) -> bool:
    return any(write.key.startswith("progress/") for write in transaction.writes)


CALLS: dict[str, tuple[type, str, Callable[..., bool]]] = {
    "record-write": (SimulatedStore, "commit", is_progress_write),
    "start-order": (SimulatedOrders, "start", lambda *_: True),
    "hold-call": (SimulatedOrders, "hold", lambda *_: True),
}


@pytest.mark.parametrize("error", [InjectedError(), asyncio.CancelledError()])
@pytest.mark.parametrize("name", CALLS)
def test_jobs_complete_after_one_call_raised(
    name: str, error: BaseException, monkeypatch: pytest.MonkeyPatch
):
    """Guards against a job that waits forever for a call that raised."""

    async def scenario(world: World, customers: Customers) -> None:
        hits = fail_once(monkeypatch, *CALLS[name], error=error)
        await wait_for_end(customers, await submit(customers))
        assert hits

    run_scenario(scenario, SEED)


@pytest.mark.parametrize(
    ("owner", "method"),
    [(JobRecordWriter, "_encode"), (CellController, "_handle_record_written")],
    ids=["encode", "written"],
)
def test_others_are_served_while_one_jobs_record_raises(
    owner: type, method: str, monkeypatch: pytest.MonkeyPatch
):
    """Guards against one job's record that keeps all others from being written."""
    failing: list[JobId] = []
    original = getattr(owner, method)

    def call(instance: Any, job: ActiveJob) -> Any:
        if job.id in failing:
            raise InjectedError
        return original(instance, job)

    monkeypatch.setattr(owner, method, call)

    async def scenario(world: World, customers: Customers) -> None:
        job_id, spec = customers.create_long_running(2)
        failing.append(job_id)
        assert await customers.submit("lookup", job_id, spec)
        await wait_for_end(customers, await submit(customers, 16))

    run_scenario(scenario, SEED)
