"""The state that the daemon's services share."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

from returns.result import Failure, Result

from medlarspring_adapters.decisions import DecisionLog
from medlarspring_adapters.peer_client import PeerError, PeerUnreachable
from medlarspring_adapters.store_meter import MeteredStore, create_metered_store
from medlarspring_tables.fleet_tables import FleetTables

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable, Mapping

    from aiohttp import web

    from medlarspring_adapters import peer_pb2
    from medlarspring_adapters.clock import Clock
    from medlarspring_adapters.events import EventLog
    from medlarspring_adapters.metrics import Metrics
    from medlarspring_adapters.operator_api import Finding
    from medlarspring_adapters.store import Expect, Store
    from medlarspring_daemon.settings import Settings
    from medlarspring_tables import (
        ConfigTable,
        EntryVMId,
        Member,
        PoolId,
        Seconds,
        VMId,
        VMList,
    )


class Component(Protocol):
    """One service of the daemon; started in order, stopped in reverse."""

    async def start(self) -> None:
        """Open ports and start tasks; failures end the process."""
        ...

    async def stop(self) -> None:
        """Finish what is in flight and close."""
        ...


class ReportContributor(Protocol):
    """A service with something to say in the report that peers exchange."""

    def fill_report(self, report: peer_pb2.Report) -> None:
        """Add this service's facts to the report that is about to be sent."""
        ...

    def apply_report(self, report: peer_pb2.Report) -> None:
        """Learn from a report that a peer sent."""
        ...


class SlotGranter(Protocol):
    """Answers the peers' wishes for slots of upstream VMs."""

    def grant_slots(self, request: peer_pb2.SlotRequest) -> peer_pb2.SlotReply:
        """Return the slots that the asker may use, each with its lifetime."""
        ...


class Peers(Protocol):
    """The other entry VMs: who is heard, and calls to them."""

    @property
    def heard_by_id(self) -> Mapping[EntryVMId, Member]:
        """Other entry VMs heard within the timeout and not leaving."""
        ...

    @property
    def known_by_id(self) -> Mapping[EntryVMId, Member]:
        """All other entry VMs that are listed or were heard lately."""
        ...

    @property
    def zone_members(self) -> tuple[EntryVMId, ...]:
        """This entry VM and those heard in its availability zone, sorted."""
        ...

    @property
    def refused_by_id(self) -> Mapping[EntryVMId, Seconds]:
        """When a peer's port refused a connection and nothing was heard since.

        The refusal proves that the process has ended; silence proves nothing.
        """
        ...

    async def call_grant_slots(
        self,
        entry_vm_id: EntryVMId,
        request: peer_pb2.SlotRequest,
        timeout_seconds: Seconds,
    ) -> Result[peer_pb2.SlotReply, PeerError]:
        """Ask one peer for slots."""
        ...

    async def find_decisions(self, kind: str, id: str) -> list[bytes]:  # noqa: A002
        """Return what this process and all heard peers remember, as JSON."""
        ...


class NoPeers:
    """Stands in until the peer service has started."""

    heard_by_id: Mapping[EntryVMId, Member] = {}
    known_by_id: Mapping[EntryVMId, Member] = {}
    refused_by_id: Mapping[EntryVMId, Seconds] = {}
    zone_members: tuple[EntryVMId, ...] = ()

    async def call_grant_slots(
        self,
        entry_vm_id: EntryVMId,
        request: peer_pb2.SlotRequest,
        timeout_seconds: Seconds,
    ) -> Result[peer_pb2.SlotReply, PeerError]:
        """Fail: there is no peer."""
        return Failure(PeerUnreachable(entry_vm_id, "the peer port is not open"))

    async def find_decisions(self, kind: str, id: str) -> list[bytes]:  # noqa: A002
        """Find nothing."""
        return []


class Holders(Protocol):
    """Which pools' control work this process holds."""

    def held_pools(self) -> frozenset[PoolId]:
        """Return the pools held for certain, by this process's own clock."""
        ...

    def fence(self, pool_id: PoolId) -> Expect | None:
        """Return the condition that each write of the pool's work must carry.

        None when the pool is not held, or its lease may have lapsed.
        """
        ...


class NoHolders:
    """Holds nothing; stands in until the holder service has started."""

    def held_pools(self) -> frozenset[PoolId]:
        """Return no pool."""
        return frozenset()

    def fence(self, pool_id: PoolId) -> Expect | None:
        """Return no fence."""
        return None


@dataclass(slots=True)
class Node:
    """What every service of one daemon may read; each field has one writer."""

    settings: Settings
    clock: Clock
    rng: random.Random
    log: EventLog
    metrics: Metrics
    store: MeteredStore
    decisions: DecisionLog
    id: EntryVMId
    incarnation: int
    """Random 64-bit number of this process; a restart changes it."""
    config: ConfigTable | None = None
    """The table in force; written by the configuration service."""
    config_listeners: list[Callable[[ConfigTable], None]] = field(default_factory=list)
    note_leaving: Callable[[VMId], None] = lambda vm_id: None
    """Tells the request path that a VM leaves, before any list shows it."""
    note_returned: Callable[[VMId, PoolId], None] = lambda vm_id, pool_id: None
    """Tells the request path that a VM serves again, before any list shows it."""
    offer_table: Callable[[ConfigTable], None] = lambda table: None
    """Takes a table that was just accepted; written by the configuration service."""
    vm_list: VMList | None = None
    """The newest list; written by the VM list service."""
    report_contributors: list[ReportContributor] = field(default_factory=list)
    slot_granter: SlotGranter | None = None
    operator_routes: list[web.RouteDef] = field(default_factory=list)
    """Routes of the operator port; parts add theirs before it starts."""
    status_sources: list[Callable[[], Iterable[Finding]]] = field(default_factory=list)
    """What parts know of that is cut off, stale or degraded."""
    peers: Peers = field(default_factory=NoPeers)
    """Written by the peer service."""
    holders: Holders = field(default_factory=NoHolders)
    """Written by the holder service."""
    fleet_tables: FleetTables = field(default_factory=FleetTables)
    """Records of VMs and waves; written by the fleet service while pools are held."""
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
        store=create_metered_store(store, clock),
        decisions=DecisionLog(clock, entry_vm_id),
        id=entry_vm_id,
        incarnation=rng.getrandbits(64),
    )


__all__ = [
    "Holders",
    "NoHolders",
    "NoPeers",
    "Node",
    "Component",
    "Peers",
    "ReportContributor",
    "SlotGranter",
    "create_node",
]
