"""Stand-in of a worker's task control: leases, checkpoints and delayed usage."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec
from aiohttp import web
from returns.result import Failure, Result, Success

from medlarspring_adapters.worker_control import (
    RenewalReply,
    RenewalRequest,
    StopOrder,
    TaskOrder,
    TaskReport,
    TaskState,
    ThrottleOrder,
    WorkerError,
    WorkerRefused,
)
from medlarspring_tables import NO_SIZE, JobId, Seconds, Size

if TYPE_CHECKING:
    from collections.abc import Callable

    from medlarspring_adapters.clock import Clock

CHECKPOINT_SECONDS = 0.5
USE_LAG_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class ActualTask:
    """What a job actually needs, which the system does not know."""

    size: Size
    seconds: float
    fails: bool = False


@dataclass(slots=True)
class Task:
    """One attempt on this worker."""

    order: TaskOrder
    true: ActualTask
    started_at: Seconds
    lease_until: Seconds
    state: TaskState = TaskState.RUNNING
    stopping_at: Seconds | None = None
    checkpoint: str = ""
    cpus_limit: float = float("inf")


@dataclass(frozen=True, slots=True)
class WorkPeriod:
    """A period in which a worker ran a job, kept for the history."""

    job_id: JobId
    attempt: int
    vm_id: str
    start: Seconds
    end: Seconds


@dataclass(slots=True)
class WorkerTasks:
    """The tasks of one worker; advanced by ``step`` before each call."""

    vm_id: str
    clock: Clock
    true_task: Callable[[TaskOrder], ActualTask]
    fails_everything: bool = False
    tasks_by_id: dict[JobId, Task] = field(default_factory=dict)
    newest_attempt_by_id: dict[JobId, int] = field(default_factory=dict)
    runs: deque[WorkPeriod] = field(default_factory=deque)

    def start(self, order: TaskOrder) -> bool:
        """Start an attempt; return False if it ended here or a newer one is known."""
        self.step()
        newest = self.newest_attempt_by_id.get(order.job_id, 0)
        old = self.tasks_by_id.get(order.job_id)
        if order.attempt <= newest:
            return old is not None and old.order.attempt == order.attempt
        now = self.clock.now()
        if old is not None:
            self._end(old, TaskState.STOPPED, now)
        self.newest_attempt_by_id[order.job_id] = order.attempt
        self.tasks_by_id[order.job_id] = Task(
            order=order,
            true=self.true_task(order),
            started_at=now,
            lease_until=now + order.lease_seconds,
        )
        return True

    def stop(self, job_id: JobId, order: StopOrder) -> None:
        """Begin to stop an attempt."""
        self.step()
        task = self.tasks_by_id.get(job_id)
        if task is None or task.order.attempt != order.attempt:
            # A stop that arrives before its start must prevent the start.
            newest = self.newest_attempt_by_id.get(job_id, 0)
            self.newest_attempt_by_id[job_id] = max(newest, order.attempt)
            return
        if task.state is not TaskState.RUNNING or task.stopping_at is not None:
            return
        now = self.clock.now()
        if not order.checkpoint:
            self._end(task, TaskState.STOPPED, now)
            return
        task.stopping_at = now + CHECKPOINT_SECONDS

    def throttle(self, job_id: JobId, order: ThrottleOrder) -> None:
        """Limit an attempt's processors."""
        task = self.tasks_by_id.get(job_id)
        if task is not None and task.order.attempt == order.attempt:
            task.cpus_limit = order.cpus

    def renew(self, request: RenewalRequest) -> RenewalReply:
        """Renew leases, forget the given ended tasks and report all others."""
        self.step()
        now = self.clock.now()
        for renewal in request.renewals:
            task = self.tasks_by_id.get(renewal.job_id)
            if task is not None and task.order.attempt == renewal.attempt:
                task.lease_until = now + request.lease_seconds
        for renewal in request.forget:
            task = self.tasks_by_id.get(renewal.job_id)
            if task is None or task.order.attempt != renewal.attempt:
                continue
            if task.state is not TaskState.RUNNING:
                del self.tasks_by_id[renewal.job_id]
        return RenewalReply(tuple(self._report(t) for t in self.tasks_by_id.values()))

    def step(self) -> None:
        """Advance all running tasks to the current time."""
        now = self.clock.now()
        for task in self.tasks_by_id.values():
            if task.state is TaskState.RUNNING:
                self._step_task(task, now)

    def fail(self) -> None:
        """Stop and forget all tasks, as a reboot of the VM does."""
        now = self.clock.now()
        for task in self.tasks_by_id.values():
            if task.state is TaskState.RUNNING:
                self._end(task, TaskState.STOPPED, now)
        self.tasks_by_id.clear()

    def _step_task(self, task: Task, now: Seconds) -> None:
        seconds = task.true.seconds
        fails = task.true.fails or self.fails_everything
        if fails:
            seconds = min(seconds, 1.0)
        ends_at = task.started_at + seconds
        if ends_at <= min(now, task.lease_until):
            self._end(task, TaskState.FAILED if fails else TaskState.SUCCEEDED, ends_at)
        elif task.lease_until <= now:
            self._end(task, TaskState.STOPPED, task.lease_until)
        elif task.stopping_at is not None and task.stopping_at <= now:
            task.checkpoint = f"{task.order.job_id}@{task.order.attempt}"
            self._end(task, TaskState.CHECKPOINTED, task.stopping_at)

    def _end(self, task: Task, state: TaskState, at: Seconds) -> None:
        if task.state is not TaskState.RUNNING:
            return
        task.state = state
        order = task.order
        self.runs.append(
            WorkPeriod(order.job_id, order.attempt, self.vm_id, task.started_at, at)
        )

    def _report(self, task: Task) -> TaskReport:
        seen = self.clock.now() - task.started_at >= USE_LAG_SECONDS
        ended = task.state is not TaskState.RUNNING
        used = task.true.size if seen and not ended else NO_SIZE
        return TaskReport(
            job_id=task.order.job_id,
            attempt=task.order.attempt,
            state=task.state,
            used=used,
            peak=task.true.size if seen or ended else NO_SIZE,
            checkpoint=task.checkpoint,
        )


