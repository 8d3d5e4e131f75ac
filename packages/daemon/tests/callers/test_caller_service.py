from __future__ import annotations

import gzip
import json

import pytest
from aiohttp import web

from medlarspring_adapters.decisions import Subject


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


async def answer_head(request):
    return web.Response(headers={"Content-Length": "1234"})


async def answer_nothing(request):
    return web.Response(status=204)


async def answer_unchanged(request):
    return web.Response(status=304, headers={"ETag": '"7"'})


async def answer_zipped(request):
    return web.Response(body=gzip.compress(b"x"), headers={"Content-Encoding": "gzip"})


async def answer_in_chunks(request):
    response = web.StreamResponse()
    await response.prepare(request)
    for _ in range(3):
        await response.write(b"part")
    await response.write_eof()
    return response


async def answer_large(request):
    return web.Response(body=b"y" * 3_000_000)


@pytest.mark.parametrize(
    ("method", "handler", "status", "header", "body"),
    [
        ("HEAD", answer_head, 200, ("Content-Length", "1234"), b""),
        ("GET", answer_nothing, 204, None, b""),
        ("GET", answer_unchanged, 304, ("ETag", '"7"'), b""),
        ("GET", answer_zipped, 200, ("Content-Encoding", "gzip"), b"x"),
        ("GET", answer_in_chunks, 200, None, b"partpartpart"),
        ("GET", answer_large, 200, ("Content-Length", "3000000"), b"y" * 3_000_000),
    ],
)
async def test_each_form_of_answer_is_passed_on_unchanged(
    bench, method, handler, status, header, body
):
    await bench.add_upstream(handler)
    entry_vm = await bench.start_entry_vm()
    for _ in range(2):
        answer = await entry_vm.ask(method=method)
        assert answer.status == status
        assert answer.body == body
        if header is not None:
            assert answer.headers[header[0]] == header[1]


async def test_request_can_be_explained_afterwards(bench):
    await bench.add_upstream()
    entry_vm = await bench.start_entry_vm()
    await entry_vm.ask(Request_Id="r-7")
    await entry_vm.ask("/nothing/x", Request_Id="r-8")
    (answered,) = entry_vm.node.decisions.find(Subject.REQUEST, "r-7")
    assert answered.decided == "answered"
    assert answered.facts["upstream"] == "vm-0"
    (refused,) = entry_vm.node.decisions.find(Subject.REQUEST, "r-8")
    assert (refused.decided, refused.rule) == ("refused", "unknown-service")
