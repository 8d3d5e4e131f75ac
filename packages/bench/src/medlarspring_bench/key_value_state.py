"""State machine of the platform's key-value service; no input or output.

It follows the published semantics of etcd v3: one revision for each change, a
transaction is one change, leases delete the keys bound to them when they lapse.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from medlarspring_bench.key_value_ops import (
    MAX_TXN_OPS,
    MAX_VALUE_BYTES,
    Change,
    Commit,
    CompactedError,
    Compare,
    CompareResult,
    CompareTarget,
    DeleteOp,
    DeleteReply,
    KeyValue,
    KeyValueError,
    LeaseNotFoundError,
    Op,
    PutOp,
    PutReply,
    RangeOp,
    RangeReply,
    Reply,
    TxnOp,
    TxnReply,
    written_keys,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from medlarspring_adapters.clock import Clock

HISTORY_REVISIONS = 20_000
FIRST_LEASE_ID = 7_000_000_001


@dataclass(slots=True)
class Lease:
    """A lease and the keys bound to it."""

    id: int
    ttl: float
    expires_at: float
    keys: set[bytes] = field(default_factory=set)


class KeyValueState:
    """State of the service: keys, leases and the history of changes."""

    def __init__(self, clock: Clock, history: int = HISTORY_REVISIONS) -> None:
        self.revision = 1
        self.compact_revision = 0
        self.leases_by_id: dict[int, Lease] = {}
        self.listeners: list[Callable[[Commit], None]] = []
        self.clock = clock
        self._kvs_by_key: dict[bytes, KeyValue] = {}
        self._sorted_keys: list[bytes] = []
        self._history: deque[Commit] = deque()
        self._max_history = history
        self._next_lease_id = FIRST_LEASE_ID
        self._pending: list[Change] = []

    def apply(self, op: Op) -> Reply:
        """Run one operation as a single change."""
        self.expire_leases()
        self._check(op)
        branches = self._choose_branches(op)
        reply = self._run(op, branches)
        self._commit()
        return reply

    def commits_since(self, revision: int) -> list[Commit]:
        """Return the commits from ``revision`` on, oldest first."""
        self.expire_leases()
        if revision <= self.compact_revision:
            raise CompactedError(self.compact_revision)
        return [commit for commit in self._history if commit.revision >= revision]

    def compact(self, revision: int) -> None:
        """Discard the history up to and including ``revision``."""
        self.compact_revision = max(self.compact_revision, revision)
        while self._history and self._history[0].revision <= revision:
            self._history.popleft()

    def grant(self, ttl: float, lease_id: int = 0) -> Lease:
        """Create a lease; with id 0 the service chooses the id."""
        self.expire_leases()
        if lease_id in self.leases_by_id:
            raise KeyValueError("etcdserver: lease already exists")
        if not lease_id:
            lease_id = self._next_lease_id
            self._next_lease_id += 1
        lease = Lease(lease_id, ttl, self.clock.now() + ttl)
        self.leases_by_id[lease_id] = lease
        return lease

    def keep_alive(self, lease_id: int) -> float:
        """Renew a lease; returns its lifetime, 0 when it has lapsed."""
        self.expire_leases()
        lease = self.leases_by_id.get(lease_id)
        if lease is None:
            return 0.0
        lease.expires_at = self.clock.now() + lease.ttl
        return lease.ttl

    def seconds_left(self, lease_id: int) -> float:
        """Return the lifetime left, -1 when the lease has lapsed."""
        self.expire_leases()
        lease = self.leases_by_id.get(lease_id)
        if lease is None:
            return -1.0
        return lease.expires_at - self.clock.now()

    def revoke(self, lease_id: int) -> None:
        """End a lease and delete its keys."""
        self.expire_leases()
        if lease_id not in self.leases_by_id:
            raise LeaseNotFoundError
        self._end_lease(lease_id)

    def expire_leases(self) -> None:
        """End every lease whose time has passed."""
        now = self.clock.now()
        lapsed = [
            lease.id for lease in self.leases_by_id.values() if lease.expires_at <= now
        ]
        for lease_id in lapsed:
            self._end_lease(lease_id)

    def _end_lease(self, lease_id: int) -> None:
        lease = self.leases_by_id.pop(lease_id)
        for key in sorted(lease.keys):
            self._delete_key(key)
        self._commit()

    def _commit(self) -> None:
        if not self._pending:
            return
        self.revision += 1
        commit = Commit(self.revision, tuple(self._pending))
        self._pending.clear()
        self._history.append(commit)
        if len(self._history) > self._max_history:
            self.compact(self._history[0].revision)
        for listener in list(self.listeners):
            listener(commit)

    def _check(self, op: Op) -> None:
        if isinstance(op, PutOp):
            self._check_put(op)
        if isinstance(op, TxnOp):
            self._check_txn(op)

    def _check_put(self, op: PutOp) -> None:
        if not op.key:
            raise KeyValueError("etcdserver: key is not provided")
        if len(op.value) > MAX_VALUE_BYTES:
            raise KeyValueError("etcdserver: request is too large")
        if op.lease and op.lease not in self.leases_by_id:
            raise LeaseNotFoundError

    def _check_txn(self, op: TxnOp) -> None:
        if max(len(op.compares), len(op.success), len(op.failure)) > MAX_TXN_OPS:
            raise KeyValueError("etcdserver: too many operations in txn request")
        for branch in (op.success, op.failure):
            written_keys(branch)
            for inner in branch:
                self._check(inner)

    def _choose_branches(self, op: Op) -> dict[int, bool]:
        """Evaluate all nested conditions before anything is written."""
        if not isinstance(op, TxnOp):
            return {}
        succeeded = all(self._holds(compare) for compare in op.compares)
        branches = {id(op): succeeded}
        for inner in op.success if succeeded else op.failure:
            branches |= self._choose_branches(inner)
        return branches

    def _holds(self, compare: Compare) -> bool:
        found = self._compared(compare)
        if found is None:
            return False
        # Both sides have the type that the target prescribes.
        if compare.result is CompareResult.EQUAL:
            return found == compare.wanted
        if compare.result is CompareResult.NOT_EQUAL:
            return found != compare.wanted
        if compare.result is CompareResult.GREATER:
            return found > compare.wanted  # type: ignore[operator]
        return found < compare.wanted  # type: ignore[operator]

    def _compared(self, compare: Compare) -> int | bytes | None:
        kv = self._kvs_by_key.get(compare.key)
        if compare.target is CompareTarget.VALUE:
            return None if kv is None else kv.value
        if kv is None:
            return 0
        if compare.target is CompareTarget.MOD:
            return kv.mod_revision
        if compare.target is CompareTarget.CREATE:
            return kv.create_revision
        if compare.target is CompareTarget.VERSION:
            return kv.version
        return kv.lease

    def _run(self, op: Op, branches: dict[int, bool]) -> Reply:
        if isinstance(op, RangeOp):
            return self._range(op)
        if isinstance(op, PutOp):
            return self._put(op)
        if isinstance(op, DeleteOp):
            return self._delete(op)
        succeeded = branches[id(op)]
        chosen = op.success if succeeded else op.failure
        return TxnReply(
            succeeded, tuple(self._run(inner, branches) for inner in chosen)
        )

    def _range(self, op: RangeOp) -> RangeReply:
        keys = self._keys_between(op.key, op.range_end)
        chosen = keys[: op.limit] if op.limit else keys
        kvs = tuple(self._kvs_by_key[key] for key in chosen)
        return RangeReply(kvs, len(keys))

    def _put(self, op: PutOp) -> PutReply:
        revision = self.revision + 1
        old = self._kvs_by_key.get(op.key)
        if old is None:
            insort(self._sorted_keys, op.key)
        else:
            self._unbind(old)
        kv = KeyValue(
            key=op.key,
            value=op.value,
            create_revision=old.create_revision if old else revision,
            mod_revision=revision,
            version=old.version + 1 if old else 1,
            lease=op.lease,
        )
        self._kvs_by_key[op.key] = kv
        if op.lease:
            self.leases_by_id[op.lease].keys.add(op.key)
        self._pending.append(Change(kv))
        return PutReply()

    def _delete(self, op: DeleteOp) -> DeleteReply:
        keys = self._keys_between(op.key, op.range_end)
        for key in keys:
            self._delete_key(key)
        return DeleteReply(len(keys))

    def _delete_key(self, key: bytes) -> None:
        kv = self._kvs_by_key.pop(key)
        del self._sorted_keys[bisect_left(self._sorted_keys, key)]
        self._unbind(kv)
        gone = KeyValue(key, b"", 0, self.revision + 1, 0)
        self._pending.append(Change(gone, deleted=True))

    def _unbind(self, kv: KeyValue) -> None:
        lease = self.leases_by_id.get(kv.lease)
        if lease is not None:
            lease.keys.discard(kv.key)

    def _keys_between(self, key: bytes, range_end: bytes) -> list[bytes]:
        if not range_end:
            return [key] if key in self._kvs_by_key else []
        first = bisect_left(self._sorted_keys, key)
        if range_end == b"\0":
            return self._sorted_keys[first:]
        return self._sorted_keys[first : bisect_left(self._sorted_keys, range_end)]


__all__ = ["KeyValueState", "Lease"]
