"""Calls to the workers of one pool: task orders, lease renewals and reports."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from returns.pipeline import is_successful

from medlarspring_adapters.worker_control import (
    Renewal,
    RenewalRequest,
    StopOrder,
    TaskOrder,
    WorkerRefused,
)

if TYPE_CHECKING:
    from returns.result import Result

    from medlarspring_adapters.clock import Clock
    from medlarspring_adapters.worker_control import (
        RenewalReply,
        WorkerControl,
        WorkerError,
    )
    from medlarspring_tables import Job, JobId, JobTables, Seconds, VMId

TASK_LEASE_SECONDS = 30.0
LEASE_MARGIN_SECONDS = 5.0
"""Time added to the lease before an unresponsive worker's tasks count as ended."""
RENEW_SECONDS = 5.0
POLL_DELAY_SECONDS = 0.25
"""Delay of the next poll of a worker to which an order was sent."""


@dataclass(slots=True)
class WorkerLink:
    """State of the calls to one worker."""

    id: VMId
    address: str
    renewed_at: Seconds
    """When its tasks' leases were last renewed, or the latest possible time."""
    due_at: Seconds = 0.0
    is_answering: bool = True
    """Whether the last call was answered."""
    forget: set[Renewal] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class WorkerAnswer:
    """One worker's answer to a renewal of the named jobs."""

    link: WorkerLink
    job_ids: frozenset[JobId]
    reply: Result[RenewalReply, WorkerError]


class JobWorkers:
    """Sends orders to the workers of one pool and asks them for reports."""

    def __init__(self, tables: JobTables, workers: WorkerControl, clock: Clock) -> None:
        self._tables = tables
        self._workers = workers
        self._clock = clock
        self._links_by_id: dict[VMId, WorkerLink] = {}

    def set_addresses(self, addresses_by_id: dict[VMId, str]) -> None:
        """Set the workers' addresses; new workers count as just renewed.

        A new holder does not know when the previous holder last renewed a worker's
        tasks. Assuming the current time is safe and only waits longer.
        """
        now = self._clock.now()
        for vm_id, address in addresses_by_id.items():
            link = self._links_by_id.get(vm_id)
            if link is None:
                self._links_by_id[vm_id] = WorkerLink(vm_id, address, now)
            else:
                link.address = address

    def schedule_poll(self, vm_id: VMId) -> None:
        """Poll a worker again after a short delay, as its state is about to change."""
        link = self._links_by_id.get(vm_id)
        if link is not None:
            link.due_at = min(link.due_at, self._clock.now() + POLL_DELAY_SECONDS)

    async def send_start(self, job: Job) -> bool:
        """Send a start order; return False if the worker refuses the attempt.

        A lost order is sent again after the next renewal.
        """
        assert job.attempt is not None
        link = self._links_by_id.get(job.attempt.vm_id)
        if link is None:
            return True
        self.schedule_poll(link.id)
        order = TaskOrder(
            job_id=job.id,
            attempt=job.attempt.number,
            size=job.attempt.size,
            declared_seconds=job.declared_seconds,
            lease_seconds=TASK_LEASE_SECONDS,
            checkpoint=job.checkpoint,
        )
        sent = await self._workers.start(link.address, order)
        return is_successful(sent) or not isinstance(sent.failure(), WorkerRefused)

    async def send_stop(self, job: Job) -> bool:
        """Send a stop order; return whether the worker confirmed its receipt."""
        assert job.attempt is not None
        link = self._links_by_id.get(job.attempt.vm_id)
        if link is None:
            return False
        self.schedule_poll(link.id)
        was_cancelled = bool(job.reason)
        checkpoint = job.can_checkpoint and not was_cancelled
        order = StopOrder(job.attempt.number, checkpoint=checkpoint)
        return is_successful(await self._workers.stop(link.address, job.id, order))

    async def poll_due_workers(self) -> list[WorkerAnswer]:
        """Renew leases at all due workers concurrently and return their answers."""
        now = self._clock.now()
        due: list[tuple[WorkerLink, frozenset[JobId]]] = []
        for link in self._links_by_id.values():
            worker = self._tables.workers_by_id.get(link.id)
            job_ids = frozenset(worker.job_ids if worker else ())
            if not job_ids and not link.forget:
                # Without tasks no calls are made, so the time since the last
                # renewal must not count against the worker.
                link.renewed_at = now
                continue
            if link.due_at <= now:
                due.append((link, job_ids))
        return list(await asyncio.gather(*(self._renew_leases(*each) for each in due)))

    async def _renew_leases(
        self, link: WorkerLink, job_ids: frozenset[JobId]
    ) -> WorkerAnswer:
        sent_at = self._clock.now()
        link.due_at = sent_at + RENEW_SECONDS
        # A renewal whose answer is lost takes effect all the same. Sent repeatedly, it
        # would let tasks outlive the time after which they are placed elsewhere.
        renewals = tuple(self._list_renewals(job_ids)) if link.is_answering else ()
        request = RenewalRequest(
            lease_seconds=TASK_LEASE_SECONDS,
            renewals=renewals,
            forget=tuple(link.forget),
        )
        reply = await self._workers.renew(link.address, request)
        if is_successful(reply) and not link.is_answering:
            # The leases were not renewed by this call.
            link.due_at = sent_at
        link.is_answering = is_successful(reply)
        if link.is_answering:
            link.renewed_at = self._clock.now()
            link.forget.difference_update(request.forget)
        return WorkerAnswer(link, job_ids, reply)

    def _list_renewals(self, job_ids: frozenset[JobId]) -> list[Renewal]:
        jobs = [self._tables.jobs_by_id[job_id] for job_id in sorted(job_ids)]
        return [Renewal(job.id, job.attempt.number) for job in jobs if job.attempt]

    def have_leases_expired(self, link: WorkerLink) -> bool:
        """Return whether all tasks of an unresponsive worker have certainly ended.

        Placing them elsewhere sooner could run a job twice, since a worker that
        only lost its network runs its tasks until their leases expire.
        """
        unresponsive_seconds = self._clock.now() - link.renewed_at
        return unresponsive_seconds >= TASK_LEASE_SECONDS + LEASE_MARGIN_SECONDS


__all__ = ["TASK_LEASE_SECONDS", "JobWorkers", "WorkerAnswer", "WorkerLink"]
