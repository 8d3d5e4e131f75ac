"""Client of the platform's key-value service over the etcd v3 JSON gateway."""

from __future__ import annotations

import contextlib
import math
from typing import TYPE_CHECKING

import aiohttp
from returns.result import Failure, Result, Success

from medlarspring_adapters.etcd_messages import (
    LeaseGrantRequest,
    LeaseGrantResponse,
    LeaseKeepAliveResponse,
    LeaseRequest,
    RangeRequest,
    RangeResponse,
    RequestOp,
    TxnRequest,
    TxnResponse,
    WatchCreate,
    WatchRequest,
    WatchResponse,
    WatchResult,
    encode_text,
    prefix_end,
    to_entry,
    to_key,
    to_txn,
)
from medlarspring_adapters.etcd_transport import (
    EtcdTransport,
    Message,
    NotSent,
    Unanswered,
)
from medlarspring_adapters.store import (
    Committed,
    Entry,
    LeaseGone,
    LeaseId,
    Listing,
    StoreError,
    StoreOutcomeUnknown,
    StoreUnavailable,
    Transaction,
    WatchBatch,
    spread_result,
)
from medlarspring_tables import Revision

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, Sequence

    import msgspec

    from medlarspring_adapters.store import CommitResult

MAX_TRANSACTIONS_PER_CALL = 64
WATCH_SILENCE_SECONDS = 5.0


class EtcdGatewayStore:
    """Implements ``Store``; starts at the last working endpoint, then tries others."""

    def __init__(
        self,
        endpoints: Sequence[str],
        timeout_seconds: float,
        watch_silence_seconds: float = WATCH_SILENCE_SECONDS,
    ) -> None:
        self._transport = EtcdTransport(
            endpoints, timeout_seconds, watch_silence_seconds
        )

    async def read(self, key: str) -> Result[Entry | None, StoreError]:
        """Return the key's entry, or None if it is absent."""
        request = RangeRequest(key=encode_text(key))
        answer = await self._read("kv/range", request, RangeResponse)
        return answer.map(lambda found: to_entry(found.kvs[0]) if found.kvs else None)

    async def read_prefix(self, prefix: str) -> Result[Listing, StoreError]:
        """Return all entries under a prefix."""
        request = RangeRequest(key=encode_text(prefix), range_end=prefix_end(prefix))
        answer = await self._read("kv/range", request, RangeResponse)
        return answer.map(_to_listing)

    async def commit(self, transaction: Transaction) -> Result[Committed, StoreError]:
        """Apply one transaction."""
        answer = await self._write("kv/txn", to_txn(transaction), TxnResponse)
        return answer.map(lambda txn: _to_committed(txn, txn.header.revision))

    async def commit_each(
        self, transactions: Sequence[Transaction]
    ) -> list[CommitResult]:
        """Commit many independent transactions in one counted call.

        The call is atomic: if it fails, each transaction gets its failure.
        """
        result = await self._commit_nested(transactions)
        return spread_result(result, len(transactions))

    async def _commit_nested(
        self, transactions: Sequence[Transaction]
    ) -> Result[list[Committed], StoreError]:
        if len(transactions) > MAX_TRANSACTIONS_PER_CALL:
            detail = f"{len(transactions)} transactions, {MAX_TRANSACTIONS_PER_CALL}"
            return Failure(StoreUnavailable(f"{detail} are allowed in one call"))
        nested = [RequestOp(request_txn=to_txn(each)) for each in transactions]
        request = TxnRequest(compare=[], success=nested, failure=[])
        answer = await self._write("kv/txn", request, TxnResponse)
        return answer.bind(lambda txn: _to_committed_each(txn, len(transactions)))

    async def grant_lease(self, ttl: float) -> Result[LeaseId, StoreError]:
        """Create a lease that lives ``ttl`` seconds unless kept alive."""
        request = LeaseGrantRequest(TTL=str(math.ceil(ttl)))
        answer = await self._write("lease/grant", request, LeaseGrantResponse)
        return answer.map(lambda granted: LeaseId(granted.ID))

    async def keep_lease(self, lease_id: LeaseId) -> Result[float, StoreError]:
        """Renew a lease; returns the seconds left, 0 if it has expired."""
        request = LeaseRequest(ID=str(lease_id))
        answer = await self._write("lease/keepalive", request, LeaseKeepAliveResponse)
        return answer.map(lambda kept: float(kept.result.TTL))

    async def revoke_lease(self, lease_id: LeaseId) -> Result[None, StoreError]:
        """End a lease and delete the keys bound to it."""
        request = LeaseRequest(ID=str(lease_id))
        answer = await self._write("lease/revoke", request, RangeResponse)
        if isinstance(answer, Failure) and isinstance(answer.failure(), LeaseGone):
            return Success(None)
        return answer.map(lambda _: None)

    async def watch(
        self, prefix: str, start: Revision
    ) -> AsyncGenerator[WatchBatch, None]:
        """Yield changes from revision ``start`` on.

        A batch without changes reports the store's current revision. A stream that
        receives nothing for too long is reopened at the next revision. The iterator
        ends when that fails, when the revision was compacted, and when the store's
        revision is below ``start``.
        """
        next_revision = start
        while True:
            timed_out = False
            try:
                stream = self._stream(prefix, next_revision)
                async with contextlib.aclosing(stream) as results:
                    async for result in results:
                        if result.canceled or result.compact_revision:
                            return
                        yield _to_batch(result)
                        if result.header.revision + 1 < next_revision:
                            return
                        next_revision = _find_next_revision(result, next_revision)
            except TimeoutError:
                timed_out = True
            except (aiohttp.ClientError, OSError, ValueError):
                self._transport.rotate()
                return
            # A watch whose connection is dead looks like a table without edits. If
            # the store is up, the new connection responds at once, and no change
            # is lost because the new watch starts at the next revision.
            self._transport.rotate()
            if not timed_out:
                return

    async def close(self) -> None:
        """Close all connections."""
        await self._transport.close()

    async def _stream(
        self, prefix: str, start: Revision
    ) -> AsyncGenerator[WatchResult, None]:
        create = WatchCreate(
            key=encode_text(prefix),
            range_end=prefix_end(prefix),
            start_revision=str(start),
        )
        request = WatchRequest(create_request=create)
        answers = self._transport.stream("watch", request, WatchResponse)
        async with contextlib.aclosing(answers):
            async for answer in answers:
                yield answer.result

    async def _read(
        self, path: str, request: msgspec.Struct, answer_type: type[Message]
    ) -> Result[Message, StoreError]:
        """Try each endpoint once; reads have no side effects and may be repeated."""
        detail = ""
        for _ in self._transport.endpoints:
            try:
                return Success(await self._transport.post(path, request, answer_type))
            except (NotSent, Unanswered) as error:
                detail = str(error)
                self._transport.rotate()
        return Failure(StoreUnavailable(detail))

    async def _write(
        self, path: str, request: msgspec.Struct, answer_type: type[Message]
    ) -> Result[Message, StoreError]:
        """Try the next endpoint only if no endpoint can have received the request.

        A write whose answer was lost may have taken effect. A repeat would then fail
        its own condition and report a conflict for a write that was accepted, so
        ``StoreOutcomeUnknown`` is returned instead.
        """
        detail = ""
        for _ in self._transport.endpoints:
            try:
                return Success(await self._transport.post(path, request, answer_type))
            except NotSent as error:
                detail = str(error)
                if error.lease_gone:
                    return Failure(LeaseGone(detail))
                self._transport.rotate()
            except Unanswered as error:
                self._transport.rotate()
                return Failure(StoreOutcomeUnknown(str(error)))
        return Failure(StoreUnavailable(detail))


