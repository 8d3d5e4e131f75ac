from __future__ import annotations

import heapq
import random
from dataclasses import dataclass, field
from types import SimpleNamespace

import pytest

from medlarspring_adapters import peer_pb2
from medlarspring_adapters.clock import ManualClock
from medlarspring_adapters.events import create_event_log
from medlarspring_adapters.metrics import NoMetrics
from medlarspring_daemon.callers.slot_exchange import PendingSlotRequest, SlotExchange
from medlarspring_daemon.callers.state import CallerState
from medlarspring_daemon.node import create_node
from medlarspring_systems import fair_queue
from medlarspring_systems.leaving import record_leaving
from medlarspring_tables import (
    EntryVMId,
    ListedEntryVM,
    ListedVM,
    PartnerId,
    PoolId,
    RackId,
    RegionId,
    VMId,
    VMList,
    ZoneId,
)

from .conftest import create_config, create_settings

TICK_SECONDS = 0.05
CALL_SECONDS = 0.5
HEARD_SECONDS = 1.5
POOL = PoolId("consent")
PARTNER = PartnerId("njia")
SLOTS = 8
USED_THROUGH_DEATH = 0.8
"""Least part of all slots in use on average in the five seconds after a home's death,
of which the first passes until grants of the dead home have expired."""
OWN_ZONE = ZoneId("a")
OTHER_ZONE = ZoneId("b")
Run = tuple[float, VMId, EntryVMId, int, float]
"""End time, upstream VM, entry VM, number of its process, begin time."""


@dataclass
class SimulatedEntryVM:
    """One entry VM process, with its slot exchange and what it knows of its peers."""

    id: EntryVMId
    state: CallerState
    exchange: SlotExchange
    alive: bool = True
    frozen_until: float = 0.0
    heard_at: dict[EntryVMId, float] = field(default_factory=dict)
    refused_at: dict[EntryVMId, float] = field(default_factory=dict)


