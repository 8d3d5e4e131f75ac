from __future__ import annotations

import asyncio
import json

import pytest
from aiohttp import web

from medlarspring_bench.memory_store import MemoryStore

from .conftest import encode_answer, wait_until

PAY = {"method": "POST", "data": b"pay 100", "Idempotency_Key": "batch-7"}


async def count_runs(request: web.BaseRequest) -> web.Response:
    return web.Response(status=201, text="paid", headers={"Location": "/payments/1"})


async def test_repeat_through_another_entry_vm_gets_the_first_answer(bench):
    """A caller repeats a payment through another entry VM, as after a lost answer.
    It gets the recorded answer, and the payment does not run twice."""
    upstream = await bench.add_upstream(count_runs)
    first = await bench.start_entry_vm("e1")
    second = await bench.start_entry_vm("e2")
    paid = await first.ask(**PAY)
    again = await second.ask(**PAY)
    assert (paid.status, again.status) == (201, 201)
    assert (paid.body, again.body) == (b"paid", b"paid")
    assert again.headers["Idempotent-Replay"] == "?1"
    assert again.headers["Location"] == "/payments/1"
    assert len(upstream.runs) == 1


async def test_concurrent_repeats_run_once(bench):
    """A caller sends one payment ten times concurrently through two entry VMs. One
    request runs; the others are refused because it is in progress."""
    release = asyncio.Event()

    async def work(request: web.BaseRequest) -> web.Response:
        await release.wait()
        return web.Response(text="paid")

    upstream = await bench.add_upstream(work)
    entry_vms = [await bench.start_entry_vm(name) for name in ("e1", "e2")]
    asked = [asyncio.create_task(entry_vm.ask(**PAY)) for entry_vm in entry_vms * 5]
    await wait_until(lambda: sum(task.done() for task in asked) == 9)
    release.set()
    answers = await asyncio.gather(*asked)
    assert sorted(answer.status for answer in answers) == [200] + [409] * 9
    refused = next(answer for answer in answers if answer.status == 409)
    assert json.loads(refused.body)["outcome"] == "unknown"
    assert int(refused.headers["Retry-After"]) >= 1
    assert len(upstream.runs) == 1


@pytest.mark.parametrize("change", [{"data": b"pay 999"}, {"path": "/consent/other"}])
async def test_key_with_another_request_is_a_conflict(bench, change):
    await bench.add_upstream(count_runs)
    first = await bench.start_entry_vm("e1")
    second = await bench.start_entry_vm("e2")
    await first.ask(**PAY)
    answer = await second.ask(**{**PAY, **change})
    assert answer.status == 422
    assert json.loads(answer.body)["reason"] == "key-conflict"


async def test_same_key_of_two_partners_is_independent(bench):
    upstream = await bench.add_upstream(count_runs)
    entry_vm = await bench.start_entry_vm()
    await entry_vm.ask(**PAY, partner="njia")
    answer = await entry_vm.ask(**PAY, partner="mto")
    assert answer.status == 201
    assert len(upstream.runs) == 2


async def test_lost_reply_to_a_claim_causes_exactly_one_run(bench):
    """The store writes the claim but its reply is lost. The entry VM finds its own
    claim when it repeats the write, and runs the payment once."""
    upstream = await bench.add_upstream(count_runs)
    entry_vm = await bench.start_entry_vm()
    await entry_vm.ask(**{**PAY, "Idempotency_Key": "takes the lease"})
    bench.store.faults.lose_replies = 1
    answer = await entry_vm.ask(**PAY)
    assert answer.status == 201
    assert len(upstream.runs) == 2


async def test_store_down_before_the_send_runs_nothing(bench):
    """No key can be claimed while the store is unreachable. The caller is refused
    immediately, with outcome "unknown" rather than "not run", because the entry VM
    can't know whether the key is new. Nothing runs, and the repeat after the outage
    runs once."""
    upstream = await bench.add_upstream(count_runs)
    entry_vm = await bench.start_entry_vm()
    await entry_vm.ask(**{**PAY, "Idempotency_Key": "takes the lease"})
    bench.store.go_down()
    refused = await entry_vm.ask(**PAY)
    assert refused.status == 503
    assert json.loads(refused.body)["outcome"] == "unknown"
    assert json.loads(refused.body)["reason"] == "store-unreachable"
    assert int(refused.headers["Retry-After"]) >= 1
    assert len(upstream.runs) == 1
    bench.store.come_up()
    assert (await entry_vm.ask(**PAY)).status == 201
    assert len(upstream.runs) == 2


