"""A worker of the emulated platform: lease, fencing token, runs and their ends."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from medlarspring_adapters.worker_orders import (
    HoldAnswer,
    HoldOrder,
    OrderAnswer,
    OrderRefusal,
    StartOrder,
    StopOrder,
)
from medlarspring_tables.scheduling import EndedRow, Resources, RunEnd, RunningRow

if TYPE_CHECKING:
    from collections.abc import Callable

    from medlarspring_tables import PoolId, Seconds, VMId
    from medlarspring_tables.scheduling import Milliseconds, StepSpec, WorkerId

HOLD_MAX_MS = 10_000
STOP_SECONDS = 0.1
STARTUP_SECONDS = 0.9
"""Time from the start of a long-running task until it reports full progress."""


class WorkerBehavior(Enum):
    """How a worker executes its tasks."""

    SOUND = "sound"
    FAILING = "failing"
    """Fails each task shortly after its start."""
    HANGING = "hanging"
    """Accepts tasks, but they make no progress."""


@dataclass(slots=True)
class TaskFacts:
    """Actual properties of a task, hidden from the scheduling services."""

    spec: StepSpec
    seconds: Seconds
    unrunnable: bool = False
    crashes_after: Seconds | None = None
    """Time after each start at which it crashes its worker; None: never."""


@dataclass(slots=True)
class WorkerRun:
    """One run on the worker."""

    task_id: str
    number: int
    facts: TaskFacts
    payload: str
    started_at: Seconds
    progress: float = 0.0
    advanced_at: Seconds = 0.0
    stopping_at: Seconds | None = None


@dataclass(slots=True)
class WorkerModel:
    """One incarnation of a worker; the next one may have the same id."""

    id: WorkerId
    born_ms: Milliseconds
    vm_id: VMId
    pool_id: PoolId
    rack: str
    address: str
    resources: Resources
    labels: tuple[str, ...]
    find_facts: Callable[[str], TaskFacts | None]
    accepts_ticket: Callable[[WorkerModel, StartOrder], bool]
    """Returns whether an order may start by its ticket, or needs none."""
    on_start: Callable[[WorkerModel, StartOrder], None]
    on_end: Callable[[WorkerModel, WorkerRun, RunEnd], None]
    on_acknowledge: Callable[[WorkerModel, int], None]
    on_crash: Callable[[WorkerModel, Seconds], None]
    """Called when a crashing task starts, with the seconds until the crash."""
    clock_offset: Seconds = 0.0
    clock_rate: float = 1.0
    born_at: Seconds = 0.0
    alive: bool = True
    draining: bool = False
    behavior: WorkerBehavior = WorkerBehavior.SOUND
    slowness: float = 1.0
    fence: int = 0
    lease_ms: int = 0
    hold_max_ms: Milliseconds = HOLD_MAX_MS
    """Length to which it shortens longer leases."""
    runs: dict[tuple[str, int], WorkerRun] = field(default_factory=dict)
    ended: list[EndedRow] = field(default_factory=list)
    next_end: int = 1
    acknowledged: int = 0
    lapsed_at: Seconds = float("-inf")
    """When a lease last expired, with or without active runs."""
    enforces_resources: bool = True
    """Whether it refuses tasks beyond its free resources, or starts every task."""
    refused_up_to: dict[str, int] = field(default_factory=dict)
    """Highest run number stopped or ended, by task."""

    def clock_ms(self, now: Seconds) -> int:
        """Return the time of the worker's own monotonic clock in milliseconds."""
        elapsed = (now - self.born_at) * self.clock_rate
        return round((self.clock_offset + elapsed) * 1_000)

    def start(self, order: StartOrder, now: Seconds) -> OrderAnswer:
        """Start a run, or refuse it."""
        self.advance(now)
        clock = self.clock_ms(now)
        if order.fence < self.fence:
            return OrderAnswer(clock, OrderRefusal.FENCE)
        self.fence = order.fence
        if order.not_after_ms < clock:
            return OrderAnswer(clock, OrderRefusal.LATE)
        self._extend(order.not_after_ms, clock)
        if (order.task_id, order.run) in self.runs:
            return OrderAnswer(clock)
        if order.run <= self.refused_up_to.get(order.task_id, 0):
            return OrderAnswer(clock, OrderRefusal.OLD)
        facts = self.find_facts(order.task_id)
        if facts is None:
            return OrderAnswer(clock, OrderRefusal.INVALID)
        if self.enforces_resources and not self._has_room(facts.spec):
            return OrderAnswer(clock, OrderRefusal.ROOM)
        if not self.accepts_ticket(self, order):
            return OrderAnswer(clock, OrderRefusal.TICKET)
        self.on_start(self, order)
        self.runs[(order.task_id, order.run)] = WorkerRun(
            order.task_id, order.run, facts, order.payload, now, advanced_at=now
        )
        if facts.crashes_after is not None:
            self.on_crash(self, facts.crashes_after)
        return OrderAnswer(clock)

    def stop(self, order: StopOrder, now: Seconds) -> OrderAnswer:
        """Stop a run, and refuse to start it from now on."""
        self.advance(now)
        clock = self.clock_ms(now)
        if order.fence < self.fence:
            return OrderAnswer(clock, OrderRefusal.FENCE)
        self.fence = order.fence
        highest = max(self.refused_up_to.get(order.task_id, 0), order.run)
        self.refused_up_to[order.task_id] = highest
        run = self.runs.get((order.task_id, order.run))
        if run is not None and run.stopping_at is None:
            run.stopping_at = now + STOP_SECONDS
        return OrderAnswer(clock)

    def hold(self, order: HoldOrder, now: Seconds) -> HoldAnswer:
        """Extend the lease and return the active runs and the unacknowledged ends."""
        self.advance(now)
        clock = self.clock_ms(now)
        if order.fence < self.fence:
            return HoldAnswer(clock, OrderRefusal.FENCE, born_ms=self.born_ms)
        self.fence = order.fence
        self._extend(order.lease_until_ms, clock)
        if order.acknowledged > self.acknowledged:
            self.acknowledged = order.acknowledged
            self.on_acknowledge(self, order.acknowledged)
            self.ended = [row for row in self.ended if row.number > self.acknowledged]
        running = tuple(
            RunningRow(run.task_id, run.number, "", self._percent(run, now))
            for run in self.runs.values()
        )
        return HoldAnswer(clock, None, running, tuple(self.ended), self.born_ms)

    def advance(self, now: Seconds) -> None:
        """End all runs if the lease has expired; otherwise advance each run to now."""
        over_ms = self.clock_ms(now) - self.lease_ms
        if self.lease_ms and over_ms > 0:
            self.lapsed_at = now - over_ms / 1_000.0
        if self.runs and over_ms > 0:
            for run in list(self.runs.values()):
                self._end(run, RunEnd.LAPSED)
            return
        for run in list(self.runs.values()):
            self._advance_run(run, now)

    def _advance_run(self, run: WorkerRun, now: Seconds) -> None:
        if run.stopping_at is not None and now >= run.stopping_at:
            self._end(run, RunEnd.STOPPED)
            return
        elapsed = now - run.advanced_at
        run.advanced_at = now
        if self.behavior is WorkerBehavior.HANGING:
            return
        run.progress += elapsed / self.slowness
        if self.behavior is WorkerBehavior.FAILING or run.facts.unrunnable:
            if now - run.started_at > 0.1:  # noqa: PLR2004
                self._end(run, RunEnd.FAILED)
            return
        if not run.facts.spec.long_running and run.progress >= run.facts.seconds:
            self._end(run, RunEnd.DONE)

    def _percent(self, run: WorkerRun, now: Seconds) -> int:
        if run.facts.spec.long_running:
            return 100 if run.progress >= STARTUP_SECONDS else 0
        return min(int(100 * run.progress / run.facts.seconds), 99)

    def _end(self, run: WorkerRun, end: RunEnd) -> None:
        del self.runs[(run.task_id, run.number)]
        highest = max(self.refused_up_to.get(run.task_id, 0), run.number)
        self.refused_up_to[run.task_id] = highest
        self.ended.append(EndedRow(self.next_end, run.task_id, run.number, end, ""))
        self.next_end += 1
        self.on_end(self, run, end)
        if self.ended[-1].number <= self.acknowledged:
            # The acknowledged number is ahead of the ends, so this one counts as
            # acknowledged immediately.
            self.ended.pop()
            self.on_acknowledge(self, self.acknowledged)

    def _extend(self, until_ms: int, clock_ms: int) -> None:
        capped = min(until_ms, clock_ms + self.hold_max_ms)
        self.lease_ms = max(self.lease_ms, capped)

    def sum_resources_with(self, spec: StepSpec) -> Resources:
        """Return the resources of one more run and all runs, stopping ones included."""
        specs = [spec, *(run.facts.spec for run in self.runs.values())]
        return Resources(
            sum(each.cpu_millis for each in specs if not each.uses_leftover),
            sum(each.memory_mb for each in specs),
        )

    def _has_room(self, spec: StepSpec) -> bool:
        needed = self.sum_resources_with(spec)
        return (
            needed.cpu_millis <= self.resources.cpu_millis
            and needed.memory_mb <= self.resources.memory_mb
        )


__all__ = ["HOLD_MAX_MS", "TaskFacts", "WorkerBehavior", "WorkerModel", "WorkerRun"]
