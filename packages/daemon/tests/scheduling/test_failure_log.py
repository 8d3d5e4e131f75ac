from __future__ import annotations

import io
import json

from medlarspring_adapters.clock import ManualClock
from medlarspring_adapters.events import create_event_log
from medlarspring_adapters.metrics import NoMetrics
from medlarspring_daemon.scheduling.failure_log import FailureLog, Step
from medlarspring_tables import EntryVMId

MAX_TRACE_CHARS = 4_000


def test_trace_of_a_deep_recursion_is_bounded():
    """Guards against a step that fills the log with the frames of a recursion."""

    def walk(depth: int) -> int:
        return descend(depth + 1)

    def descend(depth: int) -> int:
        return walk(depth + 1)

    lines = io.StringIO()
    log = create_event_log(EntryVMId("e"), "ERROR", lines)
    failures = FailureLog(log, NoMetrics(), ManualClock())
    assert not failures.attempt(Step.ROUND, walk, 0)
    trace = json.loads(lines.getvalue())["trace"]
    assert "RecursionError" in trace
    assert len(trace) < MAX_TRACE_CHARS
