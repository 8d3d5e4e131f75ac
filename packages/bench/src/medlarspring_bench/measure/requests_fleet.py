"""Simulates a fleet of entry VMs and upstream VMs with a virtual clock.

Admission, fair queue, routing and slot exchange are the product's code; only the
network, the callers and the upstream VMs are simulated.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import Counter
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any, cast

from medlarspring_adapters import peer_pb2
from medlarspring_adapters.clock import ManualClock
from medlarspring_bench.measure.requests_entry_vm import EntryVM
from medlarspring_bench.measure.requests_model import (
    FIRST_LIMIT,
    ONE_WAY_SECONDS,
    POOL,
    REMOTE_REPORT_SECONDS,
    SLOTS,
    TICK_SECONDS,
    ZONE_REPORT_SECONDS,
    FleetShape,
    Sharing,
    Tally,
)
from medlarspring_tables import (
    ConfigTable,
    EntryVMId,
    ListedEntryVM,
    ListedVM,
    PartnerId,
    PartnerRow,
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

    from medlarspring_daemon.callers.slot_exchange import PendingSlotRequest


class Fleet:
    """The simulated fleet and its event loop."""

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
        """Schedule an action after a delay in seconds."""
        self._sequence += 1
        due = self.clock.now() + delay
        heapq.heappush(self._events, (due, self._sequence, action))

    def run_until(self, end: float) -> None:
        """Run events until ``end`` seconds after the start of the simulation."""
        limit = 1000.0 + end
        while self._events and self._events[0][0] <= limit:
            due, _, action = heapq.heappop(self._events)
            self.clock.advance(due - self.clock.now())
            action()

    def add_load(
        self, partner: str, rate: float, urgency: Urgency = Urgency.NORMAL
    ) -> None:
        """Send requests through the load balancer at a mean rate per second."""
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
        """Acquire a slot of an upstream VM; return False if it refuses."""
        if self._running[vm_id] >= SLOTS:
            self.tally.refusals_by_upstreams += 1
            if self.sharing in (Sharing.CREDITS, Sharing.LOCAL):
                self.tally.over_slots += 1
            if self.sharing is Sharing.OPTIMISTIC:
                return False
        self._running[vm_id] += 1
        return True

    def end_run(self, vm_id: VMId) -> None:
        """Release a slot of an upstream VM."""
        self._running[vm_id] -= 1

    def draw_service(self) -> float:
        """Return a random service time in seconds, network delays included."""
        sigma = self.shape.service_sigma
        shrink = math.exp(-sigma * sigma / 2)
        drawn = self.rng.lognormvariate(0.0, sigma)
        return self.shape.service_seconds * shrink * drawn + 2 * ONE_WAY_SECONDS

    def record_refusal(self, request: CallerRequest) -> None:
        """Count a refused request after the warm-up."""
        if request.arrived_at >= self.counts_from:
            self.tally.refused[request.partner_id] += 1

    def record_start(self, request: CallerRequest, now: float) -> None:
        """Record how long an urgent request waited."""
        if request.urgency is Urgency.URGENT and now >= self.counts_from:
            self.tally.urgent_waits.append(now - request.arrived_at)

    def record_end(self, request: CallerRequest, began: float, now: float) -> None:
        """Count a response and the slot time that it used."""
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
        for pending in entry_vm.exchange.list_due():
            if self.sharing is Sharing.LOCAL:
                _merge_partners(pending.request)
            home = self._by_id[pending.home]
            self._send_slot_request(entry_vm, home, pending)
        self.at(TICK_SECONDS, lambda: self._tick(entry_vm))

    def _send_slot_request(
        self, entry_vm: EntryVM, home: EntryVM, pending: PendingSlotRequest
    ) -> None:
        delay = 0.0 if home is entry_vm else ONE_WAY_SECONDS

        def answer() -> None:
            reply = home.exchange.answer(pending.request)
            self.at(delay, lambda: take(reply))

        def take(reply: peer_pb2.SlotReply) -> None:
            entry_vm.exchange.apply_reply(pending, reply)
            entry_vm.pump()

        self.at(delay, answer)

    def _plan_reports(self, entry_vm: EntryVM, other: EntryVM) -> None:
        near = entry_vm.zone_id == other.zone_id
        interval = ZONE_REPORT_SECONDS if near else REMOTE_REPORT_SECONDS

        def send() -> None:
            report = peer_pb2.Report(sender=entry_vm.id, incarnation=1)
            entry_vm.reports.fill_report(report)
            self.at(ONE_WAY_SECONDS, lambda: other.reports.apply_report(report))
            self.at(interval, send)

        self.at(self.rng.uniform(0, interval), send)


def _merge_partners(request: peer_pb2.SlotRequest) -> None:
    """Merge the demand of all partners, so the home divides by entry VM."""
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


__all__ = ["Fleet"]
