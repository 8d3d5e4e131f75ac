"""Measures goodput during faults of upstream VMs, against the time before.

One caller port and eight upstream VMs run as processes. An open loop sends
requests at about half of the capacity. Each fault is measured from its start and
again from 5 s after it.
"""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass
from typing import Any

import aiohttp
import uvloop

from medlarspring_bench.control_client import control
from medlarspring_bench.measure.requests_processes import CREDENTIAL, SERVICE
from medlarspring_bench.processes import Processes

MODULE = "medlarspring_bench.measure.requests_processes"
UPSTREAM_MODULE = "medlarspring_bench.standins.upstream"
UPSTREAMS = 8
SLOTS = 8
WORK_MS = 100
RATE = 300.0
"""Requests per second; all slots together can serve 640."""
TIMEOUT_SECONDS = 1.0
SETTLE_SECONDS = 5.0
COUNTED_SECONDS = 4.0
SEED = 1
FAULTY_VM = "vm-0"


@dataclass(slots=True, frozen=True)
class Fault:
    """A fault and the control messages that begin and end it."""

    name: str
    begin: dict[str, Any]
    end: dict[str, Any]


FAULTS = (
    Fault("open connections gone silent", {"silence": True}, {}),
    Fault(
        "slow worker",
        {"gate": FAULTY_VM, "slow_seconds": 1.5},
        {"gate": FAULTY_VM, "slow_seconds": 0.0},
    ),
    Fault(
        "failing worker",
        {"gate": FAULTY_VM, "fail_all": True},
        {"gate": FAULTY_VM, "fail_all": False},
    ),
)


class OpenLoop:
    """Sends requests at a fixed mean rate, independent of response times."""

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        self._session = session
        self._url = f"http://{address}/{SERVICE}/x?work_ms={WORK_MS}"
        self._rng = random.Random(SEED)
        self._running_tasks: set[asyncio.Task[bool]] = set()

    async def send_for(self, seconds: float) -> float:
        """Return the fraction of requests that got status 200 within the timeout."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        tasks = []
        while (now := loop.time()) < end:
            task = loop.create_task(self._send_request())
            self._running_tasks.add(task)
            task.add_done_callback(self._running_tasks.discard)
            tasks.append(task)
            pause = self._rng.expovariate(RATE)
            await asyncio.sleep(max(0.0, now + pause - loop.time()))
        return sum(await asyncio.gather(*tasks)) / len(tasks)

    async def _send_request(self) -> bool:
        headers = {
            "Authorization": f"Bearer {CREDENTIAL}",
            "Request-Timeout": str(TIMEOUT_SECONDS),
        }
        try:
            async with asyncio.timeout(TIMEOUT_SECONDS):
                async with self._session.get(self._url, headers=headers) as response:
                    await response.read()
                    return response.status == 200
        except (TimeoutError, aiohttp.ClientError):
            return False


async def _measure(address: str, upstream_control: str) -> list[str]:
    rows = []
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        load = OpenLoop(session, address)
        await load.send_for(SETTLE_SECONDS)
        for fault in FAULTS:
            before = await load.send_for(COUNTED_SECONDS)
            await _control(upstream_control, fault.begin)
            during = await load.send_for(SETTLE_SECONDS)
            after = await load.send_for(COUNTED_SECONDS)
            if fault.end:
                await _control(upstream_control, fault.end)
            await load.send_for(SETTLE_SECONDS)
            rows.append(
                f"| {fault.name} | {before:.3f} | {during:.3f} | {after:.3f}"
                f" | {after / before:.3f} | 0.9 or more |"
            )
    return rows


async def _control(address: str, body: dict[str, Any]) -> None:
    await asyncio.to_thread(control, "POST", address, "faults", body)


def measure_faults() -> list[str]:
    """Return the rows of the table in docs/MEASUREMENTS.md."""
    names = ",".join(f"vm-{number}" for number in range(UPSTREAMS))
    with Processes() as processes:
        upstream = processes.start_module(
            "upstream",
            UPSTREAM_MODULE,
            *("--vms", names, "--slots", str(SLOTS), "--seed", str(SEED)),
        ).wait_for_announcement()
        targets = list(upstream["addresses"].values())
        port = processes.start_module(
            "port", MODULE, "caller-port", *targets, "--slots", str(SLOTS)
        ).wait_for_announcement()
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            return runner.run(_measure(str(port["control"]), upstream["control"]))


def main() -> None:
    """Print the table."""
    print("| fault | before | first 5 s | after 5 s | after / before | wanted |")
    print("| --- | --- | --- | --- | --- | --- |")
    for row in measure_faults():
        print(row)


if __name__ == "__main__":
    main()
