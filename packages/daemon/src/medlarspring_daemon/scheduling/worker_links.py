"""The links to all workers of a cell during one leadership term."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from medlarspring_daemon.scheduling.failure_log import Step
from medlarspring_daemon.scheduling.worker_link import WorkerLink
from medlarspring_tables.scheduling import RunState

if TYPE_CHECKING:
    from medlarspring_daemon.scheduling.context import SchedulingNode
    from medlarspring_daemon.scheduling.election import Term
    from medlarspring_daemon.scheduling.link_owner import LinkOwner
    from medlarspring_tables.scheduling import Worker, WorkerId


class WorkerLinks:
    """Opens, finds and closes the link to each worker."""

    def __init__(self, node: SchedulingNode, term: Term, owner: LinkOwner) -> None:
        self._node = node
        self._term = term
        self._owner = owner
        self._links_by_id: dict[WorkerId, WorkerLink] = {}
        self._closing: set[asyncio.Task[None]] = set()

    def find(self, worker_id: WorkerId) -> WorkerLink | None:
        """Return the link to a worker, if there is one."""
        return self._links_by_id.get(worker_id)

    def connect(self, worker: Worker) -> None:
        """Open a link to a worker's present address; poll a known, unread worker."""
        link = self._links_by_id.get(worker.id)
        if link is not None and not link.uses_address(worker.address):
            self._disconnect_from_old_address(worker)
            link = None
        if link is None and worker.address:
            link = WorkerLink(self._node, self._term, self._owner, worker)
            self._links_by_id[worker.id] = link
            link.start()
        elif link is not None and not worker.reconciled:
            link.poll()

    def _disconnect_from_old_address(self, worker: Worker) -> None:
        """Close the connections to a worker whose address has changed.

        Answers to orders in flight are no longer received. Runs that stayed in
        state ``ORDERED`` would block their tasks forever, so their state becomes
        ``UNKNOWN``.
        """
        now = self._node.clock.now()
        for run in worker.runs.values():
            if run.state is RunState.ORDERED:
                run.state = RunState.UNKNOWN
                run.ordered_at = now
        self.close(worker)

    def close(self, worker: Worker) -> None:
        """Close the connections to a worker, in the background."""
        link = self._links_by_id.pop(worker.id, None)
        if link is None:
            return
        task = asyncio.create_task(self._close(link))
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)

    async def _close(self, link: WorkerLink) -> None:
        try:
            await link.close()
        except Exception:
            self._node.failures.report(Step.LINK_CLOSE)

    async def close_all(self) -> None:
        """Close the connections to all workers."""
        links = list(self._links_by_id.values())
        await asyncio.gather(*(self._close(link) for link in links))

    async def wait_until_closed(self) -> None:
        """Wait for the links that are being closed in the background."""
        await asyncio.gather(*self._closing, return_exceptions=True)


__all__ = ["WorkerLinks"]
