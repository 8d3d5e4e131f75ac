"""Reports exceptions that cost one step of the scheduling work, not the others."""

from __future__ import annotations

import sys
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, ParamSpec

from medlarspring_adapters.events import Event
from medlarspring_adapters.failure_streak import format_trace
from medlarspring_adapters.metrics import Metric

if TYPE_CHECKING:
    from collections.abc import Callable

    from medlarspring_adapters.clock import Clock
    from medlarspring_adapters.events import EventLog
    from medlarspring_adapters.metrics import Metrics
    from medlarspring_tables import Seconds

LOG_INTERVAL_SECONDS = 10.0
"""Shortest time between two lines for one step, which may fail ten times a second."""

P = ParamSpec("P")


class Step(Enum):
    """A step of the work that can fail by itself."""

    ROUND = "round"
    OCCURRENCES = "occurrences"
    LEASES = "leases"
    REPAIRS = "repairs"
    LISTING = "listing"
    LOST_RUNS = "lost_runs"
    WORKER_END = "worker_end"
    START = "start"
    ENCODING = "encoding"
    RECORD_WRITE = "record_write"
    RECORD_WRITTEN = "record_written"
    LINK_CLOSE = "link_close"
    CONTROLLER_STOP = "controller_stop"
    LOAD_REPORT = "load_report"
    ADVICE = "advice"
    VM_PLAN = "vm_plan"
    VM_OPERATION = "vm_operation"
    VM_REPORT = "vm_report"


@dataclass(slots=True)
class _Failures:
    """Failures of one step since its last line."""

    count: int = 0
    logged_at: Seconds = float("-inf")


class FailureLog:
    """Counts the failures of each step, and logs them at a bounded rate."""

    def __init__(self, log: EventLog, metrics: Metrics, clock: Clock) -> None:
        self._log = log
        self._metrics = metrics
        self._clock = clock
        self._failures_by_step: dict[Step, _Failures] = {}

    def attempt(
        self, step: Step, work: Callable[P, object], *args: P.args, **kwargs: P.kwargs
    ) -> bool:
        """Do ``work``, and report an exception; returns whether there was none."""
        try:
            work(*args, **kwargs)
        except Exception:
            self.report(step)
            return False
        return True

    def report(self, step: Step) -> None:
        """Report the exception that is being handled."""
        self._metrics.count(Metric.STEPS_FAILED)
        failures = self._failures_by_step.setdefault(step, _Failures())
        failures.count += 1
        now = self._clock.now()
        if now - failures.logged_at < LOG_INTERVAL_SECONDS:
            return
        self._log.error(
            Event.STEP_FAILED,
            step=step.value,
            failures=failures.count,
            trace=format_trace(sys.exception()),
        )
        failures.count = 0
        failures.logged_at = now


__all__ = ["FailureLog", "Step"]
