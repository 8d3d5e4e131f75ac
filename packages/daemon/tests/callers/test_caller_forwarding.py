from __future__ import annotations

import asyncio
import json

import aiohttp
import pytest
from aiohttp import web

from .conftest import encode_answer, wait_until


async def read_head(reader: asyncio.StreamReader) -> bytes:
    return await reader.readuntil(b"\r\n\r\n")


def refuse_with(state: str):
    async def handler(request: web.BaseRequest) -> web.Response:
        return web.Response(status=503, headers={"Upstream-State": state})

    return handler


async def truncate_answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
    await read_head(reader)
    writer.write(encode_answer(b"half", length=100))
    writer.close()


async def close_before_answer(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
):
    await read_head(reader)
    writer.close()


async def answer_without_length(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
):
    await read_head(reader)
    writer.write(b"HTTP/1.1 200 OK\r\n\r\nlooks whole")
    writer.close()


async def answer_malformed(reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
    await read_head(reader)
    writer.write(b"HTTP/1.1 two hundred\r\n\r\n")
    writer.close()


async def answer_another_request(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
):
    await read_head(reader)
    writer.write(encode_answer(b"not yours", extra="Request-Id: other\r\n"))


async def answer_huge_headers(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
):
    await read_head(reader)
    writer.write(encode_answer(b"", extra=f"X-Big: {'x' * 70_000}\r\n"))


BROKEN_ANSWER_SCRIPTS = [
    truncate_answer,
    close_before_answer,
    answer_without_length,
    answer_malformed,
    answer_another_request,
    answer_huge_headers,
]


@pytest.mark.parametrize("script", BROKEN_ANSWER_SCRIPTS)
async def test_broken_answer_of_unrepeatable_work_is_an_unknown_outcome(bench, script):
    """An upstream received a payment and its answer is broken. The caller must
    not get the broken answer as a complete one, the outcome must not be "not run",
    and the other upstream must not run the payment a second time."""
    await bench.add_raw_upstream(script)
    entry_vm = await bench.start_entry_vm()
    answer = await entry_vm.ask(method="POST", data=b"pay")
    assert answer.status == 502
    assert json.loads(answer.body)["outcome"] == "unknown"


@pytest.mark.parametrize("script", BROKEN_ANSWER_SCRIPTS)
async def test_broken_answer_of_repeatable_work_is_retried(bench, script):
    """A read got a broken answer from one upstream. It is sent again to the
    other on a new connection, and the caller gets only the complete answer."""
    await bench.add_raw_upstream(script)
    good = await bench.add_upstream()
    entry_vm = await bench.start_entry_vm()
    answers = [await entry_vm.ask() for _ in range(4)]
    assert [answer.status for answer in answers] == [200] * 4
    assert {answer.body for answer in answers} == {b"GET /parcels/7 "}
    assert good.runs


async def test_truncated_large_answer_aborts_the_callers_connection(bench):
    """An answer too large for buffering is streamed, and breaks off after its status
    was sent. The caller's connection is aborted, so that the truncated answer is
    never taken for a complete one."""

    async def truncate_large_answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ):
        await read_head(reader)
        writer.write(encode_answer(b"x" * 300_000, length=400_000))
        await writer.drain()
        writer.close()

    await bench.add_raw_upstream(truncate_large_answer)
    entry_vm = await bench.start_entry_vm()
    with pytest.raises(aiohttp.ClientError):
        async with asyncio.timeout(5):
            await entry_vm.ask()


