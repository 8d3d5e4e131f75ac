from __future__ import annotations

import asyncio
import base64
import json
from typing import TYPE_CHECKING, Any

import aiohttp
import pytest

if TYPE_CHECKING:
    from medlarspring_bench.processes import Processes

Gateway = tuple[aiohttp.ClientSession, str, str]


def b64(text: str) -> str:
    return base64.b64encode(text.encode()).decode()


@pytest.fixture
def gateway(processes: Processes, http: aiohttp.ClientSession) -> Gateway:
    process = processes.start_module("kv", "medlarspring_bench.standins.key_value")
    addresses = process.wait_for_announcement()
    return http, f"http://{addresses['address']}", f"http://{addresses['control']}"


async def call(gateway: Gateway, path: str, body: dict[str, Any]) -> dict[str, Any]:
    http, url, _ = gateway
    async with http.post(f"{url}/v3{path}", json=body) as response:
        return dict(await response.json())


async def set_faults(gateway: Gateway, **faults: object) -> None:
    http, _, control = gateway
    async with http.post(f"{control}/control/faults", json=faults) as response:
        assert response.status == 200


async def put(gateway: Gateway, key: str, value: str) -> dict[str, Any]:
    return await call(gateway, "/kv/put", {"key": b64(key), "value": b64(value)})


async def read(gateway: Gateway, key: str) -> dict[str, Any]:
    return await call(gateway, "/kv/range", {"key": b64(key)})


async def test_put_and_range_have_the_etcd_format(gateway: Gateway):
    await put(gateway, "a/1", "x")
    await put(gateway, "a/2", "")
    found = await call(
        gateway,
        "/kv/range",
        {"key": b64("a/"), "range_end": b64("a0"), "limit": "1"},
    )
    assert found["header"]["revision"] == "3"
    assert found["count"] == "2"
    assert found["more"] is True
    assert found["kvs"] == [
        {
            "key": b64("a/1"),
            "value": b64("x"),
            "create_revision": "2",
            "mod_revision": "2",
            "version": "1",
        }
    ]


@pytest.mark.parametrize(
    "compare",
    [
        {"target": "MOD", "result": "EQUAL", "mod_revision": "2"},
        {"target": "CREATE", "result": "GREATER", "create_revision": 0},
        {"target": "VERSION", "result": "LESS", "version": "2"},
        {"target": "VALUE", "value": b64("x")},
        {"target": "MOD", "modRevision": "2"},
    ],
)
async def test_conditions_hold_and_fail(gateway: Gateway, compare: dict[str, Any]):
    await put(gateway, "a", "x")
    body = {
        "compare": [{"key": b64("a"), **compare}],
        "success": [{"request_put": {"key": b64("a"), "value": b64("y")}}],
        "failure": [{"requestRange": {"key": b64("a")}}],
    }
    first = await call(gateway, "/kv/txn", body)
    second = await call(gateway, "/kv/txn", body)
    assert first["succeeded"] is True
    held_again = compare["target"] == "CREATE"
    assert second.get("succeeded", False) is held_again
    if not held_again:
        assert second["responses"][0]["response_range"]["kvs"][0]["value"] == b64("y")


async def test_nested_transactions_are_evaluated_independently(gateway: Gateway):
    await put(gateway, "a", "x")
    nested = [
        {
            "request_txn": {
                "compare": [{"key": b64(key), "target": "MOD", "mod_revision": "0"}],
                "success": [{"request_put": {"key": b64(key), "value": b64("n")}}],
            }
        }
        for key in ("a", "b")
    ]
    answer = await call(gateway, "/kv/txn", {"success": nested})
    inner = [one["response_txn"] for one in answer["responses"]]
    assert [one.get("succeeded", False) for one in inner] == [False, True]


@pytest.mark.parametrize(
    ("path", "body", "code"),
    [
        ("/kv/put", {"key": b64("a"), "value": b64("x" * 1_048_577)}, 3),
        ("/kv/put", {"key": b64("a"), "lease": "99"}, 5),
        ("/lease/revoke", {"ID": "99"}, 5),
        ("/kv/txn", {"success": [{"request_range": {"key": "YQ=="}}] * 129}, 3),
    ],
)
async def test_invalid_requests_are_rejected(
    gateway: Gateway, path: str, body: dict[str, Any], code: int
):
    assert (await call(gateway, path, body))["code"] == code


