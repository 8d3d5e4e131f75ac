"""Client of the platform's metadata store; implements the ``Store`` protocol."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, TypeVar
from urllib.parse import quote

import msgspec
from msgspec import Struct
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from medlarspring_adapters.decoding import decode_json
from medlarspring_adapters.events import Event
from medlarspring_adapters.http_channel import (
    AnswerTooLarge,
    BodyLimits,
    HttpChannel,
    NotSent,
    Unanswered,
)
from medlarspring_adapters.joined_commit import commit_joined, commit_singly
from medlarspring_adapters.metrics import Metric
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
)
from medlarspring_platform import wire
from medlarspring_platform.adaptive_timeout import AdaptiveTimeout
from medlarspring_platform.store_messages import (
    WireEvents,
    WireItem,
    WireItems,
    WireLease,
    WireTxnAnswer,
    to_batch,
    to_entry,
    to_txn,
)
from medlarspring_tables import Revision

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Sequence

    from medlarspring_adapters.clock import Clock
    from medlarspring_adapters.events import EventLog
    from medlarspring_adapters.http_channel import HttpAnswer
    from medlarspring_adapters.metrics import Metrics
    from medlarspring_adapters.store import CommitResult
    from medlarspring_tables import Seconds

MAX_ENTRIES = 32
"""Most conditions, writes and deletions that the store accepts in one transaction."""
WATCH_WAIT_SECONDS = 0.8
"""Longest time for which the store holds a watch call open without events.

A connection that no longer passes data is detected after this time, so that a new
configuration takes effect well within its 2 s. A longer wait would only save calls,
which cost a hundredth of a percent of a job's value.
"""
WATCH_SLACK_SECONDS = 0.4
WATCH_RETRY_SECONDS = 0.1
MAX_WATCH_RETRY_SECONDS = 0.2
"""With 0.4 s, and a wait in the first watch call that succeeded, most entry VMs refused
callers for 0.9 s more after an outage of 2.6 s."""
BODY_SILENCE_SECONDS = 0.4
"""A response fails if its body stops arriving for this long.

A configuration of 1,400 routes takes 0.6 s to arrive on a link of 5 Mbit/s, so that
the time of a whole response can't tell a narrow link from a connection that no longer
passes data.
"""
MAX_WATCH_BYTES = 524_288
"""Largest response of a watch call that is received; beyond it the prefix is listed.

