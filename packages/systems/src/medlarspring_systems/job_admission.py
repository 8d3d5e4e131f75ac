"""Rejects jobs on submission that could never run."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from medlarspring_tables import MedlarspringError

if TYPE_CHECKING:
    from medlarspring_tables import Job, JobId, JobTables, PartnerId, PoolId, Size


class JobRefused(MedlarspringError):
    """The job can never run as submitted."""

    code = "job-refused"


class NoWorkerLargeEnough(JobRefused):
    """Even the largest worker of the pool is too small."""

    code = "no-worker-large-enough"

    def __init__(self, job_id: JobId, declared: Size, largest: Size) -> None:
        super().__init__(job_id)
        self.job_id = job_id
        self.declared = declared
        self.largest = largest

    def message(self) -> str:
        """Return what is missing and how to resolve it."""
        return (
            f"Job {self.job_id} asks for {describe_size(self.declared)}, but the"
            f" largest worker of its pool has {describe_size(self.largest)}."
            " Submit smaller parts, or to a pool with larger workers."
        )


class QuotaTooSmall(JobRefused):
    """The partner's whole quota is smaller than the job."""

    code = "quota-too-small"

    def __init__(self, job_id: JobId, partner_id: PartnerId, quota: Size) -> None:
        super().__init__(job_id)
        self.job_id = job_id
        self.partner_id = partner_id
        self.quota = quota

    def message(self) -> str:
        """Return what is missing and how to resolve it."""
        return (
            f"Job {self.job_id} exceeds the whole quota of partner"
            f" {self.partner_id} ({describe_size(self.quota)}). Raise it with"
            f" `medlarspring table set partner {self.partner_id}` or submit less."
        )


class PartnerUnknown(JobRefused):
    """No row of the table names the partner."""

    code = "partner-unknown"

    def __init__(self, job_id: JobId, partner_id: PartnerId) -> None:
        super().__init__(job_id)
        self.job_id = job_id
        self.partner_id = partner_id

    def message(self) -> str:
        """Return what is missing and how to resolve it."""
        return (
            f"Job {self.job_id} names partner {self.partner_id}, which has no row."
            f" Add it with `medlarspring table add partner {self.partner_id}`."
        )


class PoolEmpty(JobRefused):
    """The pool has no workers at all."""

    code = "pool-empty"

    def __init__(self, job_id: JobId, pool_id: PoolId) -> None:
        super().__init__(job_id)
        self.job_id = job_id
        self.pool_id = pool_id

    def message(self) -> str:
        """Return what is missing and how to resolve it."""
        return (
            f"Job {self.job_id} names pool {self.pool_id}, which has no workers."
            " Look at `medlarspring pool list` and submit to one that has."
        )


def check_job(tables: JobTables, job: Job) -> Result[Job, JobRefused]:
    """Return the job if it fits the partner's quota and at least one worker.

    Workers that are drained or failed now count too, since they will return.
    """
    partner = tables.partners_by_id.get(job.partner_id)
    if partner is None:
        return Failure(PartnerUnknown(job.id, job.partner_id))
    if not job.declared.fits_in(partner.quota):
        return Failure(QuotaTooSmall(job.id, job.partner_id, partner.quota))
    if not tables.workers_by_id:
        return Failure(PoolEmpty(job.id, job.pool_id))
    if not fits_any_worker(tables, job):
        largest = max(
            (worker.capacity for worker in tables.workers_by_id.values()),
            key=lambda size: (size.accelerators, size.cpus, size.memory_gb),
        )
        return Failure(NoWorkerLargeEnough(job.id, job.declared, largest))
    return Success(job)


def fits_any_worker(tables: JobTables, job: Job) -> bool:
    """Return whether the declared size fits any worker of the pool when empty."""
    return any(
        job.declared.fits_in(worker.capacity)
        for worker in tables.workers_by_id.values()
    )


def describe_size(size: Size) -> str:
    """Return a size as text for messages."""
    return (
        f"{size.cpus:g} cpus, {size.memory_gb:g} GB memory"
        f" and {size.accelerators} accelerators"
    )


__all__ = [
    "JobRefused",
    "NoWorkerLargeEnough",
    "PartnerUnknown",
    "PoolEmpty",
    "QuotaTooSmall",
    "check_job",
    "fits_any_worker",
    "describe_size",
]
