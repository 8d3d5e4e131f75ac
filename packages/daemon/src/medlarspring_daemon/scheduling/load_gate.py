"""Refuses new jobs that can't complete while that is of use."""

from __future__ import annotations

import asyncio
import zlib
from typing import TYPE_CHECKING

from returns.pipeline import is_successful

from medlarspring_adapters.background_tasks import BackgroundTasks
from medlarspring_daemon.scheduling.unsettled_submissions import UnsettledSubmissions
from medlarspring_systems.scheduling.load_admission import (
    decide_admission,
    decide_late_admission,
)

if TYPE_CHECKING:
    from medlarspring_daemon.scheduling.context import SchedulingNode
    from medlarspring_daemon.scheduling.keys import CellKeys
    from medlarspring_daemon.scheduling.load_view import LoadView
    from medlarspring_daemon.scheduling.operator_records import OperatorRecords
    from medlarspring_systems.scheduling.callers import Caller
    from medlarspring_systems.scheduling.load_admission import LoadRefusal
    from medlarspring_tables import JobId
    from medlarspring_tables.scheduling import JobSpec, QueuePolicy

KEY_CHECK_SECONDS = 0.1
"""A look for the job's key that takes longer refuses nothing."""


class LoadGate:
    """Decides on one entry VM which submissions are refused for load."""

    def __init__(
        self, node: SchedulingNode, operator_records: OperatorRecords, view: LoadView
    ) -> None:
        self._node = node
        self._operator_records = operator_records
        self._view = view
        self._tasks = BackgroundTasks(node.log)
        self.unsettled = UnsettledSubmissions()

    async def stop(self) -> None:
        """Stop the reads that nobody waits for any more."""
        await self._tasks.cancel()

    async def find_refusal(
        self,
        queue: QueuePolicy,
        job_id: JobId,
        spec: JobSpec,
        caller: Caller,
        keys: CellKeys,
    ) -> LoadRefusal | None:
        """Return why a submission is refused for load, or None to go on with it."""
        config = self._operator_records.config
        if caller.policy is None or config is None or not config.has_competing_partners:
            return None
        refusal = decide_admission(
            queue,
            spec,
            caller.policy.id,
            self._view.sample(keys.cell_id),
            _spread(job_id),
        )
        if refusal is None or not await self._is_certainly_new(job_id, keys):
            return None
        return refusal

    async def find_late_retry(
        self, queue: QueuePolicy, job_id: JobId, spec: JobSpec, keys: CellKeys
    ) -> int | None:
        """Return when to repeat a job that a late controller can't start in time.

        None to go on with it; whole seconds otherwise.
        """
        sample = self._view.sample(keys.cell_id)
        retry_after = decide_late_admission(queue, spec, sample, _spread(job_id))
        if retry_after is None or not await self._is_certainly_new(job_id, keys):
            return None
        return retry_after

    async def _is_certainly_new(self, job_id: JobId, keys: CellKeys) -> bool:
        """Return whether no attempt with this id was accepted or is being written.

        A repeat of an accepted job that was told "not accepted" would be a lie: the
        job runs. The normal path tells repeats from new jobs, so it is taken in doubt,
        also while a write of this process for another attempt may be applied late.
        """
        if self.unsettled.contains(job_id, self._node.clock.now()):
            return False
        absent = False

        async def check() -> None:
            nonlocal absent
            found = await self._node.store.read(keys.job(job_id))
            absent = is_successful(found) and found.unwrap() is None

        # The read goes on after the timeout: cancelling it would close its connection.
        await asyncio.wait({self._tasks.start(check())}, timeout=KEY_CHECK_SECONDS)
        return absent


def _spread(job_id: JobId) -> float:
    """Return a number in [0, 1) that is the same for a job on each entry VM."""
    return zlib.crc32(job_id.encode()) / float(1 << 32)


__all__ = ["LoadGate"]
