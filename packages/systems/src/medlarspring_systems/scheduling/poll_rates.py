"""Limits how often the workers of a cell are polled, however many they are.

Each worker is polled again as soon as it has answered, so that the number of polls
follows from how long the workers delay their answers. The more workers are polled for
the same reason, and the later this process is, the longer each of them waits. An end is
answered at once in any case.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from medlarspring_systems.scheduling.loop_delay import LoopDelay

if TYPE_CHECKING:
    from medlarspring_tables.scheduling import Milliseconds, WorkerId


class PollKind(Enum):
    """Why a worker is polled although none of its runs has ended."""

    REGULAR = "regular"
    """To renew its lease, and to notice when it is silent or its runs stall."""
    FREQUENT = "frequent"
    """To pace its best-effort runs, or until a long-running task serves."""
    UNRESOLVED = "unresolved"
    """While the outcome of a stop or an unanswered order is open."""
    STARTUP = "startup"
    """Until a long-running task that has moved serves; no sibling may move before."""
    UNRECORDED = "unrecorded"
    """While ends that it has listed wait to be recorded in the store."""


@dataclass(frozen=True, slots=True)
class _WaitLimits:
    shortest: Milliseconds
    longest: Milliseconds
    polls_per_second: int
    """Most polls of the cell, until each worker waits for the longest time."""


MAX_REGULAR_POLLS_PER_SECOND = 150
"""A call takes about 0.5 ms of processor time, which starts and ends need more."""
MAX_FREQUENT_POLLS_PER_SECOND = 100
"""Enough to poll 50 workers with a latency target twice a second."""
MAX_SHORT_POLLS_PER_SECOND = 100
"""Enough for the usual few open stops and orders of a cell. After an outage or a pause
of this process, nearly all of its workers have some."""
SHORTEST_WAIT_MS = 500
"""Workers report the progress of their runs twice a second."""
LONGEST_REGULAR_WAIT_MS = 1_500
"""With the timeout of a call, a silent worker is noticed within two seconds."""
LONGEST_FREQUENT_WAIT_MS = 1_000
"""Four reductions of a pace fit into the platform's time for a missed target."""
SHORTEST_UNRESOLVED_WAIT_MS = 50
"""Most orders are resolved by the next listing."""
SHORTEST_STARTUP_WAIT_MS = 100
"""A wave of moves waits for each start-up in turn."""
SHORTEST_UNRECORDED_WAIT_MS = 50
"""The worker answers at once, so that a sooner call would report little more."""
LONGEST_SHORT_WAIT_MS = 500
"""The longest wait while something is open that delays tasks."""
SLOWEST_POLLS_DELAY_SECONDS = 0.2
"""Delay of this process from which each worker waits for the longest time. Polls would
otherwise keep a process late that starts and ends alone would not."""

_LIMITS_BY_KIND = {
    PollKind.REGULAR: _WaitLimits(
        SHORTEST_WAIT_MS, LONGEST_REGULAR_WAIT_MS, MAX_REGULAR_POLLS_PER_SECOND
    ),
    PollKind.FREQUENT: _WaitLimits(
        SHORTEST_WAIT_MS, LONGEST_FREQUENT_WAIT_MS, MAX_FREQUENT_POLLS_PER_SECOND
    ),
    PollKind.UNRESOLVED: _WaitLimits(
        SHORTEST_UNRESOLVED_WAIT_MS, LONGEST_SHORT_WAIT_MS, MAX_SHORT_POLLS_PER_SECOND
    ),
    PollKind.STARTUP: _WaitLimits(
        SHORTEST_STARTUP_WAIT_MS, LONGEST_SHORT_WAIT_MS, MAX_SHORT_POLLS_PER_SECOND
    ),
    PollKind.UNRECORDED: _WaitLimits(
        SHORTEST_UNRECORDED_WAIT_MS, LONGEST_SHORT_WAIT_MS, MAX_SHORT_POLLS_PER_SECOND
    ),
}


class PollRates:
    """The workers of a cell that are polled, by the reason for it."""

    def __init__(self, loop_delay: LoopDelay | None = None) -> None:
        self._loop_delay = loop_delay or LoopDelay()
        self._kind_by_id: dict[WorkerId, PollKind] = {}
        self._counts: Counter[PollKind] = Counter()

    def plan_wait(self, worker_id: WorkerId, kind: PollKind) -> Milliseconds:
        """Count a worker under a kind; return how long its next poll should wait."""
        self.forget(worker_id)
        self._kind_by_id[worker_id] = kind
        self._counts[kind] += 1
        limits = _LIMITS_BY_KIND[kind]
        wait = 1_000 * self._counts[kind] // limits.polls_per_second
        return min(max(wait, self._find_shortest(limits)), limits.longest)

    def _find_shortest(self, limits: _WaitLimits) -> Milliseconds:
        lateness = min(self._loop_delay.granted / SLOWEST_POLLS_DELAY_SECONDS, 1.0)
        return limits.shortest + round(lateness * (limits.longest - limits.shortest))

    def forget(self, worker_id: WorkerId) -> None:
        """Stop counting a worker that is not polled any more."""
        kind = self._kind_by_id.pop(worker_id, None)
        if kind is not None:
            self._counts[kind] -= 1


__all__ = ["PollKind", "PollRates"]
