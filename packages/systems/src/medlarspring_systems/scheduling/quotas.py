"""Quotas and weights: what a partner's tasks may use at a time over all workers.

A partner's usage changes only where a run is attached to or detached from its worker.
It therefore includes runs that were intended, ordered without an answer, restored
from a former controller's records or told to stop.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarspring_systems.weights import normalise_weight
from medlarspring_tables import MedlarspringError
from medlarspring_tables.scheduling import PartnerUsage, Resources

if TYPE_CHECKING:
    from medlarspring_tables import PartnerId
    from medlarspring_tables.scheduling import (
        JobSpec,
        OperatorConfig,
        PartnerPolicy,
        StepRun,
        StepSpec,
        WorkTables,
    )


class JobExceedsQuota(MedlarspringError):
    """A submitted job needs more at a time than its partner's quota."""

    code = "job-exceeds-quota"

    def __init__(self, detail: str) -> None:
        super().__init__(detail)
        self.detail = detail

    def message(self) -> str:
        """Return what exceeds the quota and how to fix it."""
        return (
            f"The job was not accepted: {self.detail}. Request less for each task or"
            " gang, or have the operator raise the partner's quota."
        )


def apply_quotas(tables: WorkTables, config: OperatorConfig) -> None:
    """Put the partners' quotas and weights of a configuration into force."""
    for policy in config.partners_by_id.values():
        usage = find_usage(tables, policy.id)
        usage.quota = policy.quota
        usage.weight = normalise_weight(policy.weight)


def find_usage(tables: WorkTables, partner_id: PartnerId) -> PartnerUsage:
    """Return a partner's usage; it is created if it is not known."""
    usage = tables.usage_by_partner.get(partner_id)
    if usage is None:
        usage = tables.usage_by_partner[partner_id] = PartnerUsage(partner_id)
    return usage


def add_usage(usage: PartnerUsage, spec: StepSpec) -> None:
    """Count one more run of a task of the step."""
    usage.runs += 1
    usage.cpu_millis += spec.cpu_millis
    usage.memory_mb += spec.memory_mb
    usage.accelerators += spec.accelerators


def remove_usage(usage: PartnerUsage, spec: StepSpec) -> None:
    """Stop counting a run of a task of the step."""
    usage.runs -= 1
    usage.cpu_millis -= spec.cpu_millis
    usage.memory_mb -= spec.memory_mb
    usage.accelerators -= spec.accelerators


def fits_quota(step: StepRun, tasks: int = 1) -> bool:
    """Return whether the partner's quota permits this many more tasks of the step.

    A task that exceeds the quota by itself may run while nothing else of its partner
    runs: it was accepted before the quota was lowered, and must end.
    """
    usage = step.job.partner
    quota = usage.quota
    if not (quota.cpu_millis or quota.memory_mb or quota.accelerators):
        return True
    if not usage.runs and tasks == 1:
        return True
    spec = step.spec
    return is_within(
        quota,
        usage.cpu_millis + tasks * spec.cpu_millis,
        usage.memory_mb + tasks * spec.memory_mb,
        usage.accelerators + tasks * spec.accelerators,
    )


def is_within(
    quota: Resources, cpu_millis: int, memory_mb: int, accelerators: int
) -> bool:
    """Return whether amounts are within a quota, whose zeros mean no limit."""
    return (
        (not quota.cpu_millis or cpu_millis <= quota.cpu_millis)
        and (not quota.memory_mb or memory_mb <= quota.memory_mb)
        and (not quota.accelerators or accelerators <= quota.accelerators)
    )


def check_quota(policy: PartnerPolicy | None, spec: JobSpec) -> JobExceedsQuota | None:
    """Return why a job can never run within its partner's quota, or None.

    The members of a gang run at the same time, and so count together.
    """
    if policy is None:
        return None
    for index, step in enumerate(spec.steps):
        tasks = step.count if step.gang else 1
        if not is_within(
            policy.quota,
            tasks * step.cpu_millis,
            tasks * step.memory_mb,
            tasks * step.accelerators,
        ):
            subject = "gang" if step.gang else "task"
            return JobExceedsQuota(
                f"one {subject} of step {index} needs more than the partner's quota of"
                f" {policy.quota.cpu_millis} millicores, {policy.quota.memory_mb} MB"
                f" and {policy.quota.accelerators} accelerators (0: no limit)"
            )
    return None


def list_miscounted_partners(tables: WorkTables) -> list[PartnerId]:
    """Return the partners whose usage differs from the sum over all workers' runs.

    There should be none: a partner whose usage is too high never starts its work, or
    waits behind all others, and one whose usage is too low exceeds its quota or share.
    """
    summed: dict[PartnerId, PartnerUsage] = {}
    for worker in tables.workers_by_id.values():
        for run in worker.runs.values():
            partner_id = run.task.step.job.partner.partner_id
            usage = summed.setdefault(partner_id, PartnerUsage(partner_id))
            add_usage(usage, run.task.step.spec)
            if not run.task.step.spec.long_running:
                usage.held_cpu_millis += run.task.step.resources.cpu_millis
                usage.held_memory_mb += run.task.step.resources.memory_mb
    return [
        partner_id
        for partner_id, usage in tables.usage_by_partner.items()
        if _list_amounts(usage)
        != _list_amounts(summed.get(partner_id, PartnerUsage(partner_id)))
    ]


def _list_amounts(usage: PartnerUsage) -> tuple[int, ...]:
    return (
        usage.runs,
        usage.cpu_millis,
        usage.memory_mb,
        usage.accelerators,
        usage.held_cpu_millis,
        usage.held_memory_mb,
    )


__all__ = [
    "JobExceedsQuota",
    "add_usage",
    "apply_quotas",
    "check_quota",
    "find_usage",
    "fits_quota",
    "is_within",
    "list_miscounted_partners",
    "remove_usage",
]
