"""Finds out which workers' lives are over, and gives up what ran in them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

from returns.pipeline import is_successful

from medlarspring_adapters.events import Event
from medlarspring_daemon.scheduling.run_log import log_lost, log_worker_gone
from medlarspring_systems.scheduling.crashes import (
    may_have_caused_crash,
    record_vanished_run,
    record_worker_end,
)
from medlarspring_systems.scheduling.runs import detach_run
from medlarspring_systems.scheduling.workers import (
    apply_vm_list,
    end_incarnation,
    have_recorded_runs_lapsed,
    is_lease_over,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from medlarspring_daemon.scheduling.context import SchedulingNode
    from medlarspring_tables import Seconds
    from medlarspring_tables.scheduling import Run, Worker, WorkTables

LIST_SECONDS = 1.0
"""The VM list is read so often when nothing is amiss."""
LOOK_SECONDS = 0.15
"""Shortest time between two readings when a worker is silent."""


class LivesOwner(Protocol):
    """What is told the controller."""

    tables: WorkTables

    def note_lost(self, runs: Iterable[Run]) -> None:
        """Record that runs are over without an end, and plan anew."""
        ...

    def drop_link(self, worker: Worker) -> None:
        """Close the connections to a worker that is gone."""
        ...


class WorkerLives:
    """Reads the VM list, and watches leases run out."""

    def __init__(self, node: SchedulingNode, owner: LivesOwner) -> None:
        self._node = node
        self._owner = owner
        self._asked_at: Seconds = 0.0
        self._look = asyncio.Event()

    def look_soon(self) -> None:
        """Read the VM list before its time."""
        self._look.set()

    async def run(self) -> None:
        """Read the list again and again until cancelled."""
        while True:
            await self._read_list()
            try:
                async with asyncio.timeout(LIST_SECONDS):
                    await self._look.wait()
            except TimeoutError:
                continue
            wait = self._asked_at + LOOK_SECONDS - self._node.clock.now()
            await asyncio.sleep(max(wait, 0.0))

    def drop_lapsed(self, now: Seconds) -> None:
        """Give up the runs of silent workers whose lease has certainly ended."""
        for worker in list(self._owner.tables.workers_by_id.values()):
            if self._has_lapsed(worker, now):
                lost = list(worker.runs.values())
                for run in lost:
                    if may_have_caused_crash(run, now):
                        record_vanished_run(run)
                    detach_run(self._owner.tables, run, now)
                self._give_up(lost, "lease lapsed")

    def _has_lapsed(self, worker: Worker, now: Seconds) -> bool:
        if have_recorded_runs_lapsed(worker, self._node.limits.worker_lease, now):
            return True
        return bool(worker.unanswered_since) and is_lease_over(worker, now)

    async def _read_list(self) -> None:
        self._look.clear()
        self._asked_at = self._node.clock.now()
        listed = await self._node.lifecycle.list_vms()
        if not is_successful(listed):
            self._node.log.warning(
                Event.VM_LIST_UNANSWERED, fault=listed.failure().message()
            )
            return
        tables = self._owner.tables
        over = apply_vm_list(tables, listed.unwrap(), self._asked_at)
        # Idle ones first: they tell an outage from what a task did.
        for worker in sorted(over, key=lambda worker: len(worker.runs)):
            self._end(worker, "its VM has ended this life")

    def _end(self, worker: Worker, reason: str) -> None:
        tables = self._owner.tables
        now = self._node.clock.now()
        verdict = record_worker_end(tables, worker, now)
        log_worker_gone(self._node, worker, reason, tables.vms_read_at, verdict)
        lost = end_incarnation(tables, worker, now)
        self._give_up(lost, reason)
        self._owner.drop_link(worker)

    def _give_up(self, lost: list[Run], reason: str) -> None:
        for run in lost:
            log_lost(self._node, run, reason)
        self._owner.note_lost(lost)


__all__ = ["LivesOwner", "WorkerLives"]
