from __future__ import annotations

import time
from dataclasses import dataclass, field
from itertools import pairwise
from typing import TYPE_CHECKING, Any

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from medlarspring_bench.cluster import OPERATOR_TOKEN, Cluster
from medlarspring_bench.control_client import call, control
from medlarspring_bench.waiting import wait_for

if TYPE_CHECKING:
    from collections.abc import Iterator

scenarios("features/jobs.feature")

HEADERS = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
PARTNERS = ("north", "south", "east")


@dataclass
class JobClient:
    """Calls the operator port of the first daemon that responds."""

    cluster: Cluster
    prefix: str
    refusals: list[dict[str, Any]] = field(default_factory=list)
    paused_id: str | None = None
    killed_id: str | None = None

    def send(self, method: str, path: str, body: object = None) -> Any:
        for id_, addresses in self.cluster.daemons_by_id.items():
            if id_ in (self.paused_id, self.killed_id):
                continue
            try:
                reply = call(method, addresses.operator, path, body, HEADERS, 5.0)
            except OSError:
                continue
            if reply.status == 200:
                return reply.json()
        return None

    def submit(self, count: int, cpus: float) -> None:
        jobs = [
            {
                "id": f"{self.prefix}-{number}",
                "partner_id": PARTNERS[number % len(PARTNERS)],
                "pool_id": "survey",
                "declared": {"cpus": cpus, "memory_gb": 2.0},
                "declared_seconds": 2.0,
            }
            for number in range(count)
        ]
        body = {"jobs": jobs, "operator": "asha"}
        answer = wait_for(lambda: self.send("POST", "/v1/jobs", body), "submitted")
        self.refusals = answer["refused"]

    def states(self) -> list[str]:
        listed = self.send("GET", "/v1/jobs/survey")
        if listed is None:
            return []
        jobs = [view["job"] for view in listed["jobs"]]
        return [job["state"] for job in jobs if job["id"].startswith(self.prefix)]

    def find_holder(self) -> str:
        def find() -> str | None:
            for id_, addresses in self.cluster.daemons_by_id.items():
                reply = call("GET", addresses.operator, "/v1/status", None, HEADERS)
                if "survey" in reply.json()["held_pools"]:
                    return id_
            return None

        return wait_for(find, "pool survey is held", 20.0)


@pytest.fixture
def job_client(cluster: Cluster, request: pytest.FixtureRequest) -> Iterator[JobClient]:
    job_client = JobClient(cluster, f"job{time.monotonic_ns()}")
    yield job_client
    if job_client.paused_id is not None:
        cluster.processes.by_name[job_client.paused_id].resume()
    if job_client.killed_id is not None:
        cluster.restart_daemon(job_client.killed_id)


@given("quotas for the partners")
def quotas(cluster: Cluster) -> None:
    for partner in PARTNERS:
        fields = ("quota_cpus=100", "quota_memory_gb=200")
        cluster.run_cli("table", "set", "partner", partner, *fields)


@when(parsers.parse("{count:d} jobs are submitted to pool survey"))
def submit(job_client: JobClient, count: int) -> None:
    job_client.submit(count, cpus=1.0)
    assert job_client.refusals == []


@when("a job larger than any worker is submitted to pool survey")
def submit_large(job_client: JobClient) -> None:
    job_client.submit(1, cpus=64.0)


@when("half of them have started")
def half_started(job_client: JobClient) -> None:
    def is_half() -> bool:
        states = job_client.states()
        return 2 * sum(state != "waiting" for state in states) >= len(states) > 0

    wait_for(is_half, "half of the jobs started", 20.0)


@when("the holder of the pool is killed")
def kill_holder(job_client: JobClient, cluster: Cluster) -> None:
    job_client.killed_id = job_client.find_holder()
    cluster.processes.by_name[job_client.killed_id].kill()


@when("the holder of the pool is frozen")
def freeze_holder(job_client: JobClient, cluster: Cluster) -> None:
    job_client.paused_id = job_client.find_holder()
    cluster.processes.by_name[job_client.paused_id].pause()


@when("the store is down for five seconds")
def store_down(cluster: Cluster) -> None:
    cluster.store_faults(down=True)
    until = time.monotonic() + 5.0
    wait_for(lambda: time.monotonic() >= until, "five seconds")
    cluster.store_faults(down=False)


@then(parsers.parse("every job ends as done within {seconds:g} seconds"))
def all_done(job_client: JobClient, seconds: float) -> None:
    def are_done() -> bool:
        states = job_client.states()
        return bool(states) and set(states) == {"done"}

    wait_for(are_done, "every job is done", seconds)


@then("no job ran on two workers at once")
def no_overlapping_runs(job_client: JobClient, cluster: Cluster) -> None:
    spans: dict[str, list[tuple[float, float]]] = {}
    for address in cluster.upstream_controls:
        for runs in control("GET", address, "tasks").values():
            for run in runs:
                if run["job_id"].startswith(job_client.prefix):
                    span = (run["start"], run["end"])
                    spans.setdefault(run["job_id"], []).append(span)
    assert len(spans) == 24
    for runs in spans.values():
        for before, after in pairwise(sorted(runs)):
            assert before[1] <= after[0]


@then(parsers.parse("it is refused as {code}"))
def refused(job_client: JobClient, code: str) -> None:
    assert [refusal["code"] for refusal in job_client.refusals] == [code]