async def test_expired_lease_deletes_its_key_and_watch_reports_it(gateway: Gateway):
    """A holder stops renewing: its lease expires and a watch reports the deletion."""
    http, url, _ = gateway
    lease_id = (await call(gateway, "/lease/grant", {"TTL": "1"}))["ID"]
    await call(gateway, "/kv/put", {"key": b64("h"), "lease": lease_id})
    kept = await call(gateway, "/lease/keepalive", {"ID": lease_id})
    assert kept["result"]["TTL"] == "1"
    create = {"create_request": {"key": b64("h"), "start_revision": "2"}}
    async with http.post(f"{url}/v3/watch", json=create) as stream:
        lines = [json.loads(await stream.content.readline()) for _ in range(3)]
    assert lines[0]["result"]["created"] is True
    assert lines[1]["result"]["events"][0]["kv"]["lease"] == lease_id
    assert lines[2]["result"]["events"][0]["type"] == "DELETE"


async def test_watch_of_compacted_revision_is_cancelled(gateway: Gateway):
    http, url, _ = gateway
    await put(gateway, "a", "x")
    await call(gateway, "/kv/compaction", {"revision": "2"})
    create = {"create_request": {"key": b64("a"), "start_revision": "1"}}
    async with http.post(f"{url}/v3/watch", json=create) as stream:
        lines = [json.loads(line) async for line in stream.content]
    assert lines[-1]["result"]["canceled"] is True
    assert lines[-1]["result"]["compact_revision"] == "2"


async def test_lost_reply_leaves_the_write_in_place(gateway: Gateway):
    await set_faults(gateway, lose_replies=1)
    with pytest.raises(aiohttp.ClientError):
        await put(gateway, "a", "x")
    assert (await read(gateway, "a"))["count"] == "1"


async def test_truncated_response_raises_a_payload_error(gateway: Gateway):
    await set_faults(gateway, truncate_replies=1)
    with pytest.raises(aiohttp.ClientPayloadError):
        await read(gateway, "a")


@pytest.mark.parametrize("fault", ["down", "resetting", "unreachable"])
async def test_new_connections_fail_until_the_fault_ends(gateway: Gateway, fault: str):
    _, url, _ = gateway
    expected = TimeoutError if fault == "unreachable" else aiohttp.ClientError
    await set_faults(gateway, **{fault: True})
    async with aiohttp.ClientSession() as new_session:
        with pytest.raises(expected):
            async with asyncio.timeout(0.5):
                await read((new_session, url, ""), "a")
        await set_faults(gateway, **{fault: False})
        assert "header" in await read((new_session, url, ""), "a")


async def test_silent_connection_never_answers_and_new_one_does(gateway: Gateway):
    """A middlebox drops the state of a connection: only new connections work."""
    http, url, _ = gateway
    await read(gateway, "a")
    await set_faults(gateway, silence=True)
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.5):
            await read(gateway, "a")
    async with aiohttp.ClientSession() as new_session:
        assert "header" in await read((new_session, url, ""), "a")


async def test_frozen_gate_answers_once_it_is_unfrozen(gateway: Gateway):
    await set_faults(gateway, frozen=True)
    reading = asyncio.create_task(read(gateway, "a"))
    with pytest.raises(TimeoutError):
        await asyncio.wait_for(asyncio.shield(reading), 0.3)
    await set_faults(gateway, frozen=False)
    assert "header" in await reading


async def test_calls_are_counted_by_kind_and_client(gateway: Gateway):
    http, url, control = gateway
    await read(gateway, "a")
    body = {"key": b64("a")}
    headers = {"Client-Id": "c1"}
    async with http.post(f"{url}/v3/kv/put", json=body, headers=headers):
        pass
    async with http.get(f"{control}/control/calls") as response:
        counts = await response.json()
    assert counts["by_kind"] == {"range": 1, "put": 1}
    assert counts["by_client"] == {"all": 1, "c1": 1}
