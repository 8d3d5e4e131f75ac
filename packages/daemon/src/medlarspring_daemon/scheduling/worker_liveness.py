"""Finds workers whose incarnation has ended or whose leases expired.

The runs of these workers are reported to the controller as lost.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

from returns.pipeline import is_successful

from medlarspring_adapters.events import Event
from medlarspring_daemon.scheduling.failure_log import Step
from medlarspring_daemon.scheduling.run_log import log_run_lost, log_worker_gone
from medlarspring_systems.scheduling.crashes import (
    CrashAssessment,
    may_have_caused_crash,
    record_vanished_run,
    record_worker_end,
)
from medlarspring_systems.scheduling.runs import detach_run
from medlarspring_systems.scheduling.vm_list_pace import plan_refresh_interval
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

REFRESH_SECONDS = 1.0
"""Interval between reads of the VM list if no earlier read is requested."""


class LivenessOwner(Protocol):
    """The part of the cell's controller that the monitor uses."""

    tables: WorkTables

    def handle_lost_runs(self, runs: Iterable[Run]) -> None:
        """Record runs that are over without a listed end, and plan placement rounds."""
        ...

    def close_link(self, worker: Worker) -> None:
        """Close the connections to a worker that is gone."""
        ...


def assess_worker_end(
    node: SchedulingNode, tables: WorkTables, worker: Worker, now: Seconds
) -> CrashAssessment:
    """Count the end of a worker's incarnation; it is over also if that fails."""
    try:
        return record_worker_end(tables, worker, now)
    except Exception:
        # Another attempt would count the same end again.
        node.failures.report(Step.WORKER_END)
        return CrashAssessment(planned=False)


class WorkerLivenessMonitor:
    """Reads the VM list periodically, and detects expired leases."""

    def __init__(self, node: SchedulingNode, owner: LivenessOwner) -> None:
        self._node = node
        self._owner = owner
        self._requested_at: Seconds = 0.0
        self._interval = plan_refresh_interval(vms=0, took=0.0)
        """Shortest time between two reads while early reads are requested."""
        self._refresh_requested = asyncio.Event()

    def refresh_soon(self) -> None:
        """Request a read of the VM list before the regular interval has passed."""
        self._refresh_requested.set()

    async def run(self) -> None:
        """Read the VM list periodically until cancelled."""
        while True:
            await self._refresh()
            try:
                async with asyncio.timeout(REFRESH_SECONDS):
                    await self._refresh_requested.wait()
            except TimeoutError:
                continue
            wait = self._requested_at + self._interval - self._node.clock.now()
            await asyncio.sleep(max(wait, 0.0))

    def expire_leases(self, now: Seconds) -> None:
        """Detach runs whose lease has certainly expired, and report them as lost.

        Only workers that do not answer are considered.
        """
        for worker in list(self._owner.tables.workers_by_id.values()):
            self._node.failures.attempt(Step.LEASES, self._expire_lease, worker, now)

    def _expire_lease(self, worker: Worker, now: Seconds) -> None:
        if not self._has_expired(worker, now):
            return
        lost = list(worker.runs.values())
        for run in lost:
            if may_have_caused_crash(run, now):
                record_vanished_run(run)
            detach_run(self._owner.tables, run, now)
        self._report_lost(lost, "lease expired")

    def _has_expired(self, worker: Worker, now: Seconds) -> bool:
        longest = self._node.limits.worker_lease
        if have_recorded_runs_lapsed(self._owner.tables, worker, longest, now):
            return True
        return bool(worker.unanswered_since) and is_lease_over(worker, now)

    async def _refresh(self) -> None:
        self._refresh_requested.clear()
        self._requested_at = self._node.clock.now()
        listed = await self._node.lifecycle.list_vms()
        took = self._node.clock.now() - self._requested_at
        vms = len(self._owner.tables.vms_by_id)
        self._interval = plan_refresh_interval(vms, took)
        if not is_successful(listed):
            self._node.log.warning(
                Event.VM_LIST_UNANSWERED, fault=listed.failure().message()
            )
            return
        tables = self._owner.tables
        ended_workers = apply_vm_list(tables, listed.unwrap(), self._requested_at)
        # Idle workers come first: their end shows that an outage, not a task, is the
        # cause.
        for worker in sorted(ended_workers, key=lambda worker: len(worker.runs)):
            self._node.failures.attempt(
                Step.WORKER_END,
                self._end_incarnation,
                worker,
                "incarnation ended according to the VM list",
            )

    def _end_incarnation(self, worker: Worker, reason: str) -> None:
        tables = self._owner.tables
        now = self._node.clock.now()
        verdict = assess_worker_end(self._node, tables, worker, now)
        self._node.failures.attempt(
            Step.WORKER_END,
            log_worker_gone,
            self._node,
            worker,
            reason,
            tables.vms_read_at,
            verdict,
        )
        lost = end_incarnation(tables, worker, now)
        self._report_lost(lost, reason)
        self._owner.close_link(worker)

    def _report_lost(self, lost: list[Run], reason: str) -> None:
        attempt = self._node.failures.attempt
        for run in lost:
            attempt(Step.LOST_RUNS, log_run_lost, self._node, run, reason)
        self._owner.handle_lost_runs(lost)


__all__ = ["LivenessOwner", "WorkerLivenessMonitor", "assess_worker_end"]
