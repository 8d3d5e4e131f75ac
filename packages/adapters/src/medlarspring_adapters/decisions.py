"""Bounded in-memory log of this process's decisions, read by ``explain``."""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable
from enum import Enum
from typing import TYPE_CHECKING

from msgspec import Struct

if TYPE_CHECKING:
    from medlarspring_adapters.clock import Clock


class Subject(Enum):
    """What a decision is about."""

    REQUEST = "request"
    JOB = "job"
    VM = "vm"
    WAVE = "wave"
    EDIT = "edit"


class Decision(Struct, frozen=True):
    """One decision with its time, rule and facts."""

    at: float
    """Wall time in seconds since the epoch."""
    entry_vm: str
    subject: str
    id: str
    decided: str
    rule: str
    facts: dict[str, str | int | float | bool]


DecisionSource = Callable[[Subject, str], list[Decision]]


class DecisionLog:
    """The newest decisions by subject; the oldest subjects are evicted."""

    def __init__(
        self, clock: Clock, entry_vm: str, max_subjects: int = 10_000, depth: int = 32
    ) -> None:
        self._clock = clock
        self._entry_vm = entry_vm
        self._max_subjects = max_subjects
        self._depth = depth
        self._decisions_by_id: OrderedDict[tuple[Subject, str], deque[Decision]] = (
            OrderedDict()
        )
        self._sources: list[DecisionSource] = []

    def record(
        self,
        subject: Subject,
        id: str,  # noqa: A002
        decided: str,
        rule: str,
        **facts: str | int | float | bool,
    ) -> None:
        """Record one decision."""
        decision = Decision(
            at=self._clock.wall(),
            entry_vm=self._entry_vm,
            subject=subject.value,
            id=id,
            decided=decided,
            rule=rule,
            facts=facts,
        )
        key = (subject, id)
        decisions = self._decisions_by_id.get(key)
        if decisions is None:
            decisions = deque(maxlen=self._depth)
            self._decisions_by_id[key] = decisions
            if len(self._decisions_by_id) > self._max_subjects:
                self._decisions_by_id.popitem(last=False)
        decisions.append(decision)

    def add_source(self, source: DecisionSource) -> None:
        """Add another source of decisions that ``find`` searches too."""
        self._sources.append(source)

    def find(self, subject: Subject, id: str) -> list[Decision]:  # noqa: A002
        """Return the recorded decisions on a subject, oldest first."""
        found = list(self._decisions_by_id.get((subject, id), ()))
        for source in self._sources:
            found += source(subject, id)
        return sorted(found, key=lambda decision: decision.at)


__all__ = ["Decision", "DecisionLog", "Subject"]
