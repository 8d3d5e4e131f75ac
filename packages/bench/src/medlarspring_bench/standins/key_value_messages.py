"""Messages of the etcd v3 JSON gateway and their conversion."""

from __future__ import annotations

import re
from typing import Any

import msgspec
from msgspec import Struct, field

from medlarspring_bench.key_value_ops import (
    Change,
    Compare,
    CompareResult,
    CompareTarget,
    DeleteOp,
    DeleteReply,
    KeyValue,
    Op,
    PutOp,
    PutReply,
    RangeOp,
    RangeReply,
    Reply,
    TxnOp,
)

JsonObject = dict[str, Any]
"""A JSON object as it is before encoding or after decoding."""

ZERO_IS_ABSENT = ("count", "deleted", "lease")


class RangeRequest(Struct):
    """Body of ``/v3/kv/range`` and of ``request_range``."""

    key: bytes
    range_end: bytes = b""
    limit: int = 0

    def to_op(self) -> RangeOp:
        """Return the operation."""
        return RangeOp(self.key, self.range_end, self.limit)


class PutRequest(Struct):
    """Body of ``/v3/kv/put`` and of ``request_put``."""

    key: bytes
    value: bytes = b""
    lease: int = 0

    def to_op(self) -> PutOp:
        """Return the operation."""
        return PutOp(self.key, self.value, self.lease)


class DeleteRangeRequest(Struct):
    """Body of ``/v3/kv/deleterange`` and of ``request_delete_range``."""

    key: bytes
    range_end: bytes = b""

    def to_op(self) -> DeleteOp:
        """Return the operation."""
        return DeleteOp(self.key, self.range_end)


class CompareMessage(Struct):
    """A condition of a transaction."""

    key: bytes
    target: CompareTarget = CompareTarget.VERSION
    result: CompareResult = CompareResult.EQUAL
    version: int = 0
    create_revision: int = 0
    mod_revision: int = 0
    value: bytes = b""
    lease: int = 0

    def to_compare(self) -> Compare:
        """Return the condition with the operand that its target names."""
        operands: dict[CompareTarget, int | bytes] = {
            CompareTarget.VERSION: self.version,
            CompareTarget.CREATE: self.create_revision,
            CompareTarget.MOD: self.mod_revision,
            CompareTarget.VALUE: self.value,
            CompareTarget.LEASE: self.lease,
        }
        return Compare(self.key, self.target, self.result, operands[self.target])


class RequestOp(Struct):
    """One operation of a transaction; exactly one key is set."""

    request_range: RangeRequest | None = None
    request_put: PutRequest | None = None
    request_delete_range: DeleteRangeRequest | None = None
    request_txn: TxnRequest | None = None

    def to_op(self) -> Op:
        """Return the operation that is set."""
        request = (
            self.request_range
            or self.request_put
            or self.request_delete_range
            or self.request_txn
        )
        if request is None:
            raise msgspec.ValidationError("a request of the transaction is empty")
        return request.to_op()


class TxnRequest(Struct):
    """Body of ``/v3/kv/txn`` and of ``request_txn``."""

    compare: list[CompareMessage] = field(default_factory=list)
    success: list[RequestOp] = field(default_factory=list)
    failure: list[RequestOp] = field(default_factory=list)

    def to_op(self) -> TxnOp:
        """Return the operation."""
        return TxnOp(
            tuple(compare.to_compare() for compare in self.compare),
            tuple(request.to_op() for request in self.success),
            tuple(request.to_op() for request in self.failure),
        )


class CompactionRequest(Struct):
    """Body of ``/v3/kv/compaction``."""

    revision: int


class LeaseGrantRequest(Struct, rename={"ttl": "TTL", "id": "ID"}):
    """Body of ``/v3/lease/grant``."""

    ttl: int
    id: int = 0


class LeaseRequest(Struct, rename={"id": "ID"}):
    """Body of the calls that renew, revoke or query a lease."""

    id: int


class WatchCreateRequest(Struct):
    """Key range and first revision of a watch."""

    key: bytes
    range_end: bytes = b""
    start_revision: int = 0
    progress_notify: bool = False


class WatchRequest(Struct):
    """Body of ``/v3/watch``."""

    create_request: WatchCreateRequest


def decode(body: bytes, type_: type[Any]) -> Any:
    """Decode a body; accepts camel-case names and integers as strings too."""
    document = _snake_case(msgspec.json.decode(body))
    return msgspec.convert(document, type_, strict=False)


def _snake_case(value: Any) -> Any:
    if isinstance(value, list):
        return [_snake_case(item) for item in value]
    if not isinstance(value, dict):
        return value
    return {
        re.sub(r"(?<=[a-z])([A-Z])", lambda m: "_" + m[1].lower(), key): _snake_case(
            item
        )
        for key, item in value.items()
    }


def header(revision: int) -> JsonObject:
    """Return the header that every response has."""
    return {
        "cluster_id": "14841639068965178418",
        "member_id": "10276657743932975437",
        "revision": str(revision),
        "raft_term": "2",
    }


def kv_message(kv: KeyValue) -> JsonObject:
    """Return a key in the gateway's format, which omits zeros."""
    message: JsonObject = {"key": kv.key}
    for name in ("create_revision", "mod_revision", "version", "lease"):
        number = getattr(kv, name)
        if number:
            message[name] = str(number)
    if kv.value:
        message["value"] = kv.value
    return message


def event_message(change: Change) -> JsonObject:
    """Return one event of a watch; the gateway omits the type of a put."""
    message: JsonObject = {"kv": kv_message(change.kv)}
    if change.deleted:
        message["type"] = "DELETE"
    return message


def reply_message(reply: Reply, revision: int) -> JsonObject:
    """Return the response to one operation."""
    message: JsonObject = {"header": header(revision)}
    if isinstance(reply, RangeReply):
        if reply.kvs:
            message["kvs"] = [kv_message(kv) for kv in reply.kvs]
        if reply.count > len(reply.kvs):
            message["more"] = True
        if reply.count:
            message["count"] = str(reply.count)
    elif isinstance(reply, DeleteReply):
        if reply.deleted:
            message["deleted"] = str(reply.deleted)
    elif not isinstance(reply, PutReply):
        if reply.succeeded:
            message["succeeded"] = True
        message["responses"] = [_inner(inner, revision) for inner in reply.replies]
    return message


def _inner(reply: Reply, revision: int) -> JsonObject:
    return {_response_name(reply): reply_message(reply, revision)}


def _response_name(reply: Reply) -> str:
    if isinstance(reply, RangeReply):
        return "response_range"
    if isinstance(reply, PutReply):
        return "response_put"
    if isinstance(reply, DeleteReply):
        return "response_delete_range"
    return "response_txn"


__all__ = [
    "CompactionRequest",
    "DeleteRangeRequest",
    "JsonObject",
    "LeaseGrantRequest",
    "LeaseRequest",
    "PutRequest",
    "RangeRequest",
    "TxnRequest",
    "WatchCreateRequest",
    "WatchRequest",
    "decode",
    "event_message",
    "header",
    "kv_message",
    "reply_message",
]
