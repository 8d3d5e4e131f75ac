"""Operations, replies and errors of the platform's key-value service."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_VALUE_BYTES = 1_048_576
MAX_TXN_OPS = 128


class KeyValueError(Exception):
    """The service refused the call; nothing was changed."""


class CompactedError(KeyValueError):
    """The requested revision is older than the retained history."""

    def __init__(self, compact_revision: int) -> None:
        super().__init__("etcdserver: mvcc: required revision has been compacted")
        self.compact_revision = compact_revision


class LeaseNotFoundError(KeyValueError):
    """The lease has expired or never existed."""

    def __init__(self) -> None:
        super().__init__("etcdserver: requested lease not found")


class CompareTarget(Enum):
    """The property of a key that a condition compares."""

    VERSION = "VERSION"
    CREATE = "CREATE"
    MOD = "MOD"
    VALUE = "VALUE"
    LEASE = "LEASE"


class CompareResult(Enum):
    """The comparison operator of a condition."""

    EQUAL = "EQUAL"
    GREATER = "GREATER"
    LESS = "LESS"
    NOT_EQUAL = "NOT_EQUAL"


@dataclass(frozen=True, slots=True)
class KeyValue:
    """The current value and revisions of one key."""

    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease: int = 0


@dataclass(frozen=True, slots=True)
class RangeOp:
    """Read one key, or all keys from ``key`` up to ``range_end``."""

    key: bytes
    range_end: bytes = b""
    limit: int = 0


@dataclass(frozen=True, slots=True)
class PutOp:
    """Write one key."""

    key: bytes
    value: bytes
    lease: int = 0


@dataclass(frozen=True, slots=True)
class DeleteOp:
    """Delete one key, or all keys from ``key`` up to ``range_end``."""

    key: bytes
    range_end: bytes = b""


@dataclass(frozen=True, slots=True)
class Compare:
    """A condition of a transaction."""

    key: bytes
    target: CompareTarget
    result: CompareResult
    wanted: int | bytes


@dataclass(frozen=True, slots=True)
class TxnOp:
    """Run ``success`` if all conditions hold, else ``failure``."""

    compares: tuple[Compare, ...] = ()
    success: tuple[Op, ...] = ()
    failure: tuple[Op, ...] = ()


Op = RangeOp | PutOp | DeleteOp | TxnOp


@dataclass(frozen=True, slots=True)
class RangeReply:
    """Result of a range read."""

    kvs: tuple[KeyValue, ...]
    count: int


@dataclass(frozen=True, slots=True)
class PutReply:
    """Result of a put."""


@dataclass(frozen=True, slots=True)
class DeleteReply:
    """Number of deleted keys."""

    deleted: int


@dataclass(frozen=True, slots=True)
class TxnReply:
    """Whether the conditions held, and the replies of the executed branch."""

    succeeded: bool
    replies: tuple[Reply, ...]


Reply = RangeReply | PutReply | DeleteReply | TxnReply


@dataclass(frozen=True, slots=True)
class Change:
    """Change of one key; for a deleted key only name and revision are kept."""

    kv: KeyValue
    deleted: bool = False


@dataclass(frozen=True, slots=True)
class Commit:
    """All changes of one revision."""

    revision: int
    changes: tuple[Change, ...]


def written_keys(ops: Iterable[Op]) -> set[bytes]:
    """Return the keys that a branch puts; two puts of one key are refused."""
    seen: set[bytes] = set()
    for op in ops:
        keys: set[bytes] = set()
        if isinstance(op, PutOp):
            keys = {op.key}
        if isinstance(op, TxnOp):
            keys = written_keys(op.success) | written_keys(op.failure)
        if keys & seen:
            raise KeyValueError("etcdserver: duplicate key given in txn request")
        seen |= keys
    return seen


def prefix_end(prefix: bytes) -> bytes:
    """Return the end of the range that holds every key under a prefix."""
    stripped = prefix.rstrip(b"\xff")
    if not stripped:
        return b"\0"
    return stripped[:-1] + bytes([stripped[-1] + 1])


__all__ = [
    "Change",
    "Commit",
    "CompactedError",
    "Compare",
    "CompareResult",
    "CompareTarget",
    "DeleteOp",
    "DeleteReply",
    "KeyValue",
    "KeyValueError",
    "LeaseNotFoundError",
    "MAX_TXN_OPS",
    "MAX_VALUE_BYTES",
    "Op",
    "PutOp",
    "PutReply",
    "RangeOp",
    "RangeReply",
    "Reply",
    "TxnOp",
    "TxnReply",
    "prefix_end",
    "written_keys",
]
