"""Typed messages of the etcd v3 JSON gateway, as published.

64-bit integers are encoded as strings, keys and values as base64. The server omits
fields that are zero, so each has a default here.
"""

from __future__ import annotations

import base64
from typing import TYPE_CHECKING

from msgspec import Struct, field

from medlarspring_adapters.store import Delete, Entry, LeaseId, Put
from medlarspring_tables import Revision

if TYPE_CHECKING:
    from medlarspring_adapters.store import Expect, Transaction


class Header(Struct):
    """Header of every response."""

    revision: int = 0


class KeyValue(Struct):
    """One key in the gateway's format."""

    key: str
    value: str = ""
    create_revision: int = 0
    mod_revision: int = 0
    lease: int = 0


class RangeRequest(Struct, omit_defaults=True):
    """Read one key or a range."""

    key: str
    range_end: str = ""


class RangeResponse(Struct):
    """Answer to a read."""

    header: Header = field(default_factory=Header)
    kvs: list[KeyValue] = field(default_factory=list)


class PutRequest(Struct, omit_defaults=True):
    """Write one key."""

    key: str
    value: str
    lease: str = ""


class DeleteRequest(Struct):
    """Remove one key."""

    key: str


class Compare(Struct):
    """Condition on the last change of one key; revision 0 means absent."""

    key: str
    mod_revision: str
    target: str = "MOD"
    result: str = "EQUAL"


class RequestOp(Struct, omit_defaults=True):
    """One operation of a transaction; exactly one field is set."""

    request_put: PutRequest | None = None
    request_delete_range: DeleteRequest | None = None
    request_range: RangeRequest | None = None
    request_txn: TxnRequest | None = None


class TxnRequest(Struct):
    """Conditions, operations if all hold, and operations otherwise."""

    compare: list[Compare]
    success: list[RequestOp]
    failure: list[RequestOp]


class ResponseOp(Struct):
    """Response to one operation; both fields are None for writes."""

    response_range: RangeResponse | None = None
    response_txn: TxnResponse | None = None


class TxnResponse(Struct):
    """Answer to a transaction."""

    header: Header = field(default_factory=Header)
    succeeded: bool = False
    responses: list[ResponseOp] = field(default_factory=list)


class LeaseGrantRequest(Struct):
    """Create a lease; the gateway takes whole seconds."""

    TTL: str


class LeaseRequest(Struct):
    """Keep a lease alive or revoke it."""

    ID: str


class LeaseGrantResponse(Struct):
    """The new lease."""

    ID: int = 0
    TTL: int = 0


class LeaseKeepAliveResult(Struct):
    """Seconds left; 0 if the lease has expired."""

    ID: int = 0
    TTL: int = 0


class LeaseKeepAliveResponse(Struct):
    """A streamed response, which has its message under ``result``."""

    result: LeaseKeepAliveResult = field(default_factory=LeaseKeepAliveResult)


class WatchCreate(Struct):
    """What to watch, and from which revision."""

    key: str
    range_end: str
    start_revision: str
    progress_notify: bool = True


class WatchRequest(Struct):
    """Open a watch."""

    create_request: WatchCreate


class WatchEvent(Struct):
    """One change; the server omits the type for a put."""

    kv: KeyValue
    type: str = "PUT"


class WatchResult(Struct):
    """One message of a watch."""

    header: Header = field(default_factory=Header)
    created: bool = False
    canceled: bool = False
    compact_revision: int = 0
    events: list[WatchEvent] = field(default_factory=list)


class WatchResponse(Struct):
    """A streamed response, which has its message under ``result``."""

    result: WatchResult = field(default_factory=WatchResult)


class Fault(Struct):
    """Body of a refused call."""

    error: str = ""
    code: int = 0
    message: str = ""


def encode_text(text: str) -> str:
    """Return base64 of a key."""
    return base64.b64encode(text.encode()).decode()


def encode_bytes(value: bytes) -> str:
    """Return base64 of a value."""
    return base64.b64encode(value).decode()


def prefix_end(prefix: str) -> str:
    """Return the first key, in base64, that sorts after all keys of a prefix."""
    raw = bytearray(prefix.encode())
    raw[-1] += 1
    return encode_bytes(bytes(raw))


def to_entry(item: KeyValue) -> Entry:
    """Convert a key of the gateway to an ``Entry``."""
    return Entry(
        key=to_key(item),
        value=base64.b64decode(item.value),
        create_revision=Revision(item.create_revision),
        mod_revision=Revision(item.mod_revision),
        lease_id=LeaseId(item.lease) if item.lease else None,
    )


def to_key(item: KeyValue) -> str:
    """Return the key's text."""
    return base64.b64decode(item.key).decode()


def to_txn(transaction: Transaction) -> TxnRequest:
    """Convert a transaction to the gateway's request."""
    reads = [
        RequestOp(request_range=RangeRequest(key=encode_text(key)))
        for key in transaction.read_on_failure
    ]
    return TxnRequest(
        compare=[_to_compare(expect) for expect in transaction.expects],
        success=[_to_write(write) for write in transaction.writes],
        failure=reads,
    )


def _to_compare(expect: Expect) -> Compare:
    return Compare(key=encode_text(expect.key), mod_revision=str(expect.mod_revision))


def _to_write(write: Put | Delete) -> RequestOp:
    key = encode_text(write.key)
    if isinstance(write, Delete):
        return RequestOp(request_delete_range=DeleteRequest(key=key))
    lease = str(write.lease_id) if write.lease_id else ""
    value = encode_bytes(write.value)
    return RequestOp(request_put=PutRequest(key=key, value=value, lease=lease))


__all__ = [
    "Fault",
    "LeaseGrantRequest",
    "LeaseGrantResponse",
    "LeaseKeepAliveResponse",
    "LeaseRequest",
    "RangeRequest",
    "RangeResponse",
    "RequestOp",
    "TxnRequest",
    "TxnResponse",
    "WatchCreate",
    "WatchEvent",
    "WatchRequest",
    "WatchResponse",
    "WatchResult",
    "encode_bytes",
    "encode_text",
    "prefix_end",
    "to_entry",
    "to_key",
    "to_txn",
]
