"""Interface of the adviser, which decides where tasks of restricted queues may run."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from medlarspring_tables import MedlarspringError

if TYPE_CHECKING:
    from collections.abc import Sequence

    from returns.result import Result

    from medlarspring_tables.scheduling import Milliseconds, WorkerId

MAX_WORKERS_PER_CALL = 100


class AdviserUnresponsive(MedlarspringError):
    """The adviser gave no usable answer; requests to it have no side effects."""

    code = "adviser-silent"

    def __init__(self, detail: str) -> None:
        super().__init__(detail)
        self.detail = detail

    def message(self) -> str:
        """Return what failed and what happens next."""
        return (
            f"The adviser did not answer ({self.detail}). The request is repeated;"
            " tasks of its queues wait until it answers."
        )


@dataclass(frozen=True, slots=True)
class Advice:
    """Workers that may run a step, each with the ticket that start orders carry."""

    tickets_by_worker: dict[WorkerId, str]
    valid_ms: Milliseconds


class Adviser(Protocol):
    """Requests advice; the adviser serves one call at a time for each entry VM."""

    async def advise(
        self, step_id: str, worker_ids: Sequence[WorkerId]
    ) -> Result[Advice, AdviserUnresponsive]:
        """Return which of the workers may run the step."""
        ...


__all__ = ["MAX_WORKERS_PER_CALL", "Advice", "Adviser", "AdviserUnresponsive"]
