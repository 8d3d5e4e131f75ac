"""``make demo``: an example deployment as real processes, with faults, in a minute."""

from __future__ import annotations

import argparse
import sys
import tempfile
import time
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING

from rich.console import Console

from medlarspring_bench.background import BackgroundLoop
from medlarspring_bench.callers import Callers
from medlarspring_bench.cluster import OPERATOR_POLL_SECONDS, Cluster
from medlarspring_bench.example import read_example
from medlarspring_bench.history import AttemptOutcome, History
from medlarspring_bench.history_checker import (
    count_by_kind,
    describe_end,
    find_violations,
)
from medlarspring_bench.platform_watch import PlatformWatch, watch_platform
from medlarspring_bench.processes import Processes
from medlarspring_bench.recording import record_history
from medlarspring_bench.report import create_table, report_by_partner
from medlarspring_bench.waiting import wait_for
from medlarspring_bench.workload import create_call_specs, send_paced

if TYPE_CHECKING:
    from medlarspring_bench.history import Call
    from medlarspring_bench.history_checker import Violation

EDIT_AT = 0.25
DRAIN_AT = 0.4
KILL_AT = 0.6
MAX_SHOWN_VIOLATIONS = 20
TABLE_WIDTH = 100
WAVE = "demo-wave"
WAVE_SECONDS = 30.0


class Demo:
    """One run of the demo."""

    def __init__(
        self, cluster: Cluster, console: Console, options: argparse.Namespace
    ) -> None:
        self._cluster = cluster
        self._console = console
        self._options = options
        self._began = time.monotonic()
        self._sent = 0
        self._watch: PlatformWatch | None = None

    def run(self) -> int:
        """Start, send calls, inject faults and check; return the exit status."""
        cluster = self._cluster
        cluster.start()
        self._print_progress(
            f"{len(cluster.zones_by_id)} daemons in {len(cluster.platform.zones)} zones"
            f" and {len(cluster.vm_addresses_by_id)} upstream VMs are up"
        )
        cluster.load_table()
        cluster.wait_for_balancer(len(cluster.zones_by_id))
        self._print_progress("the operators' table is loaded; every daemon is ready")
        cluster.wait_for_records()
        self._print_progress("every upstream VM is on record")
        self._watch = watch_platform(cluster)
        loop = BackgroundLoop()
        try:
            calls = self._send_batch(loop)
            self._wait_for_wave()
        finally:
            loop.close()
            self._watch.close()
        return self._report_results(self._record(calls))

    def _record(self, calls: list[Call]) -> History:
        history = record_history(self._cluster, calls)
        assert self._watch is not None
        history.leavings = self._watch.leavings()
        history.pool_samples = self._watch.samples
        history.memberships = self._watch.memberships()
        return history

    def _send_batch(self, loop: BackgroundLoop) -> list[Call]:
        options = self._options
        call_specs = create_call_specs(
            self._cluster.platform, options.requests, options.seed
        )
        callers = Callers(self._cluster.balancer["address"])

        async def send() -> None:
            async with callers:
                await send_paced(callers, call_specs, options.seconds, self._count)

        self._print_progress(
            f"sending {len(call_specs)} requests over {options.seconds:g} s"
        )
        sending = loop.submit(send())
        for part, disturb in (
            (EDIT_AT, self._edit_row),
            (DRAIN_AT, self._drain_rack),
            (KILL_AT, self._kill_daemon),
        ):
            wait_for(partial(self._has_sent, part * len(call_specs)), "the batch", 60.0)
            disturb()
        sending.result(120.0)
        self._print_progress("every call has come to its end")
        return callers.calls

    def _has_sent(self, count: float) -> bool:
        return self._sent >= count

    def _count(self, number: int) -> None:
        self._sent = number + 1

    def _edit_row(self) -> None:
        kind, id_, field = self._cluster.platform.events.edit_row
        self._cluster.run_cli("table", "set", kind, id_, field)
        self._print_progress(f"row edited: {kind} {id_} {field}")

    def _drain_rack(self) -> None:
        cluster = self._cluster
        wanted = cluster.platform.events.drain_rack
        (rack,) = (rack for rack in cluster.platform.racks if rack.id == wanted)
        chosen = [part for vm in rack.vm_ids() for part in ("--vm", vm)]
        cluster.run_cli("wave", "start", "--id", WAVE, *chosen)
        self._print_progress(f"a wave drains and reboots rack {wanted}")

    def _wait_for_wave(self) -> None:
        path = f"/v1/waves/{WAVE}"
        wait_for(
            lambda: (self._cluster.view(path) or {}).get("state") == "done",
            "the wave is done",
            WAVE_SECONDS,
            OPERATOR_POLL_SECONDS,
        )
        self._print_progress("the wave is done")

    def _kill_daemon(self) -> None:
        id_ = next(iter(self._cluster.zones_by_id))
        self._cluster.processes.by_name[id_].kill()
        self._print_progress(f"daemon {id_} killed")

    def _report_results(self, history: History) -> int:
        violations = find_violations(history)
        title = f"{self._cluster.platform.name}, seed {self._options.seed}"
        reports = report_by_partner(history.calls, violations)
        self._console.print(create_table(title, reports))
        self._print_faults(history, violations)
        self._print_progress(
            f"{len(history.calls)} calls, {len(history.runs)} runs,"
            f" {len(history.pool_samples)} samples of budgets,"
            f" {len(violations)} broken promises"
        )
        return 1 if violations else 0

    def _print_faults(self, history: History, violations: list[Violation]) -> None:
        for kind, count in count_by_kind(violations).items():
            self._console.print(f"{kind.value}: {count}")
        for violation in violations[:MAX_SHOWN_VIOLATIONS]:
            self._console.print(
                f"  {violation.kind.value} {violation.subject}: {violation.detail}"
            )
        if not self._options.verbose:
            return
        for one in history.calls:
            if one.outcome is not AttemptOutcome.ANSWERED or len(one.attempts) > 1:
                self._console.print(describe_end(one))

    def _print_progress(self, text: str) -> None:
        elapsed = time.monotonic() - self._began
        self._console.print(f"[{elapsed:5.1f} s] {text}", markup=False, highlight=False)


def main() -> int:
    """Parse the command line and run."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--example", default="njia-moja")
    parser.add_argument("--requests", type=int, default=800)
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--verbose", action="store_true", help="show each retry")
    options = parser.parse_args()
    console = Console(width=TABLE_WIDTH)
    with tempfile.TemporaryDirectory() as directory, Processes() as processes:
        example = read_example(options.example)
        cluster = Cluster(example, Path(directory), processes)
        return Demo(cluster, console, options).run()


if __name__ == "__main__":
    sys.exit(main())