A watch returns every version of a key, a listing only the newest. On a narrow link,
large versions that follow each other quickly would arrive long after they were written.
"""
HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_GONE = 410
HTTP_CONDITION_FAILED = 412
HTTP_INTERNAL_ERROR = 500
HTTP_UNAVAILABLE = 503


Message = TypeVar("Message", bound=Struct)


class PlatformStore:
    """Implements ``Store`` over the platform's HTTP interface."""

    def __init__(
        self, address: str, clock: Clock, metrics: Metrics, log: EventLog
    ) -> None:
        self._metrics = metrics
        self._log = log
        self._channel = HttpChannel(address)
        self._watches = HttpChannel(address)
        self._clock = clock
        self._adaptive_timeout = AdaptiveTimeout()
        self.failing_since: Seconds | None = None
        """Time of the first failed call since the last successful one."""
        self.answered_at: Seconds = 0.0

    async def close(self) -> None:
        """Close all connections."""
        await self._channel.close()
        await self._watches.close()

    async def read(self, key: str) -> Result[Entry | None, StoreError]:
        """Return the key's entry, or None if it is absent."""
        answer = await self._call("GET", f"{wire.KEY_PATH}?key={quote(key, safe='')}")
        if not is_successful(answer):
            return Failure(answer.failure())
        reply = answer.unwrap()
        if reply.status == HTTP_NOT_FOUND:
            return Success(None)
        item = self._decode(reply, WireItem)
        return item.map(to_entry)

    async def read_prefix(self, prefix: str) -> Result[Listing, StoreError]:
        """Return all entries under a prefix.

        Pages are not a snapshot; the listing's revision is that of the first
        page, so that a watch from there repeats what changed meanwhile.
        """
        entries: list[Entry] = []
        revision: int | None = None
        after = ""
        while True:
            path = f"{wire.RANGE_PATH}?prefix={quote(prefix, safe='')}"
            if after:
                path += f"&after={quote(after, safe='')}"
            answer = await self._call("GET", path)
            if not is_successful(answer):
                return Failure(answer.failure())
            decoded = self._decode(answer.unwrap(), WireItems)
            if not is_successful(decoded):
                return Failure(decoded.failure())
            page = decoded.unwrap()
            entries += [to_entry(item) for item in page.items]
            revision = page.as_of if revision is None else revision
            if not page.has_more or not page.items:
                return Success(Listing(tuple(entries), Revision(revision)))
            after = page.items[-1].key

    async def commit(self, transaction: Transaction) -> Result[Committed, StoreError]:
        """Apply one transaction."""
        body = msgspec.json.encode(to_txn(transaction))
        answer = await self._call("POST", wire.TXN_PATH, body)
        if not is_successful(answer):
            return Failure(answer.failure())
        reply = answer.unwrap()
        if reply.status == HTTP_NOT_FOUND:
            return Failure(LeaseGone("unknown to the store"))
        decoded = self._decode(reply, WireTxnAnswer, HTTP_CONDITION_FAILED)
        if not is_successful(decoded):
            return Failure(decoded.failure())
        content = decoded.unwrap()
        found = {item.key: to_entry(item) for item in content.items if item.revision}
        return Success(
            Committed(
                succeeded=reply.status == HTTP_OK,
                revision=Revision(content.revision or content.as_of),
                read_by_key=found,
            )
        )

    async def commit_each(
        self, transactions: Sequence[Transaction]
    ) -> list[CommitResult]:
        """Commit independent transactions in one call if possible, else in one each.

        After a call that fails, those left are not sent and reported as not applied.
        """
        joined = await commit_joined(self.commit, transactions, MAX_ENTRIES)
        if joined is not None:
            return joined
        self._metrics.count(Metric.STORE_GROUPS_SPLIT)
        results = await commit_singly(self.commit, transactions)
        if not all(map(is_successful, results)):
            self._log_interrupted_group(transactions, results)
        return results

    def _log_interrupted_group(
        self, transactions: Sequence[Transaction], results: Sequence[CommitResult]
    ) -> None:
        """Log which transactions of a group were answered, and why the others not."""
        self._metrics.count(Metric.STORE_GROUPS_INTERRUPTED)
        answered: list[str] = []
        fault_by_key: dict[str, str] = {}
        for transaction, result in zip(transactions, results, strict=True):
            key = transaction.writes[0].key if transaction.writes else ""
            if is_successful(result):
                answered.append(key)
            else:
                fault_by_key[key] = result.failure().message()
        self._log.warning(
            Event.STORE_GROUP_INTERRUPTED, answered=answered, fault_by_key=fault_by_key
        )

    async def grant_lease(self, ttl: float) -> Result[LeaseId, StoreError]:
        """Create a lease that lives ``ttl`` seconds unless kept alive."""
        body = msgspec.json.encode({"ttlMs": round(ttl * 1_000)})
        answer = await self._call("POST", wire.LEASE_PATH, body)
        if not is_successful(answer):
            return Failure(answer.failure())
        lease = self._decode(answer.unwrap(), WireLease)
        return lease.map(lambda granted: LeaseId(granted.lease))

    async def keep_lease(self, lease_id: LeaseId) -> Result[float, StoreError]:
        """Renew a lease; returns the seconds left, 0 if it has expired."""
        answer = await self._call("POST", f"{wire.KEEP_PATH}{lease_id}")
        if not is_successful(answer):
            return Failure(answer.failure())
        reply = answer.unwrap()
        if reply.status == HTTP_NOT_FOUND:
            return Success(0.0)
        return self._decode(reply, WireLease).map(lambda kept: kept.ttl_ms / 1_000.0)

    async def revoke_lease(self, lease_id: LeaseId) -> Result[None, StoreError]:
        """End a lease and delete the keys bound to it."""
        answer = await self._call("DELETE", f"{wire.LEASE_END_PATH}{lease_id}")
        return answer.map(lambda _: None)

    async def watch(self, prefix: str, start: Revision) -> AsyncIterator[WatchBatch]:
        """Yield changes from revision ``start`` on.

        Yields a batch for each answer, also for one without changes. Ends when the
        store no longer has the history, or when a listing of the prefix
        is likely to be smaller than the changes. Broken and unresponsive connections
        are replaced without ending the iteration.
        """
        after = start - 1
        failures = 0
        while True:
            # After a failure the watch call does not wait for events: its first
            # response shows that the store is back. Until then callers are refused, and
            # no tasks are started from a view that is not confirmed.
            is_well = self.failing_since is None and not failures
            wait = WATCH_WAIT_SECONDS if is_well else 0.0
            path = (
                f"{wire.WATCH_PATH}?prefix={quote(prefix, safe='')}&after={after}"
                f"&waitMs={round(wait * 1_000)}"
            )
            sent_at = self._clock.now()
            try:
                answer = await self._watch_once(path, wait + WATCH_SLACK_SECONDS)
            except AnswerTooLarge:
                return
            if not is_successful(answer):
                failures += 1
                pause = min(WATCH_RETRY_SECONDS * failures, MAX_WATCH_RETRY_SECONDS)
                await asyncio.sleep(pause)
                continue
            if answer.unwrap().status == HTTP_GONE:
                return
            decoded = self._decode(answer.unwrap(), WireEvents)
            if not is_successful(decoded):
                failures += 1
                await asyncio.sleep(MAX_WATCH_RETRY_SECONDS)
                continue
            failures = 0
            content = decoded.unwrap()
            # An answer from before the last one does not show what happened since.
            is_current = content.as_of >= after
            after = max(content.as_of, after)
            confirmed_at = self._find_confirmed_time(content, sent_at, wait)
            yield to_batch(content, confirmed_at if is_current else None)

    def _find_confirmed_time(
        self, content: WireEvents, sent_at: Seconds, wait: Seconds
    ) -> Seconds:
        """Return the local time up to which a watch's answer contains all changes.

        The store answers at the first event, so that an answer without any, given
        after the whole wait, covers that time.
        """
        waited = self._clock.now() - sent_at >= wait
        return sent_at + wait if waited and not content.events else sent_at

    async def _watch_once(
        self, path: str, timeout: Seconds
    ) -> Result[HttpAnswer, StoreError]:
        self._metrics.count(Metric.STORE_CALLS)
        limits = BodyLimits(BODY_SILENCE_SECONDS, MAX_WATCH_BYTES, self._record_data)
        try:
            reply = await self._watches.call("GET", path, timeout, body_limits=limits)
        except NotSent as error:
            return Failure(StoreUnavailable(str(error)))
        except Unanswered as error:
            return Failure(StoreOutcomeUnknown(str(error)))
        if reply.status in (HTTP_OK, HTTP_GONE):
            # Watch calls continue while no other calls are made, so their responses
            # show that the store is reachable again.
            self.failing_since = None
            return Success(reply)
        return Failure(StoreUnavailable(f"HTTP status {reply.status}"))

    async def _call(
        self, method: str, path: str, body: bytes | None = None
    ) -> Result[HttpAnswer, StoreError]:
        self._metrics.count(Metric.STORE_CALLS)
        sent_at = self._clock.now()
        try:
            reply = await self._channel.call(
                method,
                path,
                self._adaptive_timeout.timeout(),
                body,
                body_limits=BodyLimits(BODY_SILENCE_SECONDS, on_data=self._record_data),
            )
        except NotSent as error:
            return self._fail(StoreUnavailable(str(error)))
        except Unanswered as error:
            self._adaptive_timeout.record_timeout()
            return self._fail(StoreOutcomeUnknown(str(error)))
        known = (HTTP_OK, HTTP_NOT_FOUND, HTTP_CONDITION_FAILED)
        if reply.status not in known:
            return self._fail(_describe_refusal(reply.status))
        now = self._clock.now()
        self._metrics.timing(Metric.STORE_CALL_MS, (now - sent_at) * 1_000)
        self._adaptive_timeout.record_answer(now - sent_at, len(reply.body))
        self.answered_at = now
        self.failing_since = None
        return Success(reply)

    def _record_data(self) -> None:
        # Calls may time out behind a large response that takes up a narrow link. The
        # store is not lost meanwhile.
        self.failing_since = None

    def _fail(self, error: StoreError) -> Result[HttpAnswer, StoreError]:
        self._metrics.count(Metric.STORE_CALLS_FAILED)
        if self.failing_since is None:
            self.failing_since = self._clock.now()
        return Failure(error)

    def _decode(
        self, reply: HttpAnswer, message_type: type[Message], *also: int
    ) -> Result[Message, StoreError]:
        if reply.status != HTTP_OK and reply.status not in also:
            return Failure(StoreUnavailable(f"HTTP status {reply.status}"))
        return decode_json(reply.body, message_type).alt(
            lambda fault: StoreOutcomeUnknown(f"unreadable answer ({fault.detail})")
        )


def _describe_refusal(status: int) -> StoreError:
    """Return the error of a status that is no answer to the call.

    The store promises no effect for 503 only, and 4xx says that it rejected the call;
    any other status may come from a call that was carried out.
    """
    detail = f"HTTP status {status}"
    if status < HTTP_INTERNAL_ERROR or status == HTTP_UNAVAILABLE:
        return StoreUnavailable(detail)
    return StoreOutcomeUnknown(detail)


__all__ = ["MAX_ENTRIES", "PlatformStore"]
