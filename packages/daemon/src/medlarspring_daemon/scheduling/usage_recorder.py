"""Records recent use for the next controller, and reports the partners' shares."""

from __future__ import annotations

import asyncio
from enum import Enum
from typing import TYPE_CHECKING

import msgspec
from returns.pipeline import is_successful

from medlarspring_adapters.events import Event
from medlarspring_adapters.metrics import Metric
from medlarspring_adapters.store import Put, Transaction
from medlarspring_systems.scheduling.recent_use import (
    MAX_RECORD_AGE_SECONDS,
    list_largest_use,
    measure_change,
    restore_use,
)
from medlarspring_systems.scheduling.share_report import list_partners_over_share
from medlarspring_tables.scheduling import PartnerUse, UsageRecord

if TYPE_CHECKING:
    from medlarspring_adapters.background_tasks import BackgroundTasks
    from medlarspring_daemon.scheduling.context import SchedulingNode
    from medlarspring_daemon.scheduling.election import Term
    from medlarspring_systems.scheduling.share_report import OverShare
    from medlarspring_tables import PartnerId, Seconds
    from medlarspring_tables.scheduling import WorkTables

RECORD_SECONDS = 1.0
"""Interval of the reports; use is recorded at most as often."""
MAX_RECORDED_PARTNERS = 50
"""Bounds the record to about 2 KB. Partners that used less restart from 0 after a
takeover, which puts them no further behind."""
NOTICEABLE_PART = 0.01
"""Part of the fleet by which the record must be wrong before it is written again."""


class RecordOutcome(Enum):
    """What became of a record: read at a takeover, or to be written."""

    RESTORED = "restored"
    ABSENT = "absent"
    OLD = "old"
    UNREADABLE = "unreadable"
    UNANSWERED = "unanswered"
    NOT_WRITTEN = "not_written"


class UsageRecorder:
    """Restores recent use once, then records it and reports the shares.

    Does nothing while the configuration has fewer than two partners.
    """

    def __init__(
        self,
        node: SchedulingNode,
        term: Term,
        tables: WorkTables,
        tasks: BackgroundTasks,
    ) -> None:
        self._node = node
        self._term = term
        self._tables = tables
        self._tasks = tasks
        self._started = False
        self._restored = False
        self._recorded: dict[PartnerId, PartnerUse] = {}
        self._recorded_at: Seconds = 0.0
        self._write_failed = False
        """Whether the last write failed; logged once until one succeeds."""
        self._over: dict[PartnerId, OverShare] = {}
        """Partners over their share, as last logged."""

    def start_if_shared(self) -> None:
        """Start in the background once the configuration has shares."""
        if self._started or not self._tables.config.has_competing_partners:
            return
        self._started = True
        self._tasks.start(self._restore())
        self._tasks.run_with_restart(self._run)

    async def _restore(self) -> None:
        """Add the former controller's record to what was measured since.

        A single attempt: a record that can't be read now is soon worth nothing, and
        without it the partners merely begin as equals.
        """
        try:
            await self._read_record()
        finally:
            # From now on this controller replaces the record.
            self._restored = True

    async def _run(self) -> None:
        while True:
            self._report_shares()
            if self._restored:
                await self._record()
            await asyncio.sleep(RECORD_SECONDS)

    async def _read_record(self) -> None:
        answer = await self._node.store.read(self._term.keys.usage)
        if not is_successful(answer):
            self._log_record(RecordOutcome.UNANSWERED, fault=str(answer.failure()))
            return
        entry = answer.unwrap()
        if entry is None:
            self._log_record(RecordOutcome.ABSENT)
            return
        record = self._node.unreadable.decode(entry, UsageRecord)
        if record is None:
            self._log_record(RecordOutcome.UNREADABLE)
            return
        age = self._node.clock.wall() - record.at_ms / 1_000.0
        partners = restore_use(
            self._tables, record.use_by_partner, age, self._node.clock.now()
        )
        is_old = age > MAX_RECORD_AGE_SECONDS
        outcome = RecordOutcome.OLD if is_old else RecordOutcome.RESTORED
        self._log_record(outcome, age_s=round(age, 3), partners=partners)

    def _log_record(self, outcome: RecordOutcome, **details: str | float | int) -> None:
        self._node.log.info(
            Event.USAGE_RECORD,
            cell=self._term.cell_id,
            outcome=outcome.value,
            **details,
        )

    def _report_shares(self) -> None:
        """Log the partners whose tasks began or ceased to wait for their share."""
        now = self._node.clock.now()
        over = list_partners_over_share(self._tables, self._over, now)
        most = max((each.ratio for each in over.values()), default=0.0)
        self._node.metrics.gauge(Metric.SHARES_PARTNERS_OVER, len(over))
        self._node.metrics.gauge(Metric.SHARES_MOST_OVER, round(100.0 * most))
        for partner_id, figures in over.items():
            if partner_id not in self._over:
                self._node.log.info(
                    Event.SHARE_EXCEEDED,
                    partner=partner_id,
                    times_share=round(figures.ratio, 2),
                    waiting=figures.waiting,
                    weight=figures.weight,
                    cpu=figures.cpu_millis,
                    memory=figures.memory_mb,
                    config_version=self._tables.config.version,
                )
        for partner_id in self._over.keys() - over.keys():
            self._node.log.info(Event.SHARE_KEPT, partner=partner_id)
        self._over = over

    async def _record(self) -> None:
        """Write the record if a successor would otherwise be noticeably wrong."""
        if not self._tables.config.has_competing_partners or not self._term.is_active():
            return
        now = self._node.clock.now()
        use = list_largest_use(self._tables, MAX_RECORDED_PARTNERS, now)
        elapsed = now - self._recorded_at
        change = measure_change(self._tables, self._recorded, use, elapsed)
        if change < NOTICEABLE_PART:
            return
        record = UsageRecord(
            at_ms=round(self._node.clock.wall() * 1_000), use_by_partner=use
        )
        put = Put(self._term.keys.usage, msgspec.json.encode(record))
        answer = await self._node.store.commit(
            Transaction((self._term.expect(),), (put,))
        )
        is_written = is_successful(answer) and answer.unwrap().succeeded
        if is_written:
            self._recorded, self._recorded_at = use, now
        elif not self._write_failed:
            self._log_record(RecordOutcome.NOT_WRITTEN, partners=len(use))
        self._write_failed = not is_written


__all__ = ["UsageRecorder"]