class Fleet:
    """Simulated entry VMs with kills, freezes, partitions and slow messages.

    The upstream VMs are in one zone, the last ``borrowers`` entry VMs in another.
    """

    def __init__(
        self, seed: int, entry_vms: int, upstreams: int = 3, borrowers: int = 0
    ) -> None:
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.vm_list = VMList()
        for number in range(upstreams):
            vm_id = VMId(f"vm-{number}")
            self.vm_list.vms_by_id[vm_id] = ListedVM(
                vm_id,
                f"10.0.0.{number}:80",
                POOL,
                RackId("r"),
                OWN_ZONE,
                RegionId("c"),
            )
        self.ids = [EntryVMId(f"e{number}") for number in range(entry_vms)]
        self.zones_by_id = {
            each: OWN_ZONE if number < entry_vms - borrowers else OTHER_ZONE
            for number, each in enumerate(self.ids)
        }
        for entry_vm_id, zone_id in self.zones_by_id.items():
            self.vm_list.entry_vms_by_id[entry_vm_id] = ListedEntryVM(
                entry_vm_id, "10.0.1.1:1", zone_id, RegionId("c")
            )
        self.partitions: set[tuple[EntryVMId, EntryVMId]] = set()
        self.undelivered: list[tuple[float, int, object]] = []
        self.runs: list[Run] = []
        self.most_running = 0
        self.open_calls: dict[
            int, tuple[float, SimulatedEntryVM, PendingSlotRequest]
        ] = {}
        self.delays = [0.001, 0.01, 0.05, 0.2, 2.5]
        self.generation = dict.fromkeys(self.ids, 0)
        self.entry_vms = {each: self.start(each) for each in self.ids}

    def start(self, entry_vm_id: EntryVMId) -> SimulatedEntryVM:
        node = create_node(
            create_settings(entry_vm_id),
            self.clock,
            random.Random(self.rng.getrandbits(32)),
            create_event_log(entry_vm_id, "ERROR"),
            NoMetrics(),
            None,  # type: ignore[arg-type]
        )
        node.config = create_config()
        node.vm_list = self.vm_list
        state = CallerState(node)
        state.zone_id = self.zones_by_id[entry_vm_id]
        state.refresh()
        entry_vm = SimulatedEntryVM(entry_vm_id, state, SlotExchange(node, state))
        node.peers = SimpleNamespace(heard_by_id={}, refused_by_id={})  # type: ignore[assignment]
        return entry_vm

    def step(self) -> None:
        self.clock.advance(TICK_SECONDS)
        now = self.clock.now()
        self.runs = [run for run in self.runs if run[0] > now and self.is_current(run)]
        self.update_heard_peers(now)
        self.deliver(now)
        for call, (ends, entry_vm, pending) in list(self.open_calls.items()):
            if now >= max(ends, entry_vm.frozen_until):
                del self.open_calls[call]
                entry_vm.exchange.handle_call_failure(pending)
        for entry_vm in self.entry_vms.values():
            if entry_vm.alive and now >= entry_vm.frozen_until:
                self.act(entry_vm, now)
        for vm_id in self.vm_list.vms_by_id:
            running = sum(1 for run in self.runs if run[1] == vm_id)
            self.most_running = max(self.most_running, running)

    def is_current(self, run: Run) -> bool:
        """Return whether a run's process lives; killing it closes its connections."""
        return run[3] == self.generation[run[2]]

    def is_partitioned(self, sender: EntryVMId, receiver: EntryVMId) -> bool:
        return (sender, receiver) in self.partitions

    def update_heard_peers(self, now: float) -> None:
        for entry_vm in self.entry_vms.values():
            for other in self.entry_vms.values():
                if other is entry_vm or self.is_partitioned(other.id, entry_vm.id):
                    continue
                if other.alive and now >= other.frozen_until:
                    entry_vm.heard_at[other.id] = now
                    entry_vm.refused_at.pop(other.id, None)
                elif not other.alive and not self.is_partitioned(entry_vm.id, other.id):
                    entry_vm.refused_at[other.id] = now
            peers = entry_vm.state.node.peers
            if now < entry_vm.frozen_until:
                continue
            peers.refused_by_id = dict(entry_vm.refused_at)
            peers.heard_by_id = {
                each: SimpleNamespace(zone_id=self.zones_by_id[each])
                for each, at in entry_vm.heard_at.items()
                if now - at < HEARD_SECONDS and each not in entry_vm.refused_at
            }

    def act(self, entry_vm: SimulatedEntryVM, now: float) -> None:
        for pending in entry_vm.exchange.list_due():
            if pending.home == entry_vm.id:
                reply = entry_vm.exchange.answer(pending.request)
                entry_vm.exchange.apply_reply(pending, reply)
            else:
                call = self.rng.getrandbits(60)
                self.open_calls[call] = (now + CALL_SECONDS, entry_vm, pending)
                self.post(entry_vm.id, pending.home, (call, pending.request))
        self.start_runs(entry_vm, now)

    def start_runs(self, entry_vm: SimulatedEntryVM, now: float) -> None:
        """Use every granted slot for a run of up to two seconds."""
        running = [run for run in self.runs if run[2] == entry_vm.id]
        pool = entry_vm.state.get_pool(POOL)
        queue = fair_queue.get_partner_queue(pool, PARTNER)
        queue.waiting, pool.waiting, queue.running = 30, 30, len(running)
        for upstream in entry_vm.state.list_upstreams(POOL):
            upstream.in_use = sum(1 for run in running if run[1] == upstream.id)
            while upstream.in_use < upstream.credit and now < upstream.credit_until:
                upstream.in_use += 1
                ends = now + self.rng.uniform(0.05, 2.0)
                generation = self.generation[entry_vm.id]
                self.runs.append((ends, upstream.id, entry_vm.id, generation, now))

    def post(self, sender: EntryVMId, receiver: EntryVMId, content: object) -> None:
        delay = self.rng.choice(self.delays)
        delivery = (sender, receiver, content)
        due = self.clock.now() + delay
        heapq.heappush(self.undelivered, (due, self.rng.getrandbits(60), delivery))

    def deliver(self, now: float) -> None:
        while self.undelivered and self.undelivered[0][0] <= now:
            _, _, (sender, receiver, content) = heapq.heappop(self.undelivered)
            target = self.entry_vms[receiver]
            if now < target.frozen_until:
                # The kernel buffers the message until the process runs again.
                heapq.heappush(
                    self.undelivered,
                    (target.frozen_until + TICK_SECONDS, self.rng.getrandbits(60),
                     (sender, receiver, content)),
                )  # fmt: skip
                continue
            self.receive(sender, target, content)

    def receive(self, sender: EntryVMId, target: SimulatedEntryVM, content) -> None:
        if self.is_partitioned(sender, target.id) or not target.alive:
            return
        call, message = content
        if isinstance(message, peer_pb2.SlotRequest):
            reply = target.exchange.answer(message)
            self.post(target.id, sender, (call, reply))
        elif call in self.open_calls:
            _, entry_vm, pending = self.open_calls.pop(call)
            entry_vm.exchange.apply_reply(pending, message)

    def inject_fault(self) -> None:
        """Inject one random fault, or remove existing ones."""
        one, other = self.rng.sample(self.ids, 2)
        match self.rng.randrange(6):
            case 0:
                self.entry_vms[one].frozen_until = self.clock.now() + self.rng.uniform(
                    0.2, 6.0
                )
            case 1:
                self.generation[one] += 1
                self.entry_vms[one].alive = False
            case 2 if not self.entry_vms[one].alive:
                self.entry_vms[one] = self.start(one)
            case 3:
                self.partitions.add((one, other))
            case 4:
                self.partitions |= {(one, other), (other, one)}
            case 5:
                self.partitions.clear()

    def heal(self) -> None:
        self.partitions.clear()
        self.delays = [0.002]
        for each in self.ids:
            self.entry_vms[each].frozen_until = 0.0
            if not self.entry_vms[each].alive:
                self.entry_vms[each] = self.start(each)


