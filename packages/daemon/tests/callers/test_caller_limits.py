from __future__ import annotations

import asyncio
import json

import pytest

from .conftest import encode_answer, wait_until

HEAD = b"GET /consent/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer njia-secret\r\n"


async def read_problem(reader: asyncio.StreamReader) -> tuple[int, dict]:
    async with asyncio.timeout(8):
        head = await reader.readuntil(b"\r\n\r\n")
        length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
        body = await reader.readexactly(length)
    return int(head.split(b" ")[1]), json.loads(body)


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (HEAD + b"X-Big: " + b"x" * 20_000 + b"\r\n\r\n", 431),
        (HEAD + b"".join(b"X-%d: %b\r\n" % (n, b"x" * 900) for n in range(20)), 431),
        (HEAD + b"Content-Length: 2000000\r\n\r\n", 413),
        (b"not http at all\r\n\r\n", 400),
    ],
)
async def test_passing_a_limit_is_refused_at_once(bench, sent, status):
    entry_vm = await bench.start_entry_vm()
    reader, writer = await bench.connect(entry_vm)
    writer.write(sent if sent.endswith(b"\r\n\r\n") else sent + b"\r\n")
    answered, problem = await read_problem(reader)
    assert answered == status
    assert problem["outcome"] == "not-run"


async def test_body_without_length_is_cut_at_the_limit(bench):
    upstream = await bench.add_upstream()
    entry_vm = await bench.start_entry_vm(max_body_bytes=1000)
    reader, writer = await bench.connect(entry_vm)
    writer.write(HEAD.replace(b"GET", b"POST") + b"Transfer-Encoding: chunked\r\n\r\n")
    writer.write(b"400\r\n" + b"x" * 1024 + b"\r\n")
    status, _ = await read_problem(reader)
    assert status == 413
    assert upstream.runs == []


@pytest.mark.parametrize(
    "begin", [HEAD, HEAD + b"Content-Length: 10\r\n\r\nhalf", b"GET "]
)
async def test_caller_that_sends_too_slowly_is_refused(bench, begin):
    """A caller begins a request and stalls. It is refused with status 408 and uses no
    slot; without the limit its connection would stay open indefinitely."""
    upstream = await bench.add_upstream()
    entry_vm = await bench.start_entry_vm(body_seconds=0.3)
    reader, writer = await bench.connect(entry_vm)
    writer.write(begin)
    status, problem = await read_problem(reader)
    assert status == 408
    assert problem["outcome"] == "not-run"
    assert upstream.runs == []


async def test_connections_above_the_limit_are_refused_immediately(bench):
    await bench.add_upstream()
    entry_vm = await bench.start_entry_vm(max_connections=2)
    for _ in range(2):
        await bench.connect(entry_vm)
    reader, _ = await bench.connect(entry_vm)
    status, problem = await read_problem(reader)
    assert status == 503
    assert problem["reason"] == "too-many-connections"


async def test_shutdown_completes_requests_and_serves_until_the_balancer_reacts(bench):
    """SIGTERM arrives while one request runs, and another is sent afterwards. The
    readiness check fails immediately, both requests get complete answers, and the
    last answer announces that the connection closes."""
    release = asyncio.Event()

    async def work(reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        await reader.readuntil(b"\r\n\r\n")
        await release.wait()
        writer.write(encode_answer(b"whole"))

    await bench.add_raw_upstream(work)
    entry_vm = await bench.start_entry_vm()
    running = asyncio.create_task(entry_vm.ask())
    await wait_until(lambda: entry_vm.component._in_flight == 1)
    entry_vm.node.stopping = True
    stopping = asyncio.create_task(entry_vm.component.stop())
    assert (await entry_vm.ask("/readyz")).status == 503
    late = asyncio.create_task(entry_vm.ask())
    await asyncio.sleep(0.1)
    release.set()
    answers = await asyncio.gather(running, late)
    assert [answer.body for answer in answers] == [b"whole", b"whole"]
    assert answers[1].headers["Connection"] == "close"
    await stopping


async def test_keyed_run_is_recorded_before_the_process_ends(bench):
    """A caller disconnects while its payment runs, and SIGTERM arrives. The process
    ends only after the run has ended and its outcome is recorded."""
    release = asyncio.Event()

    async def work(reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        await reader.readuntil(b"\r\n\r\n")
        await release.wait()
        writer.write(encode_answer(b"paid"))

    await bench.add_raw_upstream(work)
    first = await bench.start_entry_vm("e1")
    pay = {"method": "POST", "data": b"pay", "Idempotency_Key": "k"}
    asked = asyncio.create_task(first.ask(**pay))
    await asyncio.sleep(0.2)
    asked.cancel()
    stopping = asyncio.create_task(first.component.stop())
    await asyncio.sleep(0.2)
    release.set()
    await stopping
    second = await bench.start_entry_vm("e2")
    assert (await second.ask(**pay)).headers["Idempotent-Replay"] == "?1"
