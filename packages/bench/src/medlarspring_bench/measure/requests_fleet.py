"""A fleet of entry VMs and upstream VMs under a virtual clock.

Admission, fair queue, routing and the exchange of slots are the product's own;
only the wire, the callers and the upstream VMs are simulated.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any, cast

from medlarspring_adapters import peer_pb2
from medlarspring_adapters.clock import ManualClock
from medlarspring_adapters.events import create_event_log
from medlarspring_adapters.metrics import NoMetrics
from medlarspring_bench.measure.requests_processes import create_settings
from medlarspring_bench.memory_store import create_memory_store
from medlarspring_daemon.node import create_node
from medlarspring_daemon.services.caller_reports import CallerReports
from medlarspring_daemon.services.caller_state import CallerState
from medlarspring_daemon.services.slot_exchange import SlotExchange
from medlarspring_systems import admission, fair_queue
from medlarspring_systems.routing import choose_upstream
from medlarspring_tables import (
    ConfigTable,
    EntryVMId,
    ListedEntryVM,
    ListedVM,
    PartnerId,
    PartnerRow,
    PoolId,
    RackId,
    RegionId,
    RequestId,
    ServiceId,
    VMId,
    VMList,
    ZoneId,
)
from medlarspring_tables.requests import CallerRequest, Urgency

if TYPE_CHECKING:
    from collections.abc import Callable

    from medlarspring_daemon.services.slot_exchange import Asking
    from medlarspring_tables.upstreams import Upstream

POOL = PoolId("consent")
SLOTS = 8
TICK_SECONDS = 0.05
ONE_WAY_SECONDS = 0.0015
ZONE_REPORT_SECONDS = 0.5
REMOTE_REPORT_SECONDS = 2.0
MAX_WAITING = 2000
REFUSED_PAUSE_SECONDS = 0.01
FIRST_LIMIT = 2.0
LIMIT_STEP = 0.2
LIMIT_CUT = 0.7


class Sharing(Enum):
    """Ways of sharing slots between entry VMs."""

    CREDITS = "credits by a home, divided by partner"
    LOCAL = "credits by a home, local queues only"
    STATIC = "static split"
    OPTIMISTIC = "optimistic with adaptive limits"


@dataclass(slots=True)
class FleetShape:
    """Sizes of the simulated fleet and of its work."""

    entry_vms: int = 8
    zones: int = 4
    upstreams: int = 8
    skew: float = 4.0
    """Weight of the first entry VM at the balancer, the others having 1."""
    service_seconds: float = 0.05
    service_sigma: float = 0.5
    deadline_seconds: float = 2.0
    weights_by_partner: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class Tally:
    """What became of the requests after the warm-up."""

    offered: Counter[str] = field(default_factory=Counter)
    served: Counter[str] = field(default_factory=Counter)
    """Answered within the deadline."""
    refused: Counter[str] = field(default_factory=Counter)
    urgent_waits: list[float] = field(default_factory=list)
    busy_slot_seconds: float = 0.0
    refusals_by_upstreams: int = 0
    over_slots: int = 0
    """Times that an upstream was given more than its slots."""


class EntryVM:
    """One simulated entry VM."""

    def __init__(self, fleet: Fleet, number: int) -> None:
        self.fleet = fleet
        self.id = EntryVMId(f"e{number}")
        self.zone_id = ZoneId(f"z{number % fleet.shape.zones}")
        rng = random.Random(fleet.rng.getrandbits(32))
        node = create_node(
            create_settings(self.id, self.zone_id),
            fleet.clock,
            rng,
            create_event_log(self.id, "ERROR"),
            NoMetrics(),
            create_memory_store(fleet.clock),
        )
        node.config = fleet.config
        node.vm_list = fleet.vm_list
        node.peers = cast("Any", SimpleNamespace(refused_by_id={}, heard_by_id={}))
        self.node = node
        self.state = CallerState(node)
        self.state.refresh()
        self.exchange = SlotExchange(node, self.state)
        self.reports = CallerReports(self.state)
        self.limits: dict[VMId, float] = {}

    def offer(self, request: CallerRequest) -> None:
        """Admit, queue or refuse one request."""
        now = self.fleet.clock.now()
        pool = self.state.get_pool(POOL)
        if not pool.waiting and (upstream := self._choose(now)) is not None:
            self._begin(request, upstream, now)
            return
        usable = self.state.count_usable_slots(POOL, now)
        queue = fair_queue.get_partner_queue(pool, request.partner_id)
        room = admission.WaitingRoom(MAX_WAITING, pool.waiting, queue.waiting)
        refusal = admission.check_admission(pool, request, usable, room, now)
        if refusal is not None:
            self.fleet.note_refused(request)
            return
        fair_queue.enqueue(pool, request)
        self.exchange.want(POOL)
        left = request.deadline - now - pool.service_seconds
        self.fleet.at(max(0.0, left), lambda: self._expire(request))

    def pump(self) -> None:
        """Give free slots to the requests that go next."""
        pool = self.state.get_pool(POOL)
        now = self.fleet.clock.now()
        fleet_slots = self.state.count_fleet_slots(POOL)
        while pool.waiting and (upstream := self._choose(now)) is not None:
            request = fair_queue.pick_next(pool, fleet_slots, now)
            if request is None:
                break
            self._begin(request, upstream, now)
        if pool.waiting:
            self.exchange.want(POOL)

    def _choose(self, now: float) -> Upstream | None:
        return choose_upstream(self.state.upstreams, POOL, self.zone_id, now)

    def _expire(self, request: CallerRequest) -> None:
        if fair_queue.remove(self.state.get_pool(POOL), request):
            self.fleet.note_refused(request)

    def _begin(self, request: CallerRequest, upstream: Upstream, now: float) -> None:
        upstream.in_use += 1
        fair_queue.begin(self.state.get_pool(POOL), request.partner_id, now)
        if not self.fleet.run(upstream.id):
            self.fleet.at(2 * ONE_WAY_SECONDS, lambda: self._refused(request, upstream))
            return
        self.fleet.note_start(request, now)
        took = self.fleet.draw_service()
        self.fleet.at(took, lambda: self._finish(request, upstream, now))

    def _refused(self, request: CallerRequest, upstream: Upstream) -> None:
        """The upstream's slots were full; only optimistic sending sees this."""
        now = self.fleet.clock.now()
        pool = self.state.get_pool(POOL)
        upstream.in_use -= 1
        fair_queue.finish(pool, request.partner_id, now, now)
        self._set_limit(upstream, self.limits[upstream.id] * LIMIT_CUT)
        upstream.credit_until = now + REFUSED_PAUSE_SECONDS
        self.fleet.at(REFUSED_PAUSE_SECONDS, lambda: self._reopen(upstream))
        fair_queue.enqueue(pool, request, first=True)
        self.pump()

    def _reopen(self, upstream: Upstream) -> None:
        upstream.credit_until = float("inf")
        self.pump()

    def _finish(self, request: CallerRequest, upstream: Upstream, began: float) -> None:
        now = self.fleet.clock.now()
        upstream.in_use -= 1
        self.fleet.end_run(upstream.id)
        fair_queue.finish(self.state.get_pool(POOL), request.partner_id, began, now)
        if upstream.id in self.limits:
            self._set_limit(upstream, self.limits[upstream.id] + LIMIT_STEP)
        self.fleet.note_end(request, began, now)
        self.pump()

    def _set_limit(self, upstream: Upstream, limit: float) -> None:
        self.limits[upstream.id] = min(float(SLOTS), max(1.0, limit))
        upstream.credit = int(self.limits[upstream.id])


