"""The state shared by the daemon's services, and the protocols between them."""

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
    """A service of the daemon; started in order, stopped in reverse order."""

    async def start(self) -> None:
        """Open ports and start tasks; a failure ends the process."""
        ...

    async def stop(self) -> None:
        """Finish the work in flight and close."""
        ...


class ReportContributor(Protocol):
    """A service that contributes to the reports that peers exchange."""

    def fill_report(self, report: peer_pb2.Report) -> None:
        """Add this service's data to a report before it is sent."""
        ...

    def apply_report(self, report: peer_pb2.Report) -> None:
        """Apply a report received from a peer."""
        ...


class SlotGranter(Protocol):
    """Answers the peers' requests for slots of upstream VMs."""

    def grant_slots(self, request: peer_pb2.SlotRequest) -> peer_pb2.SlotReply:
        """Return the slots that the sender may use, each with its lifetime."""
        ...


class Peers(Protocol):
    """The other entry VMs: their reachability, and calls to them."""

    @property
    def heard_by_id(self) -> Mapping[EntryVMId, Member]:
        """Other entry VMs that sent a report within the timeout and are not leaving."""
        ...

    @property
    def known_by_id(self) -> Mapping[EntryVMId, Member]:
        """All other entry VMs that are listed or sent a report recently."""
        ...

    @property
    def zone_members(self) -> tuple[EntryVMId, ...]:
        """Ids of this entry VM and the heard ones in its availability zone, sorted."""
        ...

    @property
    def refused_by_id(self) -> Mapping[EntryVMId, Seconds]:
        """Times when a peer's port refused a connection, unless it was heard since.

        A refused connection proves that the process has ended; a missing report
        does not.
        """
        ...

    async def call_grant_slots(
        self,
        entry_vm_id: EntryVMId,
        request: peer_pb2.SlotRequest,
        timeout_seconds: Seconds,
    ) -> Result[peer_pb2.SlotReply, PeerError]:
        """Request slots from one peer."""
        ...

    async def find_decisions(self, kind: str, id: str) -> list[bytes]:  # noqa: A002
        """Return the decisions recorded here and by all heard peers, as JSON."""
        ...


class NoPeers:
    """Used until the peer service has started; there are no peers."""

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
        """Return a failure, because there are no peers."""
        return Failure(PeerUnreachable(entry_vm_id, "the peer port is not open"))

    async def find_decisions(self, kind: str, id: str) -> list[bytes]:  # noqa: A002
        """Return no decisions."""
        return []


class Holders(Protocol):
    """Provides the pools whose control work this process holds."""

    def held_pools(self) -> frozenset[PoolId]:
        """Return the pools that are certainly held, by this process's own clock."""
        ...

    def fence(self, pool_id: PoolId) -> Expect | None:
        """Return the condition that each write for the pool must include.

        None if the pool is not held, or if its lease may have expired.
        """
        ...


class NoHolders:
    """Used until the holder service has started; no pool is held."""

    def held_pools(self) -> frozenset[PoolId]:
        """Return no pool."""
        return frozenset()

    def fence(self, pool_id: PoolId) -> Expect | None:
        """Return None, because no pool is held."""
        return None


@dataclass(slots=True)
class Node:
    """State that every service of a daemon may read; each field has one writer."""

    settings: Settings
    clock: Clock
    rng: random.Random
    log: EventLog
    metrics: Metrics
    store: MeteredStore
    decisions: DecisionLog
    id: EntryVMId
    incarnation: int
    """Random 64-bit number of this process; it changes on restart."""
    config: ConfigTable | None = None
    """The current table; written by the configuration service."""
    config_listeners: list[Callable[[ConfigTable], None]] = field(default_factory=list)
    record_leaving: Callable[[VMId], None] = lambda vm_id: None
    """Informs the request path that a VM is leaving, before any list shows it."""
    record_returned: Callable[[VMId, PoolId], None] = lambda vm_id, pool_id: None
    """Informs the request path that a VM serves again, before any list shows it."""
    offer_table: Callable[[ConfigTable], None] = lambda table: None
    """Receives a newly accepted table; written by the configuration service."""
    vm_list: VMList | None = None
    """The newest list; written by the VM list service."""
    report_contributors: list[ReportContributor] = field(default_factory=list)
    slot_granter: SlotGranter | None = None
    operator_routes: list[web.RouteDef] = field(default_factory=list)
    """Routes of the operator port; components add theirs before it starts."""
    status_sources: list[Callable[[], Iterable[Finding]]] = field(default_factory=list)
    """Callables that return what is partitioned, stale or degraded."""
    peers: Peers = field(default_factory=NoPeers)
    """Written by the peer service."""
    holders: Holders = field(default_factory=NoHolders)
    """Written by the holder service."""
    fleet_tables: FleetTables = field(default_factory=FleetTables)
    """Records of VMs and waves; written by the fleet service while pools are held."""
    addresses: dict[str, str] = field(default_factory=dict)
    """Actual addresses of the open ports by port name."""
    stopping: bool = False


def create_node(
    settings: Settings,
    clock: Clock,
    rng: random.Random,
    log: EventLog,
    metrics: Metrics,
    store: Store,
) -> Node:
    """Return the state of a daemon that is not started yet."""
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
