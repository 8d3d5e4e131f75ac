"""The emulated platform's adviser, and the tickets that it issues."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from medlarspring_adapters.adviser import Advice, AdviserUnresponsive

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from medlarspring_adapters.clock import Clock
    from medlarspring_adapters.worker_orders import StartOrder
    from medlarspring_bench.platform_world.worker_model import WorkerModel
    from medlarspring_tables import Seconds
    from medlarspring_tables.scheduling import Milliseconds, WorkerId

CALL_TIMEOUT_SECONDS = 6.0
"""Time after which a client gives up a call."""


@dataclass(frozen=True, slots=True)
class AdvicePlan:
    """Answer times and validity of the advice for a restricted queue."""

    decide_ms: Milliseconds = 200
    period_ms: Milliseconds = 50
    """Time for each worker that a call names."""
    valid_ms: Milliseconds = 3_000


@dataclass(frozen=True, slots=True)
class AdviceCall:
    """One call as the adviser saw it."""

    at: Seconds
    step_id: str
    worker_ids: tuple[WorkerId, ...]

    @property
    def job_id(self) -> str:
        """The job that the step belongs to."""
        return self.step_id.partition(".")[0]


class AdviserModel:
    """Serves one call at a time for each entry VM, in turn."""

    def __init__(
        self,
        plan: AdvicePlan,
        clock: Clock,
        find_worker: Callable[[WorkerId], WorkerModel | None],
    ) -> None:
        self._plan = plan
        self._clock = clock
        self._find_worker = find_worker
        self.allowed_by_job: dict[str, set[str]] = {}
        """VMs that may run a job; all may run the others."""
        self.refused_jobs: set[str] = set()
        """Jobs for which each call fails at once."""
        self.hanging_jobs: set[str] = set()
        """Jobs for which no call gets an answer."""
        self.is_down = False
        """Whether every call fails at once."""
        self.slowness = 1.0
        """Factor of all answer times."""
        self.calls: list[AdviceCall] = []
        self._ends_by_ticket: dict[str, Seconds] = {}

    def create_client(self) -> AdviserClient:
        """Return the client of one entry VM."""
        return AdviserClient(self)

    def accepts(self, worker: WorkerModel, order: StartOrder) -> bool:
        """Return whether an order has a valid ticket for its step and worker."""
        step_id = order.task_id.rpartition(".")[0]
        if not order.ticket.startswith(_format_ticket(step_id, worker)):
            return False
        return self._clock.now() < self._ends_by_ticket.get(order.ticket, 0.0)

    async def answer(
        self, step_id: str, worker_ids: Sequence[WorkerId], turn: asyncio.Lock
    ) -> Result[Advice, AdviserUnresponsive]:
        """Answer one call once those that came before it are answered."""
        call = AdviceCall(self._clock.now(), step_id, tuple(worker_ids))
        self.calls.append(call)
        if self.is_down or call.job_id in self.refused_jobs:
            return Failure(AdviserUnresponsive("HTTP status 500"))
        if call.job_id in self.hanging_jobs:
            await asyncio.sleep(CALL_TIMEOUT_SECONDS)
            return Failure(AdviserUnresponsive("no answer in time"))
        async with turn:
            await asyncio.sleep(self._measure_answer_time(call))
        return Success(Advice(self._issue_tickets(call), self._plan.valid_ms))

    def _measure_answer_time(self, call: AdviceCall) -> Seconds:
        usual_ms = self._plan.decide_ms + self._plan.period_ms * len(call.worker_ids)
        return usual_ms * self.slowness / 1_000.0

    def _issue_tickets(self, call: AdviceCall) -> dict[WorkerId, str]:
        allowed = self.allowed_by_job.get(call.job_id)
        ends_at = self._clock.now() + self._plan.valid_ms / 1_000.0
        tickets: dict[WorkerId, str] = {}
        for worker_id in call.worker_ids:
            worker = self._find_worker(worker_id)
            if worker is None or (allowed is not None and worker.vm_id not in allowed):
                continue
            number = len(self._ends_by_ticket)
            ticket = f"{_format_ticket(call.step_id, worker)}{number}"
            self._ends_by_ticket[ticket] = ends_at
            tickets[worker_id] = ticket
        return tickets


def _format_ticket(step_id: str, worker: WorkerModel) -> str:
    return f"{step_id}/{worker.id}/{worker.born_ms}/"


class AdviserClient:
    """Implements ``Adviser`` for one entry VM."""

    def __init__(self, model: AdviserModel) -> None:
        self._model = model
        self._turn = asyncio.Lock()

    async def advise(
        self, step_id: str, worker_ids: Sequence[WorkerId]
    ) -> Result[Advice, AdviserUnresponsive]:
        """Return which of the workers may run the step."""
        try:
            async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
                return await self._model.answer(step_id, worker_ids, self._turn)
        except TimeoutError:
            return Failure(AdviserUnresponsive("no answer in time"))


__all__ = ["AdviceCall", "AdvicePlan", "AdviserClient", "AdviserModel"]
