"""What the parts of a worker link share."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from medlarspring_adapters.background_tasks import BackgroundTasks
    from medlarspring_adapters.worker_orders import WorkerAddress
    from medlarspring_daemon.scheduling.context import SchedulingNode
    from medlarspring_daemon.scheduling.election import Term
    from medlarspring_daemon.scheduling.link_owner import LinkOwner
    from medlarspring_tables.scheduling import Worker


@dataclass(frozen=True, slots=True)
class LinkContext:
    """The worker of a link, the term in which it is called, and who makes the calls."""

    node: SchedulingNode
    term: Term
    owner: LinkOwner
    worker: Worker
    address: WorkerAddress
    tasks: BackgroundTasks
    """The link's calls; they are cancelled when it is closed."""


__all__ = ["LinkContext"]
