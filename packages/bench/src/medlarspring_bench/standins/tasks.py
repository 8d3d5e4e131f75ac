"""Task control of a stand-in VM: leases, fencing, checkpoints and usage."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import msgspec
from msgspec import Struct

from medlarspring_bench.standins.server import json_response

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from aiohttp import web

    Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

FENCING_HEADER = "Fencing-Token"


class TaskStart(Struct):
    """Body of ``PUT /tasks/<id>``."""

    run_seconds: float
    """Real processor time the task needs; not what was declared."""
    lease_seconds: float
    cpus: float = 1.0
    memory_gb: float = 1.0
    accelerators: int = 0
    checkpoint_seconds: float = 0.0
    """Work that an earlier run saved."""
    fails: bool = False
    """The task ends with an error whatever the worker."""


class LeaseRenewal(Struct):
    """Body of ``POST /tasks/<id>/lease``."""

    lease_seconds: float


class Throttle(Struct):
    """Body of ``POST /tasks/<id>/throttle``."""

    factor: float
    """Part of its processors that the task may use, above 0 and up to 1."""


class TaskReport(Struct):
    """Answer of ``GET /tasks/<id>``; usage and progress are some seconds old."""

    id: str
    state: str
    """``running``, ``done``, ``failed``, ``stopped`` or ``lapsed``."""
    fencing_token: int
    progress_seconds: float
    checkpoint_seconds: float
    cpus_used: float
    memory_gb_used: float
    measured_at: float


class TaskEvent(Struct):
    """One change of a task, for the history checker."""

    id: str
    change: str
    fencing_token: int
    at: float


class Task:
    """One task on one VM."""

    def __init__(self, id_: str, start: TaskStart, token: int, now: float) -> None:
        self.id = id_
        self.token = token
        self.state = "running"
        self.start = start
        self.factor = 1.0
        self.progress = start.checkpoint_seconds
        self.checkpoint = start.checkpoint_seconds
        self.lease_until = now + start.lease_seconds
        self._advanced_at = now

    def advance(self, now: float) -> None:
        """Work on until now, the end of the lease or the end of the work."""
        if self.state != "running":
            return
        until = min(now, self.lease_until)
        self.progress += max(0.0, until - self._advanced_at) * self.factor
        self._advanced_at = until
        if self.progress >= self.start.run_seconds:
            self.progress = self.start.run_seconds
            self.state = "failed" if self.start.fails else "done"
        elif now >= self.lease_until:
            self.state = "lapsed"

    def report(self, now: float) -> TaskReport:
        """Return the state as it is now."""
        used = self.factor if self.state == "running" else 0.0
        return TaskReport(
            id=self.id,
            state=self.state,
            fencing_token=self.token,
            progress_seconds=self.progress,
            checkpoint_seconds=self.checkpoint,
            cpus_used=self.start.cpus * used,
            memory_gb_used=self.start.memory_gb if used else 0.0,
            measured_at=now,
        )


class TaskHost:
    """All tasks of one VM."""

    def __init__(
        self, vm_id: str, usage_lag_seconds: float, now: Callable[[], float]
    ) -> None:
        self.vm_id = vm_id
        self.history: list[TaskEvent] = []
        self.fails_all = False
        self._lag = usage_lag_seconds
        self._now = now
        self._tasks_by_id: dict[str, Task] = {}
        self._tokens_by_id: dict[str, int] = {}
        self._reports_by_id: dict[str, deque[TaskReport]] = {}

    def add_routes(self, app: web.Application) -> None:
        """Add the routes of task control."""
        app.router.add_get("/tasks", self._get_all)
        app.router.add_put("/tasks/{id}", self._put)
        app.router.add_get("/tasks/{id}", self._get)
        app.router.add_delete("/tasks/{id}", self._fenced(self._delete))
        for action, handler in (
            ("lease", self._renew),
            ("checkpoint", self._checkpoint),
            ("throttle", self._throttle),
        ):
            app.router.add_post(f"/tasks/{{id}}/{action}", self._fenced(handler))

    async def _put(self, request: web.Request) -> web.StreamResponse:
        id_ = request.match_info["id"]
        token = int(request.headers[FENCING_HEADER])
        if token <= self._tokens_by_id.get(id_, -1):
            return self._repeat(id_, token)
        start = msgspec.json.decode(await request.read(), type=TaskStart)
        self._tokens_by_id[id_] = token
        former = self._tasks_by_id.get(id_)
        if former is not None:
            self._end(former, "stopped")
        task = Task(id_, start, token, self._now())
        self._tasks_by_id[id_] = task
        self._reports_by_id[id_] = deque()
        self._record(task, "running")
        return json_response(self._measure(task), 201)

    def _repeat(self, id_: str, token: int) -> web.Response:
        """Answer a repeated start as the first one; refuse an older holder."""
        task = self._tasks_by_id.get(id_)
        if task is None or task.token != token:
            return json_response({"error": "fenced"}, 409)
        return json_response(self._measure(task))

    async def _get(self, request: web.Request) -> web.StreamResponse:
        task = self._tasks_by_id.get(request.match_info["id"])
        if task is None:
            return json_response({"error": "no such task"}, 404)
        return json_response(self._lagged(task))

    async def _get_all(self, request: web.Request) -> web.StreamResponse:
        return json_response(
            [self._lagged(task) for task in self._tasks_by_id.values()]
        )

    def _fenced(
        self, handler: Callable[[web.Request, Task], Awaitable[web.StreamResponse]]
    ) -> Handler:
        async def handle(request: web.Request) -> web.StreamResponse:
            id_ = request.match_info["id"]
            token = int(request.headers[FENCING_HEADER])
            if token < self._tokens_by_id.get(id_, -1):
                return json_response({"error": "fenced"}, 409)
            self._tokens_by_id[id_] = token
            task = self._tasks_by_id.get(id_)
            if task is None:
                return json_response({"error": "no such task"}, 404)
            self._advance(task)
            return await handler(request, task)

        return handle

    async def _delete(self, request: web.Request, task: Task) -> web.StreamResponse:
        self._end(task, "stopped")
        return json_response(self._measure(task))

    async def _renew(self, request: web.Request, task: Task) -> web.StreamResponse:
        renewal = msgspec.json.decode(await request.read(), type=LeaseRenewal)
        if task.state == "lapsed":
            return json_response({"error": "the lease lapsed"}, 410)
        task.lease_until = self._now() + renewal.lease_seconds
        return json_response(self._measure(task))

    async def _checkpoint(self, request: web.Request, task: Task) -> web.StreamResponse:
        task.checkpoint = task.progress
        self._record(task, "checkpoint")
        return json_response(self._measure(task))

    async def _throttle(self, request: web.Request, task: Task) -> web.StreamResponse:
        throttle = msgspec.json.decode(await request.read(), type=Throttle)
        task.factor = throttle.factor
        self._record(task, "throttle")
        return json_response(self._measure(task))

    def _end(self, task: Task, state: str) -> None:
        self._advance(task)
        if task.state == "running":
            task.state = state
            self._record(task, state)

    def _advance(self, task: Task) -> None:
        before = task.state
        if self.fails_all and task.state == "running":
            task.state = "failed"
        task.advance(self._now())
        if task.state != before:
            self._record(task, task.state)

    def _measure(self, task: Task) -> TaskReport:
        self._advance(task)
        report = task.report(self._now())
        self._reports_by_id[task.id].append(report)
        return report

    def _lagged(self, task: Task) -> TaskReport:
        """Return the newest report that is old enough, else the oldest one."""
        self._measure(task)
        reports = self._reports_by_id[task.id]
        horizon = self._now() - self._lag
        while len(reports) > 1 and reports[1].measured_at <= horizon:
            reports.popleft()
        return reports[0]

    def _record(self, task: Task, change: str) -> None:
        self.history.append(TaskEvent(task.id, change, task.token, self._now()))


__all__ = ["FENCING_HEADER", "TaskHost"]