async def test_second_answer_on_a_connection_is_discarded(bench):
    """An upstream answers twice. The second answer is in the buffer of the pooled
    connection when the next caller's request arrives; reusing the connection
    would give that caller the answer to the first request."""
    connections = 0

    async def answer_twice(reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        nonlocal connections
        connections += 1
        while True:
            head = await read_head(reader)
            path = head.split(b" ")[1]
            writer.write(encode_answer(path))
            await writer.drain()
            await asyncio.sleep(0.02)
            writer.write(encode_answer(path))

    await bench.add_raw_upstream(answer_twice)
    entry_vm = await bench.start_entry_vm()
    for number in range(5):
        answer = await entry_vm.ask(f"/consent/{number}")
        assert answer.body == b"/%d" % number
        await asyncio.sleep(0.05)
    assert connections == 5


async def test_answer_after_the_deadline_is_discarded(bench):
    """The first caller's deadline passes before the upstream answers. The late
    answer must not become the answer to the second caller's request."""

    async def answer_late(reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        while True:
            path = (await read_head(reader)).split(b" ")[1]
            if path == b"/late":
                await asyncio.sleep(0.4)
            writer.write(encode_answer(path))

    await bench.add_raw_upstream(answer_late)
    entry_vm = await bench.start_entry_vm()
    late = await entry_vm.ask("/consent/late", Request_Timeout="0.2")
    assert late.status == 504
    assert json.loads(late.body)["outcome"] == "unknown"
    await asyncio.sleep(0.3)
    assert (await entry_vm.ask("/consent/next")).body == b"/next"


async def test_unresponsive_pooled_connections_do_not_fail_requests(bench):
    """All open connections stop responding while new ones work, as after a firewall
    lost its connection table. Reads are answered over a new connection within
    their deadline, and unrepeatable work never uses an old connection."""
    unresponsive = False

    async def stop_answering(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ):
        opened_before = not unresponsive
        while True:
            head = await read_head(reader)
            if unresponsive and opened_before:
                await asyncio.sleep(30)
            if b"POST" in head:
                await reader.readexactly(3)
            writer.write(encode_answer(b"ok"))

    await bench.add_raw_upstream(stop_answering)
    entry_vm = await bench.start_entry_vm()
    warm = await asyncio.gather(*(entry_vm.ask() for _ in range(4)))
    assert {answer.status for answer in warm} == {200}
    unresponsive = True
    loop = asyncio.get_running_loop()
    began = loop.time()
    assert (await entry_vm.ask()).status == 200
    reads = await asyncio.gather(*(entry_vm.ask() for _ in range(4)))
    assert {answer.status for answer in reads} == {200}
    assert loop.time() - began < 2.0
    payment = await entry_vm.ask(method="POST", data=b"pay")
    assert payment.status == 200


@pytest.mark.parametrize("method", ["PUT", "DELETE", "POST"])
async def test_broken_connection_does_not_repeat_unrepeatable_work(bench, method):
    """The upstream runs the request and its connection breaks before the answer.
    By default the HTTP client library repeats PUT and DELETE in this case, and the
    upstream would run one request twice."""
    heads: list[bytes] = []

    async def run_and_break(reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        heads.append(await read_head(reader))
        writer.close()

    await bench.add_raw_upstream(run_and_break)
    await bench.add_raw_upstream(run_and_break)
    entry_vm = await bench.start_entry_vm()
    answer = await entry_vm.ask(method=method, data=b"pay")
    assert json.loads(answer.body)["outcome"] == "unknown"
    assert len(heads) == 1


async def test_unrepeatable_work_is_sent_to_another_upstream_when_the_port_refuses(
    bench,
):
    """The first upstream's process has ended and its port refuses connections. No
    byte was sent, so even a payment may be sent to the next upstream."""
    bench.list_vm("127.0.0.1:1")
    good = await bench.add_upstream()
    entry_vm = await bench.start_entry_vm()
    answers = [await entry_vm.ask(method="POST", data=b"pay") for _ in range(4)]
    assert [answer.status for answer in answers] == [200] * 4
    assert len(good.runs) == 4


@pytest.mark.parametrize("state", ["full", "leaving"])
async def test_refusal_before_running_retries_even_payments_on_another_upstream(
    bench, state
):
    refusing = await bench.add_upstream(refuse_with(state))
    good = await bench.add_upstream()
    entry_vm = await bench.start_entry_vm()
    answers = [await entry_vm.ask(method="POST", data=b"pay") for _ in range(6)]
    assert [answer.status for answer in answers] == [200] * 6
    assert len(good.runs) == 6
    if state == "leaving":
        assert len(refusing.runs) == 1


async def test_refusal_by_every_upstream_is_reported_as_not_run(bench):
    for _ in range(2):
        await bench.add_upstream(refuse_with("full"))
    entry_vm = await bench.start_entry_vm()
    answer = await entry_vm.ask(method="POST", data=b"pay", Request_Timeout="0.5")
    assert answer.status == 503
    assert json.loads(answer.body)["outcome"] == "not-run"
    assert int(answer.headers["Retry-After"]) >= 1


async def test_slot_of_abandoned_work_stays_in_use(bench):
    """Callers give up on requests that the upstream continues to run. Their slots
    are still in use; sending new work immediately would run more than 8 requests."""

    async def work(request: web.BaseRequest) -> web.Response:
        await asyncio.sleep(0.6)
        return web.Response()

    upstream = await bench.add_upstream(work)
    entry_vm = await bench.start_entry_vm()
    for _ in range(4):
        await asyncio.gather(
            *(
                entry_vm.ask(method="POST", data=b"pay", Request_Timeout="0.15")
                for _ in range(8)
            )
        )
    assert len(upstream.runs) >= 8
    assert upstream.most_running <= 8


async def test_requests_of_disconnected_callers_leave_the_queue(bench):
    """Callers disconnect while their requests wait. These requests are never sent,
    and the requests of the other callers are still served."""
    release = asyncio.Event()

    async def work(request: web.BaseRequest) -> web.Response:
        await release.wait()
        return web.Response(text="done")

    upstream = await bench.add_upstream(work)
    entry_vm = await bench.start_entry_vm()
    running = [asyncio.create_task(entry_vm.ask()) for _ in range(8)]
    await wait_until(lambda: upstream.running == 8)
    leaving = [asyncio.create_task(entry_vm.ask()) for _ in range(4)]
    staying = asyncio.create_task(entry_vm.ask("/consent/stay"))
    await asyncio.sleep(0.05)
    for task in leaving:
        task.cancel()
    await asyncio.sleep(0.05)
    release.set()
    answers = await asyncio.gather(*running, staying)
    assert {answer.status for answer in answers} == {200}
    assert len(upstream.runs) == 9