@pytest.mark.parametrize("entry_vms", [2, 3, 5])
@pytest.mark.parametrize("seed", range(8))
def test_no_upstream_gets_more_work_than_slots(seed, entry_vms):
    """Entry VMs freeze, crash, restart and are partitioned from each other in one or
    both directions, while requests for slots are delayed or lost. Several entry VMs
    may act as home at once, but all grants together never exceed the eight slots.
    After the faults every slot is used again."""
    fleet = Fleet(seed, entry_vms)
    for _ in range(1200):
        fleet.step()
        if fleet.rng.random() < 0.03:
            fleet.inject_fault()
    assert fleet.most_running <= SLOTS
    fleet.heal()
    for _ in range(200):
        fleet.step()
    used = 0
    for _ in range(40):
        fleet.step()
        used += len(fleet.runs)
    assert fleet.most_running == SLOTS
    assert used >= 0.9 * 40 * SLOTS * len(fleet.vm_list.vms_by_id)


@pytest.mark.parametrize(
    ("entry_vms", "borrowers", "seed"),
    [(5, 2, seed) for seed in [*range(8), 19, 56]]
    + [(4, 2, seed) for seed in (0, 1, 16)],
)
def test_no_upstream_gets_more_work_than_slots_while_another_zone_borrows(
    entry_vms, borrowers, seed
):
    """Guards against a new home that grants slots lent by the previous home."""
    fleet = Fleet(seed, entry_vms, borrowers=borrowers)
    for _ in range(1200):
        fleet.step()
        if fleet.rng.random() < 0.03:
            fleet.inject_fault()
    assert fleet.most_running <= SLOTS


@pytest.mark.parametrize(
    ("entry_vms", "borrowers", "killed"),
    [(5, 2, 0), (5, 2, 1), (5, 2, 2), (4, 2, 0), (4, 2, 1)],
)
def test_slots_stay_in_use_through_the_death_of_a_home(entry_vms, borrowers, killed):
    """Guards against a new home that leaves most slots free until work begun under
    the former home has ended."""
    fleet = Fleet(1, entry_vms, borrowers=borrowers)
    fleet.delays = [0.002]
    for _ in range(200):
        fleet.step()
    dead = fleet.entry_vms[fleet.ids[killed]]
    dead.alive = False
    fleet.generation[dead.id] += 1
    used = 0
    for _ in range(100):
        fleet.step()
        used += len(fleet.runs)
    assert used >= USED_THROUGH_DEATH * 100 * SLOTS * len(fleet.vm_list.vms_by_id)
    assert fleet.most_running <= SLOTS


def test_leaving_upstream_gets_no_work_from_any_entry_vm_after_a_second():
    """Only one entry VM learns that an upstream VM is leaving, and the list still
    shows it as live. The next request for slots informs the VM's home, which stops
    granting; within a second no entry VM may send requests to the VM."""
    fleet = Fleet(seed=1, entry_vms=4)
    fleet.delays = [0.002]
    for _ in range(120):
        fleet.step()
    leaving = VMId("vm-1")
    now = fleet.clock.now()
    record_leaving(fleet.entry_vms[EntryVMId("e2")].state.upstreams, leaving, 0.0, now)
    for _ in range(24):
        fleet.step()
    sent = [began for _, vm_id, _, _, began in fleet.runs if vm_id == leaving]
    assert all(began <= now + 1.0 for began in sent)
    for entry_vm in fleet.entry_vms.values():
        assert entry_vm.state.upstreams.upstreams_by_id[leaving].credit == 0


def test_stopping_last_entry_vm_of_a_zone_keeps_slots_for_requests_in_flight():
    """Guards against requests in flight that get no slot for a retry when the only
    entry VM of a zone stops. If it did not count itself while stopping, the zone's
    upstream VMs would have no home, and after its deadline the caller would get 503
    with outcome unknown."""
    fleet = Fleet(seed=1, entry_vms=1)
    for _ in range(120):
        fleet.step()
    stopping = fleet.entry_vms[EntryVMId("e0")]
    stopping.state.node.stopping = True
    told_at = fleet.clock.now()
    for _ in range(80):
        fleet.step()
    assert [began for *_, began in fleet.runs if began >= told_at + 2.0]


def test_entry_vm_keeps_slots_of_its_own_zone_while_others_borrow_from_it():
    """Guards against a new home that subtracts its loans to other zones twice."""
    fleet = Fleet(seed=1, entry_vms=3, borrowers=2)
    fleet.delays = [0.002]
    home = fleet.entry_vms[fleet.ids[0]]
    for _ in range(70):
        fleet.step()
    for other in fleet.ids[1:]:
        fleet.partitions |= {(home.id, other), (other, home.id)}
    usable = []
    for _ in range(40):
        fleet.step()
        now = fleet.clock.now()
        usable.append(home.state.count_usable_slots(POOL, now))
    assert min(usable) > 0, usable
