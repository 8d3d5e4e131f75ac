from __future__ import annotations

import asyncio
import hashlib
import signal
import socket
from typing import Any

import aiohttp
import pytest
from returns.pipeline import is_successful

from medlarspring_adapters.worker_control import (
    HttpWorkerControl,
    RenewalRequest,
    TaskOrder,
    WorkerRefused,
)
from medlarspring_bench.processes import Processes, ProcessFailed
from medlarspring_bench.standins.server import announce
from medlarspring_tables import JobId, Size

STANDINS = "medlarspring_bench.standins"


def start(processes: Processes, name: str, *arguments: str) -> dict[str, Any]:
    process = processes.start_module(name, f"{STANDINS}.{name}", *arguments)
    return process.wait_for_announcement()


async def send(
    http: aiohttp.ClientSession, method: str, url: str, body: object = None
) -> Any:
    async with http.request(method, f"http://{url}", json=body) as response:
        return await response.json()


async def test_upstream_answers_and_records_the_run(
    processes: Processes, http: aiohttp.ClientSession
):
    upstream = start(processes, "upstream", "--vms", "a,b", "--service-ms", "5")
    headers = {"Request-Id": "r1", "Partner-Id": "p1", "Idempotency-Key": "k1"}
    url = f"http://{upstream['addresses']['b']}/pay?x=1"
    async with http.post(url, data=b"body", headers=headers) as response:
        answer = await response.json()
        assert response.headers["Request-Id"] == "r1"
    assert answer["digest"] == hashlib.sha256(b"body").hexdigest()
    (run,) = await send(http, "GET", f"{upstream['control']}/control/runs")
    assert (run["vm"], run["request_id"], run["idempotency_key"]) == ("b", "r1", "k1")
    assert 0 < run["start"] < run["end"]


async def test_upstream_refuses_over_its_slots_and_when_draining(
    processes: Processes, http: aiohttp.ClientSession
):
    upstream = start(processes, "upstream", "--vms", "a", "--slots", "2")
    address = upstream["addresses"]["a"]
    control = upstream["control"]

    async def ask() -> tuple[int, str]:
        async with http.get(f"http://{address}/?work_ms=300") as response:
            return response.status, response.headers.get("Upstream-State", "")

    answers = await asyncio.gather(*(ask() for _ in range(3)))
    assert sorted(answers) == [(200, ""), (200, ""), (503, "full")]
    await send(http, "POST", f"{control}/control/vms/a", {"state": "draining"})
    assert await ask() == (503, "leaving")
    refusals = await send(http, "GET", f"{control}/control/refusals")
    assert [one["reason"] for one in refusals] == ["full", "leaving"]


async def test_upstream_resets_connections_over_its_limit(
    processes: Processes, http: aiohttp.ClientSession
):
    upstream = start(processes, "upstream", "--vms", "a", "--connections", "1")
    host, _, port = upstream["addresses"]["a"].partition(":")
    with socket.create_connection((host, int(port))):
        with pytest.raises(aiohttp.ClientError):
            await send(http, "GET", upstream["addresses"]["a"])
        vms = await send(http, "GET", f"{upstream['control']}/control/vms")
    assert vms["a"]["connections_refused"] >= 1


async def test_task_of_an_older_attempt_is_refused(
    processes: Processes, http: aiohttp.ClientSession
):
    """A resumed former holder orders an older attempt, which must not start again."""
    upstream = start(processes, "upstream", "--vms", "a")
    control = HttpWorkerControl(http, timeout=5)
    address = upstream["addresses"]["a"]

    def order(attempt: int) -> TaskOrder:
        return TaskOrder(
            job_id=JobId("j"),
            attempt=attempt,
            size=Size(1.0, 1.0, 0),
            declared_seconds=60.0,
            lease_seconds=30.0,
        )

    assert is_successful(await control.start(address, order(2)))
    assert is_successful(await control.start(address, order(2)))
    refused = await control.start(address, order(1))
    assert isinstance(refused.failure(), WorkerRefused)
    reply = (await control.renew(address, RenewalRequest(lease_seconds=30))).unwrap()
    assert [report.attempt for report in reply.reports] == [2]


async def test_vm_list_shows_changes_after_its_lag(
    processes: Processes, http: aiohttp.ClientSession
):
    listing = start(processes, "vm_list", "--gates", "z1,z2", "--lag-seconds", "0.5")
    control = listing["control"]
    entry = {"targets": ["127.0.0.1:1"], "labels": {"id": "a", "state": "live"}}

    async def shown(gate: str) -> Any:
        return await send(http, "GET", f"{listing['gates'][gate]}/targets")

    await send(http, "PUT", f"{control}/control/vms", [entry])
    await send(
        http,
        "POST",
        f"{control}/control/targets",
        {"gate": "z2", "targets_by_id": {"a": "127.0.0.1:2"}},
    )
    assert await shown("z1") == [entry]
    assert (await shown("z2"))[0]["targets"] == ["127.0.0.1:2"]
    await send(http, "POST", f"{control}/control/vms/a", {"state": "leaving"})
    assert (await shown("z1"))[0]["labels"]["state"] == "live"
    async with asyncio.timeout(5):
        while (await shown("z1"))[0]["labels"]["state"] != "leaving":
            await asyncio.sleep(0.05)