async def test_repeat_is_not_reported_as_not_run_while_the_store_is_unreachable(bench):
    """Guards against "not run" for a key that ran through another entry VM."""
    upstream = await bench.add_upstream(count_runs)
    first = await bench.start_entry_vm("e1")
    second = await bench.start_entry_vm("e2")
    assert (await first.ask(**PAY)).status == 201
    await second.ask(**{**PAY, "Idempotency_Key": "takes the lease"})
    bench.store.go_down()
    refused = await second.ask(**PAY)
    assert refused.status == 503
    assert json.loads(refused.body)["outcome"] == "unknown"
    assert int(refused.headers["Retry-After"]) >= 1
    bench.store.come_up()
    answer = await second.ask(**PAY)
    assert answer.headers["Idempotent-Replay"] == "?1"
    assert len(upstream.runs) == 2


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        ({"Authorization": "Bearer guess"}, "unauthorised"),
        ({"path": "/coffee/cups/7"}, "unknown-service"),
        ({"Request_Timeout": "soon"}, "bad-request"),
        ({"data": b"x" * 2_000_000}, "body-too-large"),
    ],
)
@pytest.mark.parametrize(
    ("keys", "outcome"),
    [({"Idempotency_Key": "batch-7"}, "unknown"), ({}, "not-run")],
    ids=["a key", "no key"],
)
async def test_refusal_before_the_key_lookup_has_unknown_outcome(
    bench, change, reason, keys, outcome
):
    """Guards against "not run" for a key whose earlier request has already run."""
    await bench.add_upstream(count_runs)
    entry_vm = await bench.start_entry_vm()
    await entry_vm.ask(**PAY)
    pay = {"method": "POST", "data": b"pay 100", **keys, **change}
    answer = json.loads((await entry_vm.ask(**pay)).body)
    assert (answer["reason"], answer["outcome"]) == (reason, outcome)


@pytest.mark.parametrize("key", ["", "k" * 300], ids=["empty", "too long"])
async def test_invalid_key_is_reported_as_not_run(bench, key):
    await bench.add_upstream(count_runs)
    entry_vm = await bench.start_entry_vm()
    refused = await entry_vm.ask(**{**PAY, "Idempotency_Key": key})
    answer = json.loads(refused.body)
    assert (answer["reason"], answer["outcome"]) == ("bad-request", "not-run")


async def test_conflict_with_a_key_that_is_being_claimed_has_unknown_outcome(bench):
    """Guards against "not run" for a request that conflicts with one in progress. The
    key's claim in the store may belong to either request."""
    release = asyncio.Event()

    async def work(request: web.BaseRequest) -> web.Response:
        await release.wait()
        return web.Response(text="paid")

    upstream = await bench.add_upstream(work)
    entry_vm = await bench.start_entry_vm()
    asked = asyncio.create_task(entry_vm.ask(**PAY))
    await wait_until(lambda: len(upstream.runs) == 1)
    other = await entry_vm.ask(**{**PAY, "data": b"pay 999"})
    answer = json.loads(other.body)
    assert (answer["reason"], answer["outcome"]) == ("key-conflict", "unknown")
    release.set()
    assert (await asked).status == 200


async def test_outcome_is_recorded_after_an_outage_of_the_store(bench):
    """The store goes down while the payment runs. The caller gets its answer, and
    the record is written when the store is available again."""

    async def work(request: web.BaseRequest) -> web.Response:
        bench.store.go_down()
        return web.Response(text="paid")

    upstream = await bench.add_upstream(work)
    first = await bench.start_entry_vm("e1")
    second = await bench.start_entry_vm("e2")
    assert (await first.ask(**PAY)).status == 200
    await asyncio.sleep(0.2)
    bench.store.come_up()
    async with asyncio.timeout(8):
        while (answer := await second.ask(**PAY)).status == 409:
            await asyncio.sleep(0.05)
    assert answer.headers["Idempotent-Replay"] == "?1"
    assert len(upstream.runs) == 1


async def test_claim_of_a_refused_request_is_abandoned(bench):
    """All upstreams refuse after the key was claimed. The outcome is "not run", and a
    repeat through another entry VM runs, because the first claim was abandoned."""
    refusing = True

    async def work(request: web.BaseRequest) -> web.Response:
        if refusing:
            return web.Response(status=503, headers={"Upstream-State": "full"})
        return web.Response(text="paid")

    await bench.add_upstream(work)
    first = await bench.start_entry_vm("e1")
    second = await bench.start_entry_vm("e2")
    refused = await first.ask(**PAY, Request_Timeout="0.5")
    assert json.loads(refused.body)["outcome"] == "not-run"
    refusing = False
    assert (await second.ask(**PAY)).status == 200