class Fleet:
    """The event loop of the simulation."""

    def __init__(self, shape: FleetShape, sharing: Sharing, seed: int) -> None:
        self.shape = shape
        self.sharing = sharing
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.config = ConfigTable(
            partners_by_id={
                PartnerId(name): PartnerRow(id=PartnerId(name), weight=weight)
                for name, weight in shape.weights_by_partner.items()
            }
        )
        self.vm_list = _create_list(shape)
        self.tally = Tally()
        self.counts_from = float("inf")
        self._running: Counter[VMId] = Counter()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0
        self.entry_vms = [EntryVM(self, number) for number in range(shape.entry_vms)]
        self._by_id = {each.id: each for each in self.entry_vms}
        for each in self.entry_vms:
            self._connect(each)

    def at(self, delay: float, action: Callable[[], None]) -> None:
        """Do something later."""
        self._sequence += 1
        due = self.clock.now() + delay
        heapq.heappush(self._events, (due, self._sequence, action))

    def run_until(self, end: float) -> None:
        """Let virtual time pass, counted from the start."""
        limit = 1000.0 + end
        while self._events and self._events[0][0] <= limit:
            due, _, action = heapq.heappop(self._events)
            self.clock.advance(due - self.clock.now())
            action()

    def add_load(
        self, partner: str, rate: float, urgency: Urgency = Urgency.NORMAL
    ) -> None:
        """Offer requests at a rate, at random times, through the balancer."""
        weights = [self.shape.skew] + [1.0] * (len(self.entry_vms) - 1)

        def arrive() -> None:
            now = self.clock.now()
            request = CallerRequest(
                id=RequestId(""),
                partner_id=PartnerId(partner),
                service_id=ServiceId(POOL),
                pool_id=POOL,
                method="GET",
                target="/",
                body=b"",
                arrived_at=now,
                deadline=now + self.shape.deadline_seconds,
                urgency=urgency,
                repeatable=True,
            )
            if now >= self.counts_from:
                self.tally.offered[partner] += 1
            (entry_vm,) = self.rng.choices(self.entry_vms, weights)
            entry_vm.offer(request)
            self.at(self.rng.expovariate(rate), arrive)

        self.at(self.rng.expovariate(rate), arrive)

    def run(self, vm_id: VMId) -> bool:
        """Take a slot of an upstream VM; False if it refuses."""
        if self._running[vm_id] >= SLOTS:
            self.tally.refusals_by_upstreams += 1
            if self.sharing in (Sharing.CREDITS, Sharing.LOCAL):
                self.tally.over_slots += 1
            if self.sharing is Sharing.OPTIMISTIC:
                return False
        self._running[vm_id] += 1
        return True

    def end_run(self, vm_id: VMId) -> None:
        """Give the slot back."""
        self._running[vm_id] -= 1

    def draw_service(self) -> float:
        """Return how long one request runs."""
        sigma = self.shape.service_sigma
        shrink = math.exp(-sigma * sigma / 2)
        drawn = self.rng.lognormvariate(0.0, sigma)
        return self.shape.service_seconds * shrink * drawn + 2 * ONE_WAY_SECONDS

    def note_refused(self, request: CallerRequest) -> None:
        """Count a refusal."""
        if request.arrived_at >= self.counts_from:
            self.tally.refused[request.partner_id] += 1

    def note_start(self, request: CallerRequest, now: float) -> None:
        """Count the wait of urgent work."""
        if request.urgency is Urgency.URGENT and now >= self.counts_from:
            self.tally.urgent_waits.append(now - request.arrived_at)

    def note_end(self, request: CallerRequest, began: float, now: float) -> None:
        """Count an answer and the slot time that it took."""
        if now >= self.counts_from:
            self.tally.busy_slot_seconds += now - max(began, self.counts_from)
            if now <= request.deadline:
                self.tally.served[request.partner_id] += 1

    def _connect(self, entry_vm: EntryVM) -> None:
        others = {
            each.id: SimpleNamespace(zone_id=each.zone_id)
            for each in self.entry_vms
            if each is not entry_vm
        }
        cast("Any", entry_vm.node.peers).heard_by_id = others
        upstreams = entry_vm.state.list_upstreams(POOL)
        if self.sharing in (Sharing.STATIC, Sharing.OPTIMISTIC):
            for upstream in upstreams:
                upstream.credit_until = float("inf")
                if self.sharing is Sharing.STATIC:
                    upstream.credit = SLOTS // len(self.entry_vms)
                else:
                    entry_vm.limits[upstream.id] = FIRST_LIMIT
                    upstream.credit = int(FIRST_LIMIT)
        else:
            self.at(self.rng.uniform(0, TICK_SECONDS), lambda: self._tick(entry_vm))
        if self.sharing is not Sharing.LOCAL:
            for other in self.entry_vms:
                if other is not entry_vm:
                    self._plan_reports(entry_vm, other)

    def _tick(self, entry_vm: EntryVM) -> None:
        for asking in entry_vm.exchange.list_due():
            if self.sharing is Sharing.LOCAL:
                _forget_partners(asking.request)
            home = self._by_id[asking.home]
            self._carry(entry_vm, home, asking)
        self.at(TICK_SECONDS, lambda: self._tick(entry_vm))

    def _carry(self, entry_vm: EntryVM, home: EntryVM, asking: Asking) -> None:
        delay = 0.0 if home is entry_vm else ONE_WAY_SECONDS

        def answer() -> None:
            reply = home.exchange.answer(asking.request)
            self.at(delay, lambda: take(reply))

        def take(reply: peer_pb2.SlotReply) -> None:
            entry_vm.exchange.take_reply(asking, reply)
            entry_vm.pump()

        self.at(delay, answer)

    def _plan_reports(self, entry_vm: EntryVM, other: EntryVM) -> None:
        near = entry_vm.zone_id == other.zone_id
        interval = ZONE_REPORT_SECONDS if near else REMOTE_REPORT_SECONDS

        def send() -> None:
            report = peer_pb2.Report(sender=entry_vm.id, incarnation=1)
            entry_vm.reports.fill_report(report)
            self.at(ONE_WAY_SECONDS, lambda: other.reports.take_report(report))
            self.at(interval, send)

        self.at(self.rng.uniform(0, interval), send)


def _forget_partners(request: peer_pb2.SlotRequest) -> None:
    """Make the home divide by entry VM alone."""
    total = sum(usage.waiting + usage.running for usage in request.demand)
    pools = {usage.pool for usage in request.demand}
    request.ClearField("demand")
    for pool in pools:
        partner = request.sender if total else ""
        request.demand.add(pool=pool, partner=partner, waiting=total)


def _create_list(shape: FleetShape) -> VMList:
    vm_list = VMList()
    region = RegionId("r")
    for number in range(shape.upstreams):
        vm_id = VMId(f"vm-{number}")
        vm_list.vms_by_id[vm_id] = ListedVM(
            vm_id,
            f"10.0.0.{number}:80",
            POOL,
            RackId("rack"),
            ZoneId(f"z{number % shape.zones}"),
            region,
        )
    for number in range(shape.entry_vms):
        entry_vm_id = EntryVMId(f"e{number}")
        zone_id = ZoneId(f"z{number % shape.zones}")
        vm_list.entry_vms_by_id[entry_vm_id] = ListedEntryVM(
            entry_vm_id, "10.0.1.1:1", zone_id, region
        )
    return vm_list


__all__ = ["SLOTS", "Fleet", "FleetShape", "Sharing", "Tally"]