async def test_balancer_sends_only_to_ready_daemons(
    processes: Processes, http: aiohttp.ClientSession
):
    upstream = start(processes, "upstream", "--vms", "a,b", "--service-ms", "1")
    balancer = start(processes, "balancer")
    addresses = upstream["addresses"]
    await send(
        http,
        "PUT",
        f"{balancer['control']}/control/backends",
        [{"address": address, "weight": 1.0} for address in addresses.values()],
    )

    async def ready() -> list[str]:
        answer = await send(http, "GET", f"{balancer['control']}/control/backends")
        return list(answer["ready"])

    async with asyncio.timeout(5):
        while len(await ready()) < 2:
            await asyncio.sleep(0.05)
        await send(
            http, "POST", f"{upstream['control']}/control/vms/a", {"state": "draining"}
        )
        while len(await ready()) > 1:
            await asyncio.sleep(0.05)
    assert (await send(http, "GET", f"{balancer['address']}/x"))["vm"] == "b"


async def test_link_resets_connections_while_down_and_works_afterwards(
    processes: Processes, http: aiohttp.ClientSession
):
    upstream = start(processes, "upstream", "--vms", "a")
    links = start(processes, "links")
    target = upstream["addresses"]["a"]
    opened = await send(
        http,
        "POST",
        f"{links['control']}/control/links",
        [{"name": "l1", "target": target, "group": "z1|z2"}],
    )
    faults = f"{links['control']}/control/faults"
    assert (await send(http, "GET", f"{opened['l1']}/x"))["vm"] == "a"
    await send(http, "POST", faults, {"gate": "z1|z2", "down": True})
    with pytest.raises(aiohttp.ClientError):
        await send(http, "GET", f"{opened['l1']}/x")
    await send(http, "POST", faults, {"gate": "z1|z2", "down": False})
    assert (await send(http, "GET", f"{opened['l1']}/x"))["vm"] == "a"


async def test_statsd_counts_datagrams(
    processes: Processes, http: aiohttp.ClientSession
):
    sink = start(processes, "statsd")
    host, _, port = sink["address"].partition(":")
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        sender.sendto(b"m.a:2|c\nm.g:7|g", (host, int(port)))
    async with asyncio.timeout(5):
        while True:
            metrics = await send(http, "GET", f"{sink['control']}/control/metrics")
            if metrics["values"]:
                break
    assert metrics == {"counters": {"m.a": 2}, "values": {"m.g": 7}}


def test_process_that_ends_early_is_reported_with_its_output(processes: Processes):
    process = processes.start_module("bad", f"{STANDINS}.vm_list", "--nonsense")
    with pytest.raises(ProcessFailed, match="unrecognized arguments"):
        process.wait_for_announcement()


def test_paused_process_continues_after_resume(processes: Processes):
    process = processes.start_module("kv", f"{STANDINS}.key_value")
    process.wait_for_announcement()
    process.pause()
    process.resume()
    process.terminate()
    assert process.wait() == 0


async def test_vm_control_drains_upstream_and_list(
    processes: Processes, http: aiohttp.ClientSession
):
    upstream = start(processes, "upstream", "--vms", "a")
    listing = start(processes, "vm_list", "--lag-seconds", "0")
    control, vms = listing["control"], f"{listing['address']}/control/vms"
    labels = {"id": "a", "role": "upstream", "state": "live", "pool": "p"}
    entry = {"targets": [upstream["addresses"]["a"]], "labels": labels}
    await send(http, "PUT", f"{control}/control/vms", [entry])
    body = {"controls": [upstream["control"]]}
    await send(http, "POST", f"{control}/control/upstreams", body)
    row = await send(http, "POST", f"{vms}/a/drain", {"revision": 1})
    assert row["condition"] == "draining"
    async with asyncio.timeout(5):
        while (await send(http, "GET", vms))[0]["condition"] != "drained":
            await asyncio.sleep(0.02)
    shown = await send(http, "GET", f"{listing['address']}/targets")
    assert shown[0]["labels"]["state"] == "leaving"
    seen = await send(http, "GET", f"{upstream['control']}/control/vms")
    assert seen["a"]["state"] == "draining"
    refused = await send(http, "POST", f"{vms}/a/drain", {"revision": 0})
    assert refused == {"reason": "stale"}


async def test_signal_handlers_are_installed_before_the_announcement(monkeypatch):  # type: ignore[no-untyped-def]
    """
    The parent process stops a stand-in as soon as it has read its announcement. On
    a busy machine the signal arrived before the stand-in had installed its signal
    handlers, so the stand-in was killed instead of stopping by itself.
    """
    handlers: list[object] = []

    class Output:
        def write(self, _: str) -> None:
            handlers.append(signal.getsignal(signal.SIGTERM))

        def flush(self) -> None:
            pass

    before = signal.getsignal(signal.SIGTERM)
    monkeypatch.setattr("sys.stdout", Output())
    announce(name="any")
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.remove_signal_handler(number)
    assert handlers
    assert all(each is not before for each in handlers)
