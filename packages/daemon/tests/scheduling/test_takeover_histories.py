"""Random histories of takeovers, partitions and restarts: nothing breaks a guarantee.

Most of them combine what a single scenario doesn't: a former controller that still
reaches a worker which the next one can't reach, workers that come back just when their
leases end, and calls that are carried out although their answers are lost.
"""

from __future__ import annotations

import asyncio
from functools import wraps
from typing import TYPE_CHECKING, Any

from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from medlarspring_bench.platform_world.checks import check_history
from medlarspring_bench.platform_world.customers import Customers
from medlarspring_bench.platform_world.fault_state import StoreMode
from medlarspring_bench.platform_world.plans import QueuePlan, WorldPlan
from medlarspring_bench.platform_world.virtual_time import VirtualRunner
from medlarspring_bench.platform_world.world import World
from medlarspring_tables import VMId
from medlarspring_tables.scheduling import StepSpec

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from hypothesis.strategies import SearchStrategy

    from medlarspring_tables import Seconds

NODES = tuple(f"entry-{number}" for number in range(3))
PLAN = WorldPlan(
    nodes=len(NODES),
    pools=("consent",),
    vms_per_pool=3,
    standby_vms=1,
    queues=(
        QueuePlan("lookup", "consent"),
        QueuePlan("archive", "consent", max_attempts=2),
    ),
    worker_lease=6.0,
)
STARTUP_SECONDS = 3.0
LEASES_OVER_SECONDS = 6.5
SETTLE_SECONDS = 15.0
WATCH_STALL_SECONDS = 1.2
"""Time after which the store client replaces a watch connection that is silent."""
SCOPES = ("controller", "others", "all")

nodes = st.sampled_from(NODES)
vms = st.sampled_from([VMId(vm_id) for vm_id in PLAN.list_vm_ids()[:3]])
scopes = st.sampled_from(SCOPES)
store_modes = st.sampled_from((StoreMode.SILENT, StoreMode.BUSY))
pauses = st.sampled_from((0.0, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 3.0))
fractions = st.sampled_from((0.3, 1.0))


def timed_rule(
    **strategies: SearchStrategy[Any],
) -> Callable[[Callable[..., None]], Callable[..., None]]:
    """Make a method a rule after which some time passes."""

    def decorate(act: Callable[..., None]) -> Callable[..., None]:
        @wraps(act)
        def act_and_wait(
            self: TakeoverHistory, *args: Any, then: Seconds = 0.0, **kwargs: Any
        ) -> None:
            act(self, *args, **kwargs)
            if then:
                self.pass_time(then)

        as_rule: Callable[..., Callable[..., Callable[..., None]]] = rule
        return as_rule(then=pauses, **strategies)(act_and_wait)

    return decorate


