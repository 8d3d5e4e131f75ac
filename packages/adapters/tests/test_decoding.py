"""Content of another program is decoded within bounds, or is a typed fault."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
import pytest
from returns.pipeline import is_successful

from medlarspring_adapters.decoding import decode_json
from medlarspring_adapters.fleet_records import TYPES_BY_PREFIX
from medlarspring_tables import ConfigTable, Job
from medlarspring_tables.claims import Claim
from medlarspring_tables.scheduling import (
    CancelRecord,
    ControllerRecord,
    JobRecord,
    LoadRecord,
    OperationsRecord,
    ProgressRecord,
    SizesRecord,
    UsageRecord,
    WaveRecord,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

STORED_TYPES = (
    CancelRecord,
    ControllerRecord,
    JobRecord,
    LoadRecord,
    OperationsRecord,
    ProgressRecord,
    SizesRecord,
    UsageRecord,
    WaveRecord,
    Claim,
    ConfigTable,
    Job,
    *TYPES_BY_PREFIX.values(),
)
ODD_CONTENTS = {
    "nested-1500": b'{"odd": ' + b"[" * 1_500 + b"]" * 1_500 + b"}",
    "nested-100000": b'{"odd": ' + b"[" * 100_000 + b"]" * 100_000 + b"}",
    "objects-1500": b'{"odd": ' + b'{"a":' * 1_500 + b"1" + b"}" * 1_501,
    "bytes": b"\xff\xfe",
    "empty": b"",
}
ODD_NUMBERS = ("9" * 311, "9" * 5_000, "1e400", str(2**63))


def list_numbers(found: Any, path: str) -> Iterator[tuple[str, Any]]:
    """Yield the path and description of each number in a described type."""
    if isinstance(found, msgspec.inspect.IntType | msgspec.inspect.FloatType):
        yield path, found
    elif isinstance(found, msgspec.inspect.StructType):
        for field in found.fields:
            yield from list_numbers(field.type, f"{path}.{field.name}")
    else:
        for name in getattr(found, "__struct_fields__", ()):
            inner = getattr(found, name)
            for each in inner if isinstance(inner, tuple) else (inner,):
                if isinstance(each, msgspec.inspect.Type):
                    yield from list_numbers(each, f"{path}[]")


@pytest.mark.parametrize("record_type", STORED_TYPES)
def test_each_number_of_a_stored_record_is_bounded(record_type: type[msgspec.Struct]):
    """Guards against an int of 311 digits that a later division can't take."""
    numbers = list(list_numbers(msgspec.inspect.type_info(record_type), ""))
    unbounded = [
        path
        for path, number in numbers
        if (number.ge is None or number.le is None) and path != ".incarnation"
    ]
    assert unbounded == []


@pytest.mark.parametrize("record_type", STORED_TYPES)
@pytest.mark.parametrize("content", ODD_CONTENTS.values(), ids=ODD_CONTENTS)
def test_odd_content_is_a_typed_fault(content: bytes, record_type: type[Any]):
    """Guards against a follower that ends on a RecursionError."""
    decoded = decode_json(content, record_type)
    assert not is_successful(decoded)
    assert "Correct it" in decoded.failure().message()


@pytest.mark.parametrize("number", ODD_NUMBERS, ids=lambda text: text[:6])
@pytest.mark.parametrize(
    ("record_type", "content"),
    [
        (CancelRecord, '{"requested_at_ms": #}'),
        (JobRecord, '{"queue": {"id": "q", "pool_id": "p"}, "accepted_at_ms": #}'),
        (LoadRecord, '{"at_ms": 1, "waiting_by_queue": {"q": #}}'),
        (OperationsRecord, '{"sent_ms_by_vm": {"m": #}}'),
        (ProgressRecord, '{"steps": {"0.0": {"failures": {"0": #}}}}'),
        (ProgressRecord, '{"steps": {"0.0": {"runs": {"0": [[#, "w"]]}}}}'),
        (SizesRecord, '{"vms_by_pool": {"p": #}}'),
        (UsageRecord, '{"at_ms": 1, "use_by_partner": {"p": [#, 1]}}'),
    ],
)
def test_number_out_of_bounds_is_a_typed_fault(
    record_type: type[Any], content: str, number: str
):
    """Guards against a record that is taken and raises OverflowError when it's used."""
    assert is_successful(decode_json(content.replace("#", "1").encode(), record_type))
    decoded = decode_json(content.replace("#", number).encode(), record_type)
    assert not is_successful(decoded)


@pytest.mark.parametrize(
    ("record_type", "content"),
    [
        (ControllerRecord, '{"entry_vm_id": "e", "incarnation": #}'),
        (
            Claim,
            '{"attempt_id": "a", "request_digest": "d", "entry_vm": "e",'
            ' "deadline_wall": 1, "incarnation": #}',
        ),
    ],
)
def test_each_incarnation_of_64_bits_is_read_back(record_type: type[Any], content: str):
    """Guards against a claim that its own entry VM can't read."""
    decoded = decode_json(content.replace("#", str(2**64 - 1)).encode(), record_type)
    assert decoded.unwrap().incarnation == 2**64 - 1
