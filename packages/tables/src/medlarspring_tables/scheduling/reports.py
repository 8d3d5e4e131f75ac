"""Rows of a worker's report on its runs."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from medlarspring_tables.scheduling.work import RunEnd


@dataclass(frozen=True, slots=True)
class RunningRow:
    """A run that is present on a worker."""

    task_id: str
    run: int
    checkpoint: str
    percent: int
    gauge: int = 0
    """Tail latency in ms of a long-running task, else millicores in use."""


@dataclass(frozen=True, slots=True)
class EndedRow:
    """A run that ended on a worker and has not been acknowledged yet."""

    number: int
    """Sequence number of the end within the worker's incarnation."""
    task_id: str
    run: int
    end: RunEnd
    checkpoint: str


__all__ = ["EndedRow", "RunningRow"]