class TakeoverHistory(RuleBasedStateMachine):
    """Three entry VMs and a few workers, whose tasks run while faults come and go."""

    def __init__(self) -> None:
        super().__init__()
        self.runner = VirtualRunner()

    @initialize(seed=st.integers(0, 2**16))
    def start(self, seed: int) -> None:
        self.world = World(PLAN, self.runner.clock, seed)
        self.customers = Customers(self.world, self.world.rng)
        self.run(self.world.start())
        self.pass_time(STARTUP_SECONDS)
        self.send_lasting()
        self.send_batch(3, (3.0, 9.0))
        self.pass_time(0.3)

    def run(self, main: Coroutine[None, None, object]) -> None:
        self.runner.run(main)

    def choose_names(self, scope: str) -> list[str]:
        """Return the nodes of a scope; without a controller, the first stands in."""
        controller = self.world.find_controller() or NODES[0]
        if scope == "controller":
            return [controller]
        return [name for name in NODES if scope == "all" or name != controller]

    # Load

    @timed_rule(
        count=st.integers(1, 4),
        seconds=st.sampled_from(((0.2, 1.2), (3.0, 9.0))),
    )
    def send_batch(self, count: int, seconds: tuple[Seconds, Seconds]) -> None:
        async def send() -> None:
            estimate_ms = round(500 * sum(seconds))
            step = StepSpec(
                count=count, cpu_millis=2_000, memory_mb=256, estimate_ms=estimate_ms
            )
            job_id, spec = self.customers.create_job(step)
            for number in range(count):
                facts = self.world.facts_by_task[f"{job_id}.0.0.{number}"]
                facts.seconds = self.world.rng.uniform(*seconds)
            self.customers.send("lookup", job_id, spec)

        self.run(send())

    @timed_rule()
    def send_lasting(self) -> None:
        async def send() -> None:
            self.customers.send("archive", *self.customers.create_long_running(2))

        self.run(send())

    @timed_rule()
    def cancel_job(self) -> None:
        async def cancel() -> None:
            for job_id in self.customers.list_open()[-1:]:
                asyncio.ensure_future(self.customers.cancel(job_id))

        self.run(cancel())

    # Time

    @rule(seconds=pauses)
    def pass_time(self, seconds: Seconds) -> None:
        self.run(asyncio.sleep(seconds))

    @rule()
    def wait_out_leases(self) -> None:
        self.pass_time(LEASES_OVER_SECONDS)

    @rule(vm_id=vms, after=st.sampled_from((-0.2, -0.02, 0.02, 0.2)))
    def wait_for_lease_end(self, vm_id: VMId, after: Seconds) -> None:
        """Let time pass until shortly before or after a worker's lease is over."""
        worker = self.world.fleet.vms_by_id[vm_id].worker
        if worker is None:
            return
        clock_ms = worker.clock_ms(self.runner.clock.now())
        left = (worker.lease_ms - clock_ms) / 1_000.0 / worker.clock_rate + after
        if left > 0:
            self.pass_time(left)

    # Store

    @timed_rule()
    def revoke_controller(self) -> None:
        self.world.revoke_controller()

    @timed_rule(name=nodes, mode=store_modes)
    def cut_store(self, name: str, mode: StoreMode) -> None:
        self.world.fault_state.store_modes_by_node[name] = mode

    @timed_rule(mode=store_modes)
    def cut_store_from_controller(self, mode: StoreMode) -> None:
        for name in self.choose_names("controller"):
            self.world.fault_state.store_modes_by_node[name] = mode

    @precondition(lambda self: self.world.fault_state.store_modes_by_node)
    @timed_rule()
    def heal_store(self) -> None:
        self.world.fault_state.store_modes_by_node.clear()

    @timed_rule(lost=fractions, late=st.sampled_from((0.0, 0.5)))
    def lose_store_replies(self, lost: float, late: float) -> None:
        self.world.fault_state.lost_replies = lost * 0.5
        self.world.fault_state.late_writes = late

    @timed_rule()
    def forget_history(self) -> None:
        self.world.forget_history()

    @timed_rule(scope=scopes)
    def stall_watches(self, scope: str) -> None:
        """Let watches of some nodes deliver nothing, until that is noticed."""
        stalled = set(self.choose_names(scope))

        async def stall() -> None:
            self.world.fault_state.stalled_watches |= stalled
            await asyncio.sleep(WATCH_STALL_SECONDS)
            self.world.fault_state.stalled_watches -= stalled

        async def begin() -> None:
            asyncio.ensure_future(stall())

        self.run(begin())

    # Links to workers

    @timed_rule(vm_id=vms, scope=scopes)
    def cut_worker(self, vm_id: VMId, scope: str) -> None:
        names = self.choose_names(scope)
        self.world.fault_state.cut_links |= {(name, vm_id) for name in names}

    @timed_rule(mode=store_modes)
    def split(self, mode: StoreMode) -> None:
        """Give the cell to another node, which doesn't reach the busiest worker."""
        workers = list(self.world.fleet.workers_by_id.values())
        busiest = max(workers, key=lambda worker: len(worker.runs))
        self.cut_worker(busiest.vm_id, "others")
        self.cut_store_from_controller(mode)
        self.world.revoke_controller()

    @precondition(lambda self: self.world.fault_state.cut_links)
    @timed_rule()
    def heal_links(self) -> None:
        self.world.fault_state.cut_links.clear()

    @precondition(lambda self: self.world.fault_state.cut_links)
    @timed_rule(vm_id=vms)
    def heal_worker(self, vm_id: VMId) -> None:
        healed = {(name, vm_id) for name in NODES}
        self.world.fault_state.cut_links -= healed

    @timed_rule(
        lost=fractions,
        late=st.sampled_from(((0.05, 0.5), (0.3, 1.5), (2.0, 12.0))),
    )
    def lose_orders(self, lost: float, late: tuple[Seconds, Seconds]) -> None:
        self.world.fault_state.lost_orders = lost
        self.world.fault_state.late_order_seconds = late

    @timed_rule(lost=fractions)
    def lose_answers(self, lost: float) -> None:
        self.world.fault_state.lost_answers = lost

    @timed_rule(lost=fractions, answers=st.booleans())
    def lose_holds(self, lost: float, answers: bool) -> None:
        self.world.fault_state.lost_holds = 0.0 if answers else lost
        self.world.fault_state.lost_hold_answers = lost if answers else 0.0

    @timed_rule()
    def lose_no_more(self) -> None:
        fault_state = self.world.fault_state
        fault_state.lost_orders = fault_state.lost_answers = 0.0
        fault_state.lost_holds = fault_state.lost_hold_answers = 0.0
        fault_state.lost_replies = fault_state.late_writes = 0.0

    # Workers

    @timed_rule(vm_id=vms, seconds=st.sampled_from((0.0, 0.3, 1.0, 4.0)))
    def crash_worker(self, vm_id: VMId, seconds: Seconds) -> None:
        async def crash() -> None:
            self.world.fleet.crash(vm_id, seconds)

        self.run(crash())

    @timed_rule(vm_id=vms, seconds=st.sampled_from((0.0, 0.3, 2.0)))
    def restart_worker(self, vm_id: VMId, seconds: Seconds) -> None:
        async def restart() -> None:
            self.world.fleet.restart(vm_id, seconds)

        self.run(restart())

    @timed_rule(vm_id=vms, seconds=st.sampled_from((0.5, 2.0)))
    def drop_entry(self, vm_id: VMId, seconds: Seconds) -> None:
        async def drop() -> None:
            self.world.fleet.drop_entry(vm_id, seconds)

        self.run(drop())

    @timed_rule(vm_ids=st.sets(vms, min_size=1, max_size=2))
    def order_wave(self, vm_ids: set[VMId]) -> None:
        number = len(self.world.fleet.waves) + 1
        self.world.order_wave(number, sorted(vm_ids), 1, 25)

    # Nodes

    @timed_rule(name=nodes)
    def stop_node(self, name: str) -> None:
        self.run(self.world.stop_node(name))

    @timed_rule()
    def stop_controller(self) -> None:
        self.stop_node(*self.choose_names("controller"))

    @timed_rule(name=nodes)
    def kill_node(self, name: str) -> None:
        self.world.kill_node(name)

    @timed_rule()
    def kill_controller(self) -> None:
        self.kill_node(*self.choose_names("controller"))

    @precondition(lambda self: len(self.world.nodes_by_name) < len(NODES))
    @timed_rule()
    def start_nodes(self) -> None:
        for name in NODES:
            if name not in self.world.nodes_by_name:
                self.run(self.world.start_node(name))

    @timed_rule(scope=st.sampled_from(("controller", "all")), seconds=pauses)
    def freeze_nodes(self, scope: str, seconds: Seconds) -> None:
        until = self.runner.clock.now() + seconds
        for name in self.choose_names(scope):
            self.world.fault_state.frozen_until[name] = until

    # Checks

    @invariant()
    def guarantees_hold(self) -> None:
        if hasattr(self, "world"):
            breaches = check_history(self.world.history)
            # A call without an answer yet may accept a job that others refused.
            assert [each for each in breaches if each.rule != "refused"] == []

    def teardown(self) -> None:
        try:
            if hasattr(self, "world"):
                self.settle()
                assert check_history(self.world.history) == []
        finally:
            if hasattr(self, "world"):
                self.run(self.world.stop())
            self.runner.close()

    def settle(self) -> None:
        """Let leases end under the faults, then end these and start all nodes."""
        self.pass_time(LEASES_OVER_SECONDS)
        self.world.fault_state.clear()
        self.start_nodes()
        self.pass_time(SETTLE_SECONDS)


TakeoverHistory.TestCase.settings = settings(
    max_examples=25, stateful_step_count=30, deadline=None, derandomize=True
)
TestTakeoverHistory = TakeoverHistory.TestCase