def _to_listing(found: RangeResponse) -> Listing:
    entries = tuple(to_entry(item) for item in found.kvs)
    return Listing(entries=entries, revision=Revision(found.header.revision))


def _to_committed(txn: TxnResponse, revision: int) -> Committed:
    read_by_key: dict[str, Entry] = {}
    for response in txn.responses:
        found = response.response_range
        for item in found.kvs if found else ():
            entry = to_entry(item)
            read_by_key[entry.key] = entry
    return Committed(
        succeeded=txn.succeeded,
        revision=Revision(txn.header.revision or revision),
        read_by_key=read_by_key,
    )


def _to_committed_each(
    txn: TxnResponse, expected_count: int
) -> Result[list[Committed], StoreError]:
    nested = [each.response_txn for each in txn.responses if each.response_txn]
    if len(nested) != expected_count:
        return Failure(StoreOutcomeUnknown("an answer to some transactions is missing"))
    return Success([_to_committed(each, txn.header.revision) for each in nested])


def _to_batch(result: WatchResult) -> WatchBatch:
    changed = [to_entry(each.kv) for each in result.events if each.type == "PUT"]
    deleted = [to_key(each.kv) for each in result.events if each.type == "DELETE"]
    return WatchBatch(
        revision=Revision(result.header.revision),
        changed=tuple(changed),
        deleted=tuple(deleted),
    )


def _find_next_revision(result: WatchResult, next_revision: Revision) -> Revision:
    """Return the revision from which a new watch would miss no change.

    The first message carries the store's current revision before the changes up to
    it have been sent, so it must not advance the result.
    """
    if result.created:
        return next_revision
    if not result.events:
        return Revision(max(next_revision, result.header.revision + 1))
    return Revision(max(each.kv.mod_revision for each in result.events) + 1)


def create_etcd_gateway_store(
    endpoints: Sequence[str], timeout_seconds: float
) -> EtcdGatewayStore:
    """Return a client; it connects at its first call."""
    return EtcdGatewayStore(endpoints, timeout_seconds)


__all__ = ["EtcdGatewayStore", "create_etcd_gateway_store"]
