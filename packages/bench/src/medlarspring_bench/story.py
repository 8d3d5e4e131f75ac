"""One scenario on a running cluster: load, faults and checks of the guarantees."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from medlarspring_bench.callers import Callers, CallSpec
from medlarspring_bench.disturbances import DISTURBANCES, order_ends
from medlarspring_bench.history import AttemptOutcome, History, Leaving, Membership
from medlarspring_bench.history_checker import describe_end, find_violations
from medlarspring_bench.platform_watch import PlatformWatch, watch_platform
from medlarspring_bench.recording import record_history
from medlarspring_bench.waiting import wait_for
from medlarspring_bench.workload import create_call_specs, send_paced
from medlarspring_tables.requests import RefusalKind

if TYPE_CHECKING:
    from concurrent.futures import Future

    from medlarspring_bench.background import BackgroundLoop
    from medlarspring_bench.cluster import Cluster
    from medlarspring_bench.example import RequestKind
    from medlarspring_bench.history import Attempt, Call

END_SECONDS = 45.0
MAX_SHOWN_VIOLATIONS = 10
DETECTION_SECONDS = 2.0
"""Longest time until a persistent fault is detected."""
SINGLE_TIMEOUT_SECONDS = 2.0


def is_undecided(attempt: Attempt) -> bool:
    """Return whether an attempt was refused because its key could not be looked up."""
    return attempt.reason == RefusalKind.STORE_UNREACHABLE.code


class Story:
    """State of one running scenario; ends every fault that it began."""

    def __init__(self, cluster: Cluster, loop: BackgroundLoop, name: str) -> None:
        self.cluster = cluster
        self.name = name
        self.callers = Callers(cluster.balancer["address"])
        self.leavings: list[Leaving] = []
        self._fault_starts: list[float] = []
        self._fault_end_times: list[float] = []
        """Start and end times of each call of ``end_faults``."""
        self.dead_daemons: list[str] = []
        """Daemons killed by scenario steps; ``end_faults`` restarts them."""
        self.watch: PlatformWatch | None = None
        self._began = time.monotonic()
        self._kinds = cluster.platform.requests
        self._loop = loop
        self._sent = 0
        self._count = 0
        self._sending: Future[None] | None = None
        self._active_faults: list[str] = []
        self._single_calls: list[Future[Call]] = []
        loop.run(self.callers.__aenter__())

    @property
    def calls(self) -> list[Call]:
        """All calls of this scenario."""
        return self.callers.calls

    def send(self, count: int, seconds: float, seed: int = 1) -> None:
        """Start sending a mixed batch of calls from all partners."""
        call_specs = create_call_specs(self.cluster.platform, count, seed, self.name)
        self._count = count
        self._sending = self._loop.submit(
            send_paced(self.callers, call_specs, seconds, self._count_sent)
        )

    def wait_until_sent(self, percent: float) -> None:
        """Wait until the given percentage of the batch has been sent."""
        wanted = self._count * percent / 100
        wait_for(lambda: self._sent >= wanted, f"{percent} % sent", 60.0)

    def begin(self, fault: str) -> None:
        """Begin a fault, given by its phrase in ``DISTURBANCES``."""
        self._fault_starts.append(time.monotonic())
        DISTURBANCES[fault].begin(self.cluster)
        self._active_faults.append(fault)

    def kill_daemon(self, id_: str) -> None:
        """Kill a daemon; ``end_faults`` restarts it."""
        self._fault_starts.append(time.monotonic())
        self.cluster.processes.by_name[id_].kill()
        self.dead_daemons.append(id_)

    def end_faults(self) -> None:
        """End every fault, the newest first, and those whose end waits last.

        Under load a daemon took 3.7 s to restart. A fault that was ended only after
        the restart lasted that much longer than the scenario intended, and affected
        requests sent 2.9 s after it had begun.
        """
        self._fault_end_times.append(time.monotonic())
        for fault in order_ends(self._active_faults):
            DISTURBANCES[fault].end(self.cluster)
        self._active_faults.clear()
        while self.dead_daemons:
            self.cluster.restart_daemon(self.dead_daemons.pop())
        self._fault_end_times.append(time.monotonic())

    def create_call_spec(
        self, kind: str, name: str, work_ms: float | None = None
    ) -> CallSpec:
        """Return the specification of one call by the first partner."""
        platform = self.cluster.platform
        (found,) = (one for one in platform.requests if one.kind == kind)
        partner, credential = next(iter(platform.credentials.items()))
        return CallSpec(
            id=f"{self.name}-{name}",
            partner=partner,
            credential=credential,
            method=found.method,
            path=_path(found, name, work_ms),
            body=b"" if found.method == "GET" else f"{kind} {name}".encode(),
            key=f"{self.name}-{name}" if found.keyed else "",
            timeout_seconds=SINGLE_TIMEOUT_SECONDS,
            urgency=found.urgency,
        )

    def call(self, call_spec: CallSpec, *daemons: int) -> Future[Call]:
        """Start one call through the balancer, or directly to the daemons in turn."""
        addresses = [self.cluster.daemon(number).caller for number in daemons]
        single = self._loop.submit(self.callers.make(call_spec, addresses))
        self._single_calls.append(single)
        return single

    def finish(self) -> None:
        """Wait until every call has ended."""
        if self._sending is not None:
            self._sending.result(END_SECONDS)
        for single in self._single_calls:
            single.result(END_SECONDS)

    def wait_until_running(self, call_spec: CallSpec) -> None:
        """Wait until an upstream VM runs the call."""

        def runs() -> bool:
            records = self.cluster.upstream_records("runs")
            return any(
                record["request_id"].startswith(call_spec.id) for record in records
            )

        wait_for(runs, f"{call_spec.id} runs")

    def wait_for_attempts(self, count: int) -> None:
        """Wait until the first call has completed ``count`` attempts."""
        wait_for(
            lambda: self.calls and len(self.calls[0].attempts) >= count,
            f"attempt {count}",
            20.0,
        )

    def count_runs(self, key: str) -> int:
        """Return how often upstream VMs ran requests with a key."""
        return sum(run.key == key for run in self.history().runs)

    def watch_platform(self) -> PlatformWatch:
        """Start sampling the budgets and pools."""
        self.watch = watch_platform(self.cluster)
        return self.watch

    def history(self) -> History:
        """Return the recorded history of this scenario."""
        history = record_history(self.cluster, self.calls, self.leavings)
        if self.watch is not None:
            history.pool_samples = self.watch.samples
            history.leavings += self.watch.leavings()
            history.memberships = self.watch.memberships() + self._used_pools(history)
        return history

    def _used_pools(self, history: History) -> list[Membership]:
        """Return the pool that each VM served, derived from the paths it ran."""
        pool_by_path = {kind.path: kind.service for kind in self._kinds}
        return [
            Membership(run.vm, pool, run.start, run.end or history.ended_at)
            for run in history.runs
            if run.start >= self._began
            and (pool := pool_by_path.get("/" + run.path.split("/")[1]))
        ]

    def answered_percent(self) -> float:
        """Return the percentage of calls that were answered in the end."""
        answered = sum(call.outcome is AttemptOutcome.ANSWERED for call in self.calls)
        return 100.0 * answered / len(self.calls)

    def refused_percent(self) -> float:
        """Return the percentage of calls that were refused before they ran."""
        refused = sum(
            call.outcome is AttemptOutcome.NOT_RUN or is_undecided(call.attempts[-1])
            for call in self.calls
            if call.attempts
        )
        return 100.0 * refused / len(self.calls)

    def find_unanswered(self) -> list[str]:
        """Return descriptions of the calls without an answer."""
        return [
            describe_end(call)
            for call in self.calls
            if call.outcome is not AttemptOutcome.ANSWERED
        ]

    def find_unanswered_repeatable(self) -> list[str]:
        """Return descriptions of repeatable calls that got no answer in the end."""
        return [
            describe_end(call)
            for call in self.calls
            if call.repeatable and call.outcome is not AttemptOutcome.ANSWERED
        ]

    def find_unexplained_unknown(self) -> list[str]:
        """Return calls of unknown outcome that no fault can have affected.

        A call may end with an unknown outcome only if it was in flight when a fault
        began, if it was sent before the fault can have been detected, or if its key
        could not be looked up during the fault.
        """
        return [
            f"{describe_end(call)}; {self._describe_times(call)}"
            for call in self.calls
            if call.outcome not in (AttemptOutcome.ANSWERED, AttemptOutcome.NOT_RUN)
            and not self._is_affected_by_fault(call)
        ]

    def _describe_times(self, call: Call) -> str:
        """Return when a call and the faults started and ended, in seconds."""

        def show(*times: float) -> str:
            return ", ".join(f"{each - self._began:.2f}" for each in times)

        sent = [attempt.sent_at for attempt in call.attempts]
        ended = [attempt.ended_at for attempt in call.attempts]
        return (
            f"sent at {show(*sent)}, ended at {show(*ended)}, faults began at"
            f" {show(*self._fault_starts)}, were being ended at"
            f" {show(*self._fault_end_times)}"
        )

    def _is_affected_by_fault(self, call: Call) -> bool:
        harmless = (AttemptOutcome.ANSWERED, AttemptOutcome.NOT_RUN)
        first = next(one for one in call.attempts if one.outcome not in harmless)
        if is_undecided(first) and self._is_fault_active(first.sent_at):
            return True
        return any(
            first.ended_at >= start and first.sent_at <= start + DETECTION_SECONDS
            for start in self._fault_starts
        )

    def _is_fault_active(self, at: float) -> bool:
        """Return whether a fault was active or ended within the detection time."""
        began = [start for start in self._fault_starts if start <= at]
        if not began:
            return False
        ended = [end for end in self._fault_end_times if end >= began[-1]]
        return not ended or at <= ended[-1] + DETECTION_SECONDS

    def check_guarantees(self) -> None:
        """Fail with the violated guarantees, if any."""
        violations = find_violations(self.history())
        shown = "\n".join(
            f"{violation.kind.value} {violation.subject}: {violation.detail}"
            for violation in violations[:MAX_SHOWN_VIOLATIONS]
        )
        assert not violations, f"{len(violations)} violated guarantees:\n{shown}"

    def record_leaving(self, vm: str) -> None:
        """Record that a VM starts leaving now."""
        self.leavings.append(Leaving(vm, time.monotonic()))

    def close(self) -> None:
        """End all faults and cancel the batch of calls."""
        self.end_faults()
        if self.watch is not None:
            self.watch.close()
        if self._sending is not None:
            self._sending.cancel()
        self._loop.run(self.callers.__aexit__())

    def _count_sent(self, number: int) -> None:
        self._sent = number + 1


def _path(kind: RequestKind, name: str, work_ms: float | None) -> str:
    mean = kind.work_ms if work_ms is None else work_ms
    return f"/{kind.service}{kind.path}/{name}?work_ms={mean:g}"


__all__ = ["Story"]
