from __future__ import annotations

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field

from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    consumes,
    invariant,
    multiple,
    rule,
)
from returns.pipeline import is_successful

from medlarspring_adapters.clock import SystemClock
from medlarspring_adapters.events import create_event_log
from medlarspring_adapters.metrics import NoMetrics
from medlarspring_bench.memory_store import MemoryStore, create_memory_store
from medlarspring_daemon.callers import claims as caller_claims
from medlarspring_daemon.callers.claims import ClaimedRun, ClaimManager
from medlarspring_daemon.node import create_node
from medlarspring_systems import claims
from medlarspring_tables import EntryVMId, PartnerId, PoolId, RequestId, ServiceId
from medlarspring_tables.claims import Claim, ClaimedAnswer, ClaimState
from medlarspring_tables.requests import CallerRequest, Outcome

from .conftest import create_settings

ENTRY_VMS = 3
KEYS = st.sampled_from(["k1", "k2"])
BODIES = st.sampled_from([b"pay 1", b"pay 2"])
VMS = st.integers(0, ENTRY_VMS - 1)


@dataclass
class Sent:
    """A request whose key was claimed and that is on its way to the upstream."""

    vm: int
    process: int
    claimed_run: ClaimedRun
    key: str
    body: bytes
    ran: list[str] = field(default_factory=list)