async def test_run_without_known_outcome_is_never_repeated(bench):
    """The upstream receives the payment and its connection breaks. It is unknown
    whether the payment ran, so the repeat is refused with ``outcome-lost``."""
    heads = []

    async def break_off(reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        heads.append(await reader.readuntil(b"\r\n\r\n"))
        writer.close()

    await bench.add_raw_upstream(break_off)
    first = await bench.start_entry_vm("e1")
    second = await bench.start_entry_vm("e2")
    unknown = await first.ask(**PAY)
    again = await second.ask(**PAY)
    assert json.loads(unknown.body)["outcome"] == "unknown"
    assert json.loads(again.body)["reason"] == "outcome-lost"
    assert len(heads) == 1


async def test_repeat_after_a_disconnect_gets_the_outcome(bench):
    """The caller's connection breaks while its payment runs. The run continues to
    its end, and the repeat gets its answer."""
    release = asyncio.Event()

    async def work(request: web.BaseRequest) -> web.Response:
        await release.wait()
        return web.Response(text="paid")

    upstream = await bench.add_upstream(work)
    first = await bench.start_entry_vm("e1")
    second = await bench.start_entry_vm("e2")
    asked = asyncio.create_task(first.ask(**PAY))
    await wait_until(lambda: upstream.running == 1)
    asked.cancel()
    await asyncio.gather(asked, return_exceptions=True)
    release.set()
    await wait_until(lambda: upstream.running == 0)
    async with asyncio.timeout(5):
        while (answer := await second.ask(**PAY)).status == 409:
            await asyncio.sleep(0.02)
    assert answer.body == b"paid"
    assert len(upstream.runs) == 1


async def test_answer_too_large_to_record_is_not_replayed(bench):
    async def work(request: web.BaseRequest) -> web.Response:
        return web.Response(body=b"x" * 20_000)

    upstream = await bench.add_upstream(work)
    entry_vm = await bench.start_entry_vm()
    assert len((await entry_vm.ask(**PAY)).body) == 20_000
    again = await entry_vm.ask(**PAY)
    assert again.status == 409
    assert json.loads(again.body)["outcome"] == "run"
    assert len(upstream.runs) == 1


async def test_slow_store_does_not_lose_the_record(bench):
    """Each store call takes 0.6 seconds. The answer does not wait for its record,
    and the record is written later."""
    upstream = await bench.add_upstream(count_runs)
    slow = MemoryStore(bench.store.state)
    first = await bench.start_entry_vm("e1", store=slow)
    second = await bench.start_entry_vm("e2")
    await first.ask(**{**PAY, "Idempotency_Key": "takes the lease"})
    slow.faults.slow_seconds = 0.6
    loop = asyncio.get_running_loop()
    began = loop.time()
    assert (await first.ask(**PAY)).status == 201
    assert loop.time() - began < 1.1
    async with asyncio.timeout(5):
        while (answer := await second.ask(**PAY)).status == 409:
            await asyncio.sleep(0.02)
    assert answer.headers["Idempotent-Replay"] == "?1"
    assert len(upstream.runs) == 2


async def test_payments_share_store_calls(bench):
    """A batch of 200 payments needs far fewer store calls than the two writes per
    payment, because writes are committed in groups."""

    async def work(request: web.BaseRequest) -> web.Response:
        return web.Response(text="paid")

    for _ in range(4):
        await bench.add_upstream(work)
    entry_vm = await bench.start_entry_vm(max_waiting=500)
    bench.store.faults.slow_seconds = 0.005
    asked = [
        entry_vm.ask(method="POST", data=b"pay", Idempotency_Key=f"k{number}")
        for number in range(200)
    ]
    answers = await asyncio.gather(*asked)
    assert {answer.status for answer in answers} == {200}
    assert bench.store.calls_by_kind["txn"] < 200


async def test_raw_answer_is_kept_with_its_type(bench):
    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(encode_answer(b"{}", extra="Content-Type: application/json\r\n"))

    await bench.add_raw_upstream(answer)
    entry_vm = await bench.start_entry_vm()
    first = await entry_vm.ask(**PAY)
    again = await entry_vm.ask(**PAY)
    assert first.headers["Content-Type"] == again.headers["Content-Type"]
