"""Publishes a cell's load: waiting jobs for entry VMs, counts, partners at quota."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

import msgspec
from returns.pipeline import is_successful

from medlarspring_adapters.events import Event
from medlarspring_adapters.metrics import Metric
from medlarspring_adapters.store import Expect, Put, Transaction
from medlarspring_daemon.scheduling.failure_log import Step
from medlarspring_daemon.scheduling.run_log import log_backlog
from medlarspring_systems.scheduling.backlog import describe_backlog
from medlarspring_systems.scheduling.jobs import is_unstarted
from medlarspring_systems.scheduling.load_forecast import forecast_waits
from medlarspring_systems.scheduling.placement import is_schedulable
from medlarspring_systems.scheduling.waiting import (
    count_waiting,
    count_waiting_for_quota,
)
from medlarspring_tables import Revision
from medlarspring_tables.scheduling import LoadRecord, QuarantineReason

if TYPE_CHECKING:
    from collections.abc import Callable

    from medlarspring_adapters.prefix_follower import PrefixFollower
    from medlarspring_daemon.scheduling.context import SchedulingNode
    from medlarspring_daemon.scheduling.election import Term
    from medlarspring_tables import PartnerId
    from medlarspring_tables.scheduling import WorkTables

PUBLISH_SECONDS = 0.8
"""Interval of publication; customers may be shown counts that are up to 2 s old."""
MIN_PAUSE_SECONDS = 0.1
"""Shortest time between two publications, also if the store answers late."""


class LoadReporter:
    """Updates the load metrics, and writes the waiting jobs to the store.

    ``inbox`` follows the accepted jobs; ``get_delay_ms`` tells by how much this process
    acts late.
    """

    def __init__(
        self,
        node: SchedulingNode,
        term: Term,
        tables: WorkTables,
        inbox: PrefixFollower,
        get_delay_ms: Callable[[], int],
    ) -> None:
        self._node = node
        self._term = term
        self._tables = tables
        self._inbox = inbox
        self._revision = Revision(0)
        """Store revision of the load record, as far as known."""
        self._get_delay_ms = get_delay_ms
        self._at_quota: set[PartnerId] = set()
        """Partners whose tasks wait for their quota, as last logged."""

    async def run(self) -> None:
        """Publish the load until cancelled."""
        while True:
            began_at = self._node.clock.now()
            attempt = self._node.failures.attempt
            attempt(Step.LOAD_REPORT, self._update_metrics)
            attempt(Step.LOAD_REPORT, self._report_quotas)
            attempt(Step.LOAD_REPORT, self._report_backlogs)
            await self._publish()
            # Counts would be refused as too old if the time of the write were added.
            elapsed = self._node.clock.now() - began_at
            await asyncio.sleep(max(PUBLISH_SECONDS - elapsed, MIN_PAUSE_SECONDS))

    def _update_metrics(self) -> None:
        metrics, now = self._node.metrics, self._node.clock.now()
        workers = self._tables.workers_by_id.values()
        metrics.gauge(Metric.JOBS_OPEN, len(self._tables.jobs_by_id))
        metrics.gauge(
            Metric.WORKERS_OPEN, sum(1 for each in workers if is_schedulable(each, now))
        )
        metrics.gauge(
            Metric.WORKERS_SILENT, sum(1 for each in workers if each.unanswered_since)
        )
        metrics.gauge(
            Metric.WORKERS_DOUBTED,
            sum(
                1
                for each in workers
                if each.quarantine_reason is not QuarantineReason.NONE
            ),
        )
        waiting, unplaceable = count_waiting(self._tables, now)
        metrics.gauge(Metric.TASKS_WAITING, waiting)
        metrics.gauge(Metric.TASKS_SHUT_OUT, unplaceable)

    def _report_quotas(self) -> None:
        """Log the partners whose tasks began or ceased to wait for their quota."""
        waiting = count_waiting_for_quota(self._tables)
        self._node.metrics.gauge(Metric.TASKS_OVER_QUOTA, sum(waiting.values()))
        for partner_id in waiting.keys() - self._at_quota:
            self._node.log.info(
                Event.QUOTA_REACHED,
                waiting=waiting[partner_id],
                **self._describe_usage(partner_id),
            )
        for partner_id in self._at_quota - waiting.keys():
            self._node.log.info(Event.QUOTA_LEFT, **self._describe_usage(partner_id))
        self._at_quota = set(waiting)

    def _report_backlogs(self) -> None:
        """Log the pools whose tasks have waited for long, and why they wait."""
        suspected = isolated = kept_free = 0
        for pool_id in self._tables.ready_by_pool:
            now = self._node.clock.now()
            backlog = describe_backlog(self._tables, pool_id, now)
            if backlog is None:
                continue
            log_backlog(self._node, pool_id, backlog)
            suspected += backlog.suspected
            isolated += backlog.isolated
            kept_free += backlog.kept_free
        self._node.metrics.gauge(Metric.TASKS_SUSPECTED, suspected)
        self._node.metrics.gauge(Metric.WORKERS_ISOLATED, isolated)
        self._node.metrics.gauge(Metric.WORKERS_KEPT_FREE, kept_free)

    def _describe_usage(self, partner_id: PartnerId) -> dict[str, str | int]:
        usage = self._tables.usage_by_partner[partner_id]
        return {
            "partner": partner_id,
            "cpu": usage.cpu_millis,
            "memory": usage.memory_mb,
            "accelerators": usage.accelerators,
            "quota_cpu": usage.quota.cpu_millis,
            "quota_memory": usage.quota.memory_mb,
            "quota_accelerators": usage.quota.accelerators,
            "config_version": self._tables.config.version,
        }

    async def _publish(self) -> None:
        """Write the load, also if it is unchanged.

        Entry VMs use counts and forecasts only while writes show that they are fresh.
        """
        confirmed_at = self._inbox.confirmed_at
        if not self._term.is_active() or confirmed_at is None:
            return
        waiting: dict[str, int] = {}
        for job in self._tables.jobs_by_id.values():
            if is_unstarted(job):
                waiting[job.queue.id] = waiting.get(job.queue.id, 0) + 1
        now = self._node.clock.now()
        record = LoadRecord(
            at_ms=round(self._node.clock.wall() * 1_000),
            waiting_by_queue=waiting,
            waits=forecast_waits(self._tables, now),
            view_age_ms=math.ceil((now - confirmed_at) * 1_000),
            delay_ms=self._get_delay_ms(),
        )
        if not await self._write(record):
            await self._write(record)

    async def _write(self, record: LoadRecord) -> bool:
        """Write the record; return False if it was found to be another's by now.

        An unanswered write may be applied late. It then mustn't replace a newer one,
        whose counts readers would take it for.
        """
        key = self._term.keys.load
        expects = (self._term.expect(), Expect(key, self._revision))
        puts = (Put(key, msgspec.json.encode(record)),)
        transaction = Transaction(expects, puts, tuple(each.key for each in expects))
        answer = await self._node.store.commit(transaction)
        if not is_successful(answer):
            return True
        committed = answer.unwrap()
        if committed.succeeded:
            self._revision = committed.revision
            return True
        if not self._term.check_still_holder(committed):
            return True
        found = committed.read_by_key.get(key)
        self._revision = found.mod_revision if found else Revision(0)
        return False


__all__ = ["LoadReporter"]