class ClaimHistories(RuleBasedStateMachine):
    """Callers repeat keys through three entry VMs, with faults in any order.

    The upstream runs each request it gets. Claims are written, answers are recorded
    or lost, processes are killed, and the store goes down or loses requests and
    replies. No key runs twice, a replay is the answer of the only run, and a
    request that was refused as not run did not run.
    """

    sent = Bundle("sent")

    def __init__(self) -> None:
        super().__init__()
        self.runner = asyncio.Runner()
        self.shared = create_memory_store(SystemClock())
        self.processes = [0] * ENTRY_VMS
        self.stores: list[MemoryStore] = []
        self.managers = [self.start_manager(vm) for vm in range(ENTRY_VMS)]
        self.runs: Counter[str] = Counter()
        self.answers: dict[str, bytes] = {}
        self.bodies: dict[str, bytes] = {}
        self.saved_retry_delays = caller_claims.CLAIM_RETRY_DELAYS
        self.saved_record_timeout = caller_claims.RECORD_TIMEOUT_SECONDS
        caller_claims.CLAIM_RETRY_DELAYS = (0.0, 0.0, 0.0)
        caller_claims.RECORD_TIMEOUT_SECONDS = 0.02

    def teardown(self) -> None:
        caller_claims.CLAIM_RETRY_DELAYS = self.saved_retry_delays
        caller_claims.RECORD_TIMEOUT_SECONDS = self.saved_record_timeout
        for manager in self.managers:
            self.runner.run(manager.stop(0.001))
        self.runner.close()

    def start_manager(self, vm: int) -> ClaimManager:
        store = MemoryStore(self.shared.state)
        if len(self.stores) > vm:
            self.stores[vm] = store
        else:
            self.stores.append(store)
        node = create_node(
            create_settings(f"e{vm}"),
            SystemClock(),
            random.Random(vm),
            create_event_log(EntryVMId(f"e{vm}"), "CRITICAL"),
            NoMetrics(),
            store,
        )
        return ClaimManager(node)

    def create_request(self, key: str, body: bytes) -> CallerRequest:
        now = SystemClock().now()
        return CallerRequest(
            RequestId("r"),
            PartnerId("njia"),
            ServiceId("compensation"),
            PoolId("compensation"),
            "POST",
            "/payments",
            body,
            arrived_at=now,
            deadline=now + 1000.0,
            key=key,
        )

    @rule(target=sent, vm=VMS, key=KEYS, body=BODIES)
    def ask(self, vm: int, key: str, body: bytes):
        return self.ask_all([vm], key, body)

    @rule(target=sent, key=KEYS, body=BODIES)
    def ask_everywhere_at_once(self, key: str, body: bytes):
        return self.ask_all(list(range(ENTRY_VMS)), key, body)

    def ask_all(self, vms: list[int], key: str, body: bytes):
        async def claim_all():
            request = self.create_request(key, body)
            return await asyncio.gather(
                *(self.managers[vm].claim(request) for vm in vms)
            )

        granted = []
        for vm, claimed in zip(vms, self.runner.run(claim_all()), strict=True):
            if not is_successful(claimed):
                continue
            claimed_result = claimed.unwrap()
            if isinstance(claimed_result, ClaimedRun):
                granted.append(Sent(vm, self.processes[vm], claimed_result, key, body))
                continue
            assert isinstance(claimed_result, ClaimedAnswer)
            assert claimed_result.body == self.answers[key]
            assert self.bodies[key] == body
        return multiple(*granted)

    def run_at_upstream(self, sent: Sent) -> None:
        self.runs[sent.key] += 1
        self.bodies[sent.key] = sent.body
        self.answers[sent.key] = b"paid %d" % self.runs[sent.key]

    def is_alive(self, sent: Sent) -> bool:
        return self.processes[sent.vm] == sent.process

    @rule(sent=consumes(sent))
    def run_and_answer(self, sent: Sent) -> None:
        if not self.is_alive(sent):
            return
        self.run_at_upstream(sent)
        kept = claims.build_claimed_answer(200, (), self.answers[sent.key])
        self.runner.run(self.managers[sent.vm].complete(sent.claimed_run, kept))

    @rule(sent=consumes(sent))
    def run_and_lose_the_answer(self, sent: Sent) -> None:
        if not self.is_alive(sent):
            return
        self.run_at_upstream(sent)
        self.runner.run(self.managers[sent.vm].complete(sent.claimed_run, None))

    @rule(sent=consumes(sent))
    def refuse_as_not_run(self, sent: Sent) -> None:
        if self.is_alive(sent):
            self.runner.run(self.managers[sent.vm].abandon(sent.claimed_run))

    @rule(sent=consumes(sent), runs=st.booleans())
    def kill_with_the_request_under_way(self, sent: Sent, runs: bool) -> None:
        if not self.is_alive(sent):
            return
        if runs:
            self.run_at_upstream(sent)
        self.kill(sent.vm)

    @rule(vm=VMS)
    def kill(self, vm: int) -> None:
        self.runner.run(self.managers[vm].stop(0.0))
        self.processes[vm] += 1
        self.managers[vm] = self.start_manager(vm)

    @rule(vm=VMS, count=st.integers(1, 4), replies=st.booleans())
    def lose_calls(self, vm: int, count: int, replies: bool) -> None:
        faults = self.stores[vm].faults
        if replies:
            faults.lose_replies = count
        else:
            faults.lose_requests = count

    @rule(vm=VMS, down=st.booleans())
    def switch_store(self, vm: int, down: bool) -> None:
        self.stores[vm].faults.down = down

    @rule()
    def let_time_pass(self) -> None:
        self.runner.run(asyncio.sleep(0.01))

    @invariant()
    def no_key_runs_twice(self) -> None:
        assert not self.runs or max(self.runs.values()) == 1


TestClaimHistories = ClaimHistories.TestCase
TestClaimHistories.settings = settings(
    max_examples=60, stateful_step_count=30, deadline=None, derandomize=True
)


def test_refusals_of_claims_never_report_not_run():
    """A request whose existing claim may have run is never refused as not run; an
    abandoned claim is taken over instead."""
    for state in ClaimState:
        standing = Claim(
            attempt_id="a",
            request_digest="d",
            entry_vm="e1",
            incarnation=1,
            deadline_wall=0.0,
            state=state,
        )
        if state is ClaimState.ABANDONED:
            verdict = claims.evaluate_claim(standing, "b", "d")
            assert verdict is claims.ClaimDecision.TAKE_OVER
            continue
        refusal = claims.build_claim_refusal(standing, "d", 1000.0)
        assert refusal.outcome is not Outcome.NOT_RUN
