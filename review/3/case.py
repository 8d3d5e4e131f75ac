"""Batches of jobs land while the store begins to turn a machine away."""

from __future__ import annotations

import asyncio
import os
import random
import time
from typing import TYPE_CHECKING

from deployment import Deployment, Record, run_case

if TYPE_CHECKING:
    from deployment import EntryVM

SEED = int(os.environ.get("SEED", "1"))
BATCH = 33
BATCH_SECONDS = 0.5
"""66 jobs a second: five times the mean of the sheet of njiamoja-ops, 13.9."""
REPEAT_SHARE = 0.04
"""Share of the jobs whose request arrives once more after its 2xx response."""
REPEAT_SECONDS = (2.0, 8.0)
OUTAGES = 60
OUTAGE_SECONDS = 0.8
"""The site has 9 s of ``nodes busy`` for 0.33 of the machines."""
CALM_SECONDS = (0.5, 1.0)
MAX_ATTEMPTS = 5
REJECTED = (429, 503)
NOT_ANSWERED = (0, 502, 504)


class Consumers:
    """Consumers that send batches; they keep the answers that they get."""

    def __init__(
        self, deployment: Deployment, record: Record, rng: random.Random
    ) -> None:
        self._deployment = deployment
        self._record = record
        self._rng = rng
        self._sending: set[asyncio.Task[None]] = set()
        self._accepted: list[tuple[float, str]] = []
        self.answers: dict[str, list[int]] = {}
        """Statuses of all attempts, by job."""

    async def send_forever(self) -> None:
        """Send batches, each over one entry VM, with some late repeats."""
        while True:
            await asyncio.sleep(BATCH_SECONDS * self._rng.uniform(0.7, 1.3))
            entry_vm = self._rng.choice(self._deployment.entry_vms)
            jobs = [self._deployment.new_job(tasks=1, cpu=200) for _ in range(BATCH)]
            jobs += self._choose_repeats()
            self._rng.shuffle(jobs)
            for job in jobs:
                sending = asyncio.create_task(self._send(entry_vm, job))
                self._sending.add(sending)
                sending.add_done_callback(self._sending.discard)

    def _choose_repeats(self) -> list[str]:
        now = time.monotonic()
        earliest, latest = now - REPEAT_SECONDS[1], now - REPEAT_SECONDS[0]
        known = [job for at, job in self._accepted if earliest < at < latest]
        count = sum(self._rng.random() < REPEAT_SHARE for _ in range(BATCH))
        return self._rng.sample(known, min(count, len(known)))

    async def _send(self, entry_vm: EntryVM, job: str) -> None:
        """Hand a job in; without an answer, again at another entry VM."""
        for _ in range(MAX_ATTEMPTS):
            status, _ = await self._deployment.call(entry_vm, "POST", job)
            self.answers.setdefault(job, []).append(status)
            if 200 <= status < 300:
                self._accepted.append((time.monotonic(), job))
            if status not in NOT_ANSWERED:
                return
            entry_vm = self._rng.choice(self._deployment.entry_vms)

    def list_broken(self) -> list[str]:
        """Return the jobs of which each attempt was rejected and a task has started."""
        started = {task.split(".")[0] for _, task, _, _ in self._deployment.starts}
        return [
            job
            for job, statuses in self.answers.items()
            if job in started and all(each in REJECTED for each in statuses)
        ]


async def play_outage(
    deployment: Deployment, record: Record, rng: random.Random
) -> None:
    """Let the store turn one of three machines away with 503."""
    entry_vm = rng.choice(deployment.entry_vms)
    fault = deployment.store.faults[entry_vm.store]
    record.write("store-busy", node=entry_vm.name)
    fault.mode = "busy"
    await asyncio.sleep(OUTAGE_SECONDS)
    fault.mode = "ok"
    record.write("store-well", node=entry_vm.name)


async def main(record: Record, trouble: bool) -> bool:
    """Return whether REFUSED was broken."""
    rng = random.Random(SEED)
    async with Deployment(record, 3, 8) as deployment:
        deployment.task_seconds = 0.1
        await deployment.wait_until_ready()
        consumers = Consumers(deployment, record, rng)
        sending = asyncio.create_task(consumers.send_forever())
        for _ in range(OUTAGES):
            await asyncio.sleep(rng.uniform(*CALM_SECONDS))
            if trouble:
                await play_outage(deployment, record, rng)
            else:
                await asyncio.sleep(OUTAGE_SECONDS)
        sending.cancel()
        await asyncio.sleep(4.0)
        broken = consumers.list_broken()
        for job in broken:
            record.say("REFUSED", job=job, answers=consumers.answers[job])
        counts: dict[str, int] = {}
        for status in (each for row in consumers.answers.values() for each in row):
            counts[f"s{status}"] = counts.get(f"s{status}", 0) + 1
        record.say("at-the-end", refused_and_started=len(broken), **counts)
        return bool(broken)


run_case(main)