class DirectWorkerControl:
    """``WorkerControl`` that calls the stand-ins directly, for fast tests."""

    def __init__(self, workers_by_address: dict[str, WorkerTasks]) -> None:
        self.workers_by_address = workers_by_address
        self.unreachable: set[str] = set()
        self.renewal_answers_lost: set[str] = set()
        """Addresses at which renewals take effect without an answer."""

    async def start(self, address: str, order: TaskOrder) -> Result[None, WorkerError]:
        """Start an attempt."""
        found = self._find(address)
        started = found.map(lambda worker: worker.start(order))
        return started.bind(
            lambda ok: (
                Success(None) if ok else Failure(WorkerRefused(address, "fenced"))
            )
        )

    async def stop(
        self, address: str, job_id: JobId, order: StopOrder
    ) -> Result[None, WorkerError]:
        """Begin to stop an attempt."""
        return self._find(address).map(lambda worker: worker.stop(job_id, order))

    async def throttle(
        self, address: str, job_id: JobId, order: ThrottleOrder
    ) -> Result[None, WorkerError]:
        """Limit an attempt's processors."""
        return self._find(address).map(lambda worker: worker.throttle(job_id, order))

    async def renew(
        self, address: str, request: RenewalRequest
    ) -> Result[RenewalReply, WorkerError]:
        """Renew leases and read all reports."""
        reply = self._find(address).map(lambda worker: worker.renew(request))
        if address in self.renewal_answers_lost:
            return Failure(WorkerError(address, "no answer in time"))
        return reply

    def _find(self, address: str) -> Result[WorkerTasks, WorkerError]:
        if address in self.unreachable or address not in self.workers_by_address:
            return Failure(WorkerError(address, "unreachable"))
        return Success(self.workers_by_address[address])


def add_task_routes(app: web.Application, tasks: WorkerTasks) -> None:
    """Serve a worker's task control on an aiohttp application."""

    async def start(request: web.Request) -> web.Response:
        order = msgspec.json.decode(await request.read(), type=TaskOrder)
        return web.Response(status=204 if tasks.start(order) else 409)

    async def stop(request: web.Request) -> web.Response:
        order = msgspec.json.decode(await request.read(), type=StopOrder)
        tasks.stop(JobId(request.match_info["job"]), order)
        return web.Response(status=204)

    async def throttle(request: web.Request) -> web.Response:
        order = msgspec.json.decode(await request.read(), type=ThrottleOrder)
        tasks.throttle(JobId(request.match_info["job"]), order)
        return web.Response(status=204)

    async def renew(request: web.Request) -> web.Response:
        wanted = msgspec.json.decode(await request.read(), type=RenewalRequest)
        body = msgspec.json.encode(tasks.renew(wanted))
        return web.Response(body=body, content_type="application/json")

    app.router.add_post("/tasks/renew", renew)
    app.router.add_put("/tasks/{job}", start)
    app.router.add_post("/tasks/{job}/stop", stop)
    app.router.add_post("/tasks/{job}/throttle", throttle)


__all__ = [
    "DirectWorkerControl",
    "WorkPeriod",
    "Task",
    "ActualTask",
    "WorkerTasks",
    "add_task_routes",
]
