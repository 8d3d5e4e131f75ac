"""Log lines and counts of runs that are copied or moved off slow workers."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from medlarspring_adapters.events import Event
from medlarspring_adapters.metrics import Metric
from medlarspring_daemon.scheduling.run_log import log_run_ended, log_straggler
from medlarspring_systems.scheduling.stragglers import Straggler, StragglerAction
from medlarspring_systems.scheduling.worker_pace import Projection
from medlarspring_tables.scheduling import RunEnd

NOW = 1_000.0


class RecordingNode:
    """A node that keeps its log lines and counts."""

    def __init__(self) -> None:
        self.lines: list[tuple[Event, dict[str, Any]]] = []
        self.counts: list[Metric] = []
        self.clock = SimpleNamespace(now=lambda: NOW)
        self.metrics = SimpleNamespace(count=self.counts.append)
        self.log = SimpleNamespace(info=self._record)

    def _record(self, event: Event, **fields: Any) -> None:
        self.lines.append((event, fields))


def create_run(**changes: Any) -> Any:
    values = {
        "task": SimpleNamespace(id="j.0.0.0", failures=0),
        "worker": SimpleNamespace(id="i-1"),
        "number": 1,
        "percent": 28,
        "copy": False,
        "stopping": False,
        "stop_reason": "",
    }
    return SimpleNamespace(**{**values, **changes})


@pytest.mark.parametrize(
    ("action", "counts"),
    [
        (StragglerAction.COPY, []),
        (StragglerAction.MOVE, [Metric.RUNS_MOVED_OFF_SLOW]),
    ],
)
def test_line_holds_the_figures_of_the_decision(action, counts):  # type: ignore[no-untyped-def]
    node: Any = RecordingNode()
    projection = Projection(
        run=create_run(),
        total=14.0,
        ends_at=NOW + 10.08,
        expected=2.0,
        slow=True,
        by_siblings=True,
    )
    target: Any = SimpleNamespace(id="i-2")
    log_straggler(node, Straggler(projection, action, 7.0, target))
    ((event, fields),) = node.lines
    assert event is Event.RUN_ON_SLOW_WORKER
    assert fields == {
        "task": "j.0.0.0",
        "run": 1,
        "worker": "i-1",
        "action": action.value,
        "target": "i-2",
        "percent": 28,
        "projected_s": 10.08,
        "expected_s": 2.0,
        "slowness": 7.0,
    }
    assert node.counts == counts


@pytest.mark.parametrize(
    ("changes", "end", "won"),
    [
        ({"copy": True}, RunEnd.DONE, True),
        ({"copy": True, "stopping": True}, RunEnd.DONE, False),
        ({"copy": True, "stopping": True}, RunEnd.STOPPED, False),
        ({}, RunEnd.DONE, False),
    ],
)
def test_only_a_copy_that_ends_first_has_won(changes, end, won):  # type: ignore[no-untyped-def]
    node: Any = RecordingNode()
    log_run_ended(node, create_run(**changes), end)
    assert (Metric.RUN_COPIES_WON in node.counts) is won
