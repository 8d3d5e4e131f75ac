"""The state that the daemon's services share."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

from medlarspring_adapters.decisions import DecisionLog

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from aiohttp import web

    from medlarspring_adapters import peer_pb2
    from medlarspring_adapters.clock import Clock
    from medlarspring_adapters.events import EventLog
    from medlarspring_adapters.metrics import Metrics
    from medlarspring_adapters.store import Store
    from medlarspring_daemon.settings import Settings
    from medlarspring_tables import ConfigTable, EntryVMId, VMList


class Part(Protocol):
    """One service of the daemon; started in order, stopped in reverse."""

    async def start(self) -> None:
        """Open ports and start tasks; failures end the process."""
        ...

    async def stop(self) -> None:
        """Finish what is in flight and close."""
        ...


class ReportPart(Protocol):
    """A service with something to say in the report that peers exchange."""

    def fill_report(self, report: peer_pb2.Report) -> None:
        """Add this service's facts to the report that is about to be sent."""
        ...

    def take_report(self, report: peer_pb2.Report) -> None:
        """Learn from a report that a peer sent."""
        ...


class SlotGranter(Protocol):
    """Answers the peers' wishes for slots of upstream VMs."""

    def grant_slots(self, request: peer_pb2.SlotRequest) -> peer_pb2.SlotReply:
        """Return the slots that the asker may use, each with its lifetime."""
        ...


@dataclass(slots=True)
class Node:
    """What every service of one daemon may read; each field has one writer."""

    settings: Settings
    clock: Clock
    rng: random.Random
    log: EventLog
    metrics: Metrics
    store: Store
    decisions: DecisionLog
    id: EntryVMId
    incarnation: int
    """Random 64-bit number of this process; a restart changes it."""
    config: ConfigTable | None = None
    """The table in force; written by the configuration service."""
    config_listeners: list[Callable[[ConfigTable], None]] = field(default_factory=list)
    offer_table: Callable[[ConfigTable], None] = lambda table: None
    """Takes a table that was just accepted; written by the configuration service."""
    vm_list: VMList | None = None
    """The newest list; written by the VM list service."""
    report_parts: list[ReportPart] = field(default_factory=list)
    slot_granter: SlotGranter | None = None
    operator_routes: list[web.RouteDef] = field(default_factory=list)
    """Routes of the operator port; parts add theirs before it starts."""
    addresses: dict[str, str] = field(default_factory=dict)
    """Real addresses of the open ports by port name."""
    stopping: bool = False


def create_node(
    settings: Settings,
    clock: Clock,
    rng: random.Random,
    log: EventLog,
    metrics: Metrics,
    store: Store,
) -> Node:
    """Return the state of a daemon that has not started yet."""
    entry_vm_id: EntryVMId = settings.entry_vm.id  # type: ignore[assignment]
    return Node(
        settings=settings,
        clock=clock,
        rng=rng,
        log=log,
        metrics=metrics,
        store=store,
        decisions=DecisionLog(clock, entry_vm_id),
        id=entry_vm_id,
        incarnation=rng.getrandbits(64),
    )


__all__ = ["Node", "Part", "ReportPart", "SlotGranter", "create_node"]
