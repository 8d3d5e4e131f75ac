"""Malformed records by other writers are rejected and do not disturb other records."""

from __future__ import annotations

import base64
import json
from typing import Any

import pytest
from hypothesis import HealthCheck, given, settings, strategies as st
from returns.pipeline import is_successful

from medlarspring_adapters.http_channel import HttpAnswer, Unanswered
from medlarspring_platform.machines import WireMachine, _to_vm
from medlarspring_platform.operator_records import PlatformCodec
from medlarspring_platform.store_messages import WireItem, to_entry
from medlarspring_platform.workers import _to_hold_answer
from medlarspring_tables.bounds import MAX_WHOLE
from medlarspring_tables.scheduling import VMPhase

CODEC = PlatformCodec()
KEY = "servers/i-1"
WORKER: dict[str, Any] = {
    "service": "s-1",
    "address": "10.0.0.1:8080",
    "zone": "z-1",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "warmupLeftMs": 0,
    "capacity": {"cpu": 16_000, "memMb": 32_768, "gpu": 0},
    "labels": ["a", "r1-3"],
    "machineId": "m-1",
    "clockMs": 482_113,
    "seq": 4,
}
CONFIG: dict[str, Any] = {
    "version": 7,
    "routes": [{"name": "r-1", "host": "h", "prefix": "/a/", "service": "s-1"}],
    "services": [{"name": "s-1", "standby": False}],
    "limits": {"maxBodyBytes": 1_000},
}
WAVE: dict[str, Any] = {"wave": 3, "machines": ["m-1"], "deadlineS": 25, "maxCount": 2}

json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=6,
)


# The first draw scans all modules for constants, which can take seconds.
reproducible = settings(
    deadline=None, derandomize=True, suppress_health_check=[HealthCheck.too_slow]
)


@st.composite
def mutated(draw: st.DrawFn, record: dict[str, Any]) -> bytes:
    """Return a valid record with some fields removed or replaced."""
    changed = dict(record)
    for field in draw(st.lists(st.sampled_from(sorted(record)), max_size=4)):
        if draw(st.booleans()):
            changed.pop(field, None)
        else:
            changed[field] = draw(json_values)
    return json.dumps(changed).encode()


@reproducible
@given(
    value=st.one_of(
        st.binary(max_size=200), mutated(WORKER), mutated(CONFIG), mutated(WAVE)
    )
)
def test_no_bytes_make_a_decoder_raise(value: bytes):
    for decode in (CODEC.decode_worker, CODEC.decode_config, CODEC.decode_wave):
        found = decode("op/wave/1", value)
        if not is_successful(found):
            assert "op/wave/1" in found.failure().message()


NESTED = (b"[" * 1_500 + b"]" * 1_500, b"[" * 100_000 + b"]" * 100_000)
DECODERS = {
    "worker": (CODEC.decode_worker, WORKER),
    "config": (CODEC.decode_config, CONFIG),
    "wave": (CODEC.decode_wave, WAVE),
}


@pytest.mark.parametrize("nested", NESTED, ids=("1500", "100000"))
@pytest.mark.parametrize(("decode", "record"), DECODERS.values(), ids=DECODERS)
def test_deeply_nested_field_makes_the_entry_unreadable(
    decode: Any, record: dict[str, Any], nested: bytes
):
    """Guards against a follower that ends on a RecursionError."""
    found = decode(KEY, json.dumps(record)[:-1].encode() + b', "odd": ' + nested + b"}")
    assert "nested too deeply" in found.failure().message()


@pytest.mark.parametrize("number", ["9" * 311, "9" * 5_000, "1e400", str(2**63)])
@pytest.mark.parametrize(
    ("decode", "record", "field"),
    [
        (CODEC.decode_worker, WORKER, '"clockMs": #'),
        (CODEC.decode_worker, WORKER, '"born": #'),
        (CODEC.decode_worker, WORKER, '"warmupLeftMs": #'),
        (CODEC.decode_worker, WORKER, '"slots": #'),
        (CODEC.decode_worker, WORKER, '"capacity": {"cpu": #, "memMb": 1}'),
        (CODEC.decode_worker, WORKER, '"capacity": {"cpu": 1, "memMb": #}'),
        (CODEC.decode_worker, WORKER, '"capacity": {"cpu": 1, "memMb": 1, "gpu": #}'),
        (CODEC.decode_config, CONFIG, '"version": #'),
        (CODEC.decode_config, CONFIG, '"limits": {"maxBodyBytes": #}'),
        (CODEC.decode_config, CONFIG, '"routes": [{"name": "r", "priority": #}]'),
        (CODEC.decode_config, CONFIG, '"routes": [{"name": "r", "stretch": #}]'),
        (
            CODEC.decode_config,
            CONFIG,
            '"tenants": [{"name": "t", "maxCount": {"cpu": #}}]',
        ),
        (CODEC.decode_wave, WAVE, '"wave": #'),
        (CODEC.decode_wave, WAVE, '"deadlineS": #'),
        (CODEC.decode_wave, WAVE, '"maxCount": #'),
    ],
)
def test_number_out_of_bounds_makes_the_entry_unreadable(
    decode: Any, record: dict[str, Any], field: str, number: str
):
    """Guards against an entry that is taken and raises OverflowError when it's used."""
    start = json.dumps(record)[:-1] + ", "
    assert is_successful(decode(KEY, f"{start}{field.replace('#', '1')}}}".encode()))
    found = decode(KEY, f"{start}{field.replace('#', number)}}}".encode())
    assert KEY in found.failure().message()


@pytest.mark.parametrize("port", [0, 65_536, 99_999])
def test_port_out_of_range_makes_the_entry_unreadable(port: int):
    value = json.dumps(WORKER | {"address": f"10.0.0.1:{port}"}).encode()
    assert not is_successful(CODEC.decode_worker(KEY, value))


