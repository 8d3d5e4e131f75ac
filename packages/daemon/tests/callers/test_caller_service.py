from __future__ import annotations

import json

import pytest


async def test_answer_of_the_upstream_reaches_the_caller_whole(bench):
    await bench.add_upstream()
    entry_vm = await bench.start_entry_vm()
    answer = await entry_vm.ask(
        "/consent/parcels/7?full=%2F1", method="POST", data=b"body", Request_Id="r-1"
    )
    assert answer.status == 200
    assert answer.body == b"POST /parcels/7?full=%2F1 body"
    assert answer.headers["Request-Id"] == "r-1"


@pytest.mark.parametrize(
    ("path", "headers", "status", "reason"),
    [
        ("/consent/x", {"Authorization": "Bearer wrong"}, 401, "unauthorised"),
        ("/consent/x", {"Authorization": "Basic njia-secret"}, 401, "unauthorised"),
        ("/nothing/x", {}, 404, "unknown-service"),
        ("/consent/x", {"Request-Timeout": "soon"}, 400, "bad-request"),
        ("/consent/x", {"Request-Timeout": "nan"}, 400, "bad-request"),
        ("/consent/x", {"Idempotency-Key": "k" * 300}, 400, "bad-request"),
    ],
)
async def test_request_that_cannot_be_served_is_refused_as_not_run(
    bench, path, headers, status, reason
):
    upstream = await bench.add_upstream()
    entry_vm = await bench.start_entry_vm()
    answer = await entry_vm.ask(path, **headers)
    problem = json.loads(answer.body)
    assert answer.status == status == problem["status"]
    assert answer.headers["Content-Type"] == "application/problem+json"
    assert problem["reason"] == reason
    assert problem["outcome"] == "not-run"
    assert problem["request_id"] == answer.headers["Request-Id"]
    assert upstream.runs == []


async def test_readiness_fails_until_the_node_knows_enough_and_while_it_stops(bench):
    entry_vm = await bench.start_entry_vm()
    node = entry_vm.node
    config, node.config = node.config, None
    assert (await entry_vm.ask("/readyz")).status == 503
    assert (await entry_vm.ask()).status == 503
    node.config = config
    assert (await entry_vm.ask("/readyz")).status == 200
    node.stopping = True
    assert (await entry_vm.ask("/readyz")).status == 503
    assert (await entry_vm.ask("/healthz")).status == 200
