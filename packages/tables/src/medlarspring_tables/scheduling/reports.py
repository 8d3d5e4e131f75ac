"""What a worker tells of its runs."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from medlarspring_tables.scheduling.work import RunEnd


@dataclass(frozen=True, slots=True)
class RunningRow:
    """One run that a worker has."""

    task_id: str
    run: int
    checkpoint: str
    percent: int
    gauge: int = 0
    """Tail latency in ms of a long-running task, else millicores in use."""


@dataclass(frozen=True, slots=True)
class EndedRow:
    """One run that ended on a worker and is not acknowledged yet."""

    number: int
    """Rises with each end in one life of the worker."""
    task_id: str
    run: int
    end: RunEnd
    checkpoint: str


__all__ = ["EndedRow", "RunningRow"]
