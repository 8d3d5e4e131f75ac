from __future__ import annotations

import asyncio
import io
import random
from contextlib import AsyncExitStack

import aiohttp
import pytest

from medlarspring_adapters.clock import SystemClock
from medlarspring_adapters.events import create_event_log
from medlarspring_adapters.metrics import NoMetrics
from medlarspring_bench.memory_store import create_memory_store
from medlarspring_bench.streams import connect_streams
from medlarspring_daemon.node import create_node
from medlarspring_daemon.operators import (
    answers as operator_answers,
    service as operator_service,
)
from medlarspring_daemon.operators.service import (
    OperatorLimits,
    create_operator_service,
)
from medlarspring_daemon.settings import Settings
from medlarspring_tables import EntryVMId

TOKEN = "operators-only"
HEADERS = {"Authorization": f"Bearer {TOKEN}"}
LIMITS = OperatorLimits(
    max_header_bytes=2_000,
    max_body_bytes=10_000,
    max_connections=3,
    idle_seconds=3.0,
    body_seconds=0.5,
)


@pytest.fixture
async def port(tmp_path, monkeypatch):
    monkeypatch.setattr(operator_service, "OperatorLimits", lambda: LIMITS)
    monkeypatch.setattr(operator_answers, "BODY_SECONDS", 0.5)
    token_file = tmp_path / "token"
    token_file.write_text(TOKEN)
    closed = {"listen": "127.0.0.1:0", "token_file": str(token_file)}
    settings = Settings.model_validate(
        {
            "entry_vm": {"id": "entry-1", "zone": "zone-a", "region": "coast"},
            "caller": {"listen": "127.0.0.1:0"},
            "operator": closed,
            "peer": closed,
            "store": {"endpoints": ["127.0.0.1:1"]},
            "vm_list": {"url": "http://127.0.0.1:1/vms"},
        }
    )
    clock = SystemClock()
    log = create_event_log(EntryVMId("entry-1"), "INFO", io.StringIO())
    store = create_memory_store(clock)
    node = create_node(settings, clock, random.Random(1), log, NoMetrics(), store)
    service = create_operator_service(node)
    await service.start()
    yield node.addresses["operator"]
    await service.stop()


@pytest.mark.parametrize(
    ("headers", "body", "status"),
    [
        ({}, b"{}", 401),
        ({"Authorization": "Bearer "}, b"{}", 401),
        ({"Authorization": "Bearer guess"}, b"{}", 401),
        (HEADERS, b"x" * 10_001, 413),
        ({**HEADERS, "Note": "x" * 2_001}, b"{}", 431),
        (HEADERS, b"no json", 400),
        (HEADERS, b'{"id": "", "operator": "a", "rows": []}', 400),
    ],
)
async def test_request_over_a_limit_is_answered_at_once(port, headers, body, status):
    async with (
        aiohttp.ClientSession() as session,
        session.post(
            f"http://{port}/v1/table/edits", headers=headers, data=body
        ) as response,
    ):
        assert response.status == status
        assert response.content_type == "application/problem+json"
        assert (await response.json())["detail"]


@pytest.mark.parametrize(
    ("sent", "expected"),
    [
        (b"", b""),
        (b"GET /v1/status HTTP/1.1\r\n", b"HTTP/1.1 408"),
        (
            b"POST /v1/table/edits HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
            + TOKEN.encode()
            + b"\r\nContent-Length: 50\r\n\r\n{",
            b"HTTP/1.1 408",
        ),
    ],
)
async def test_connection_with_an_incomplete_request_is_closed(port, sent, expected):
    """
    A client connects and sends nothing, or only part of the headers or the body.
    Without a time limit such connections stay open until none is left for operators.
    """
    async with connect_streams(port) as (reader, writer):
        writer.write(sent)
        answer = await asyncio.wait_for(reader.read(len(expected) or 1), 10.0)
    assert answer == expected


async def test_connection_over_the_limit_is_refused_at_once(port):
    async with AsyncExitStack() as held:
        for _ in range(LIMITS.max_connections):
            await held.enter_async_context(connect_streams(port))
        reader, _ = await held.enter_async_context(connect_streams(port))
        answer = await asyncio.wait_for(reader.read(), 10.0)
    assert answer.startswith(b"HTTP/1.1 503")