@pytest.mark.parametrize("number", ["9" * 311, "9" * 5_000, "1e400", "1e308", "2e16"])
@pytest.mark.parametrize(
    "content",
    [
        '{"clockMs": #}',
        '{"born": #}',
        '{"running": [["t", #, "", 2, 3]]}',
        '{"finished": [[#, "t", 1, "done", ""]]}',
    ],
)
def test_number_out_of_bounds_in_a_worker_answer_is_unreadable(
    content: str, number: str
):
    """Guards against a row's number that ends the poll of its worker."""
    reply = HttpAnswer(200, content.replace("#", number).encode())
    with pytest.raises((ValueError, Unanswered)):
        _to_hold_answer(reply, 0)


@pytest.mark.parametrize("number", ["9" * 311, "1e308", "2e16", "9007199254740993"])
@pytest.mark.parametrize("sign", ["", "-"])
def test_measured_number_out_of_bounds_in_a_worker_answer_is_clamped(
    sign: str, number: str
):
    """Guards against a worker that counts as silent for one odd percent or gauge."""
    row, other = f'["t", 1, "", {sign}{number}, {sign}{number}]', '["u", 1, "", 5]'
    reply = HttpAnswer(200, f'{{"running": [{row}, {other}]}}'.encode())
    found, kept = _to_hold_answer(reply, 0).running
    assert found.percent == found.gauge == int(f"{sign}{MAX_WHOLE}")
    assert (kept.task_id, kept.percent) == ("u", 5)


@pytest.mark.parametrize("number", ["9" * 5_000, "1e400", '"x"', "null"])
@pytest.mark.parametrize("row", ['["t", 1, "", #, 3]', '["t", 1, "", 2, #]'])
def test_row_that_cannot_be_read_makes_a_worker_answer_unreadable(
    row: str, number: str
):
    """Guards against a run that counts as lost because its row was left out."""
    reply = HttpAnswer(200, f'{{"running": [{row.replace("#", number)}]}}'.encode())
    with pytest.raises((ValueError, Unanswered)):
        _to_hold_answer(reply, 0)


@reproducible
@given(value=mutated(WORKER))
def test_accepted_worker_entry_has_all_that_orders_need(value: bytes):
    found = CODEC.decode_worker(KEY, value)
    if not is_successful(found):
        return
    entry = found.unwrap()
    assert entry.vm_id
    assert entry.pool_id
    assert entry.zone_id
    assert entry.resources.cpu_millis > 0
    assert min(entry.resources.memory_mb, entry.resources.accelerators) >= 0
    host, _, port = entry.address.rpartition(":")
    assert all(0 <= int(octet) <= 255 for octet in host.split("."))
    assert 0 < int(port) < 65_536


def test_valid_worker_entry_is_accepted():
    assert is_successful(CODEC.decode_worker(KEY, json.dumps(WORKER).encode()))


@pytest.mark.parametrize(
    "field", ["service", "address", "zone", "state", "capacity", "machineId"]
)
def test_entry_without_a_field_is_rejected(field: str):
    value = {name: each for name, each in WORKER.items() if name != field}
    assert not is_successful(CODEC.decode_worker(KEY, json.dumps(value).encode()))


@pytest.mark.parametrize(
    ("field", "content"),
    [
        ("address", "garbage"),
        ("address", ""),
        ("address", "10.0.0.1"),
        ("address", "10.0.0.1:99999999"),
        ("address", "10.0.0.1:0"),
        ("address", "10.0.0.256:80"),
        ("address", "worker.example:80"),
        ("address", "10.0.0.1:80\n"),
        ("address", 8080),
        ("state", "paused"),
        ("state", None),
        ("capacity", {}),
        ("capacity", {"cpu": -1, "memMb": 5}),
        ("capacity", {"cpu": 0, "memMb": 5}),
        ("capacity", {"cpu": 1_000, "memMb": -5}),
        ("capacity", {"cpu": "1000", "memMb": 5}),
        ("capacity", {"cpu": 1_000}),
        ("capacity", None),
        ("labels", "a"),
        ("labels", [3]),
        ("warmupLeftMs", "soon"),
        ("warmupLeftMs", -1),
        ("seq", "four"),
        ("slots", None),
        ("version", 3),
        ("service", ""),
        ("service", ["s-1"]),
        ("machineId", ""),
        ("machineId", 7),
        ("zone", ""),
    ],
)
def test_entry_with_invalid_content_is_rejected(field: str, content: object):
    value = json.dumps(WORKER | {field: content}).encode()
    assert not is_successful(CODEC.decode_worker(KEY, value))


@pytest.mark.parametrize("name", ["", "two words", "line\nbreak", "é"])
def test_key_that_is_invalid_in_a_header_is_rejected(name: str):
    value = json.dumps(WORKER).encode()
    assert not is_successful(CODEC.decode_worker(f"servers/{name}", value))


@pytest.mark.parametrize("text", ["%%%", "abc", "é", "YQ==\n!"])
def test_value_without_base64_does_not_end_listing(text: str):
    entry = to_entry(WireItem(key=KEY, value=text, revision=3))
    assert (entry.key, entry.mod_revision) == (KEY, 3)
    assert not is_successful(CODEC.decode_worker(KEY, entry.value))


@reproducible
@given(value=st.binary(max_size=100))
def test_any_bytes_are_read_back(value: bytes):
    text = base64.b64encode(value).decode()
    assert to_entry(WireItem(key="k", value=text)).value == value


def test_unknown_vm_state_does_not_count_as_down():
    machine = WireMachine(machine_id="m-1", pool="s-1", state="hibernating")
    assert _to_vm(machine).phase is VMPhase.UNKNOWN
