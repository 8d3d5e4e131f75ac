"""Claims of idempotency keys: taken before a run, completed after it."""

from __future__ import annotations

import asyncio
import uuid
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from medlarspring_adapters.events import Event
from medlarspring_adapters.group_commit import GroupCommit
from medlarspring_adapters.store import (
    Entry,
    Expect,
    LeaseId,
    Put,
    StoreOutcomeUnknown,
    Transaction,
)
from medlarspring_systems import claims
from medlarspring_tables import Revision
from medlarspring_tables.claims import Claim, ClaimedAnswer, ClaimState
from medlarspring_tables.requests import Outcome, Refusal, RefusalKind

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from medlarspring_adapters.store import Committed, StoreError
    from medlarspring_daemon.node import Node
    from medlarspring_tables import Seconds
    from medlarspring_tables.requests import CallerRequest

WRITES_PER_SECOND_OF_FLEET = 200.0
"""Calls that all entry VMs together spend on claims under load."""
RECORD_WAIT_SECONDS = 0.25
"""An answer waits so long for its record; then it goes out, and the record
follows in the background."""
FIRST_PAUSE_SECONDS = 0.1
MAX_PAUSE_SECONDS = 5.0
CLAIM_PAUSES = (0.05, 0.2, 0.5, 0.5)
"""Waits after the writes of one claim; after the last it is given up."""
MAX_OPEN_RECORDS = 2000
"""Records that wait for the store; beyond them no key is claimed."""


@dataclass(slots=True, frozen=True)
class Ticket:
    """The right to one run, held by this process."""

    key: str
    claim: Claim
    revision: Revision


class ClaimBook:
    """Claims and completes keys; one instance per process."""

    def __init__(self, node: Node) -> None:
        self._node = node
        self._commits = GroupCommit(node.store, node.clock, self._choose_interval)
        self._digest_by_key: dict[str, str] = {}
        """Keys that this process is at work on, to the request's digest."""
        self._lease_id: LeaseId | None = None
        self._lease_until = float("-inf")
        self._lease_lock = asyncio.Lock()
        self._records: set[asyncio.Task[bool]] = set()

    async def stop(self, timeout: Seconds) -> None:
        """Let records that are still being written finish."""
        if self._records:
            await asyncio.wait(self._records, timeout=timeout)
        for record in self._records:
            record.cancel()

    async def claim(
        self, request: CallerRequest
    ) -> Result[Ticket | ClaimedAnswer, Refusal]:
        """Return the right to run, or the recorded answer, or why neither."""
        assert request.key is not None
        key = claims.get_claim_key(request.partner_id, request.key)
        digest = claims.digest_request(request)
        if len(self._records) >= MAX_OPEN_RECORDS:
            return self._refuse(request, f"{len(self._records)} records wait for it")
        running = self._digest_by_key.get(key)
        if running is not None:
            if running == digest:
                return Failure(claims.IN_PROGRESS)
            return Failure(claims.with_unknown_outcome(claims.KEY_CONFLICT))
        self._digest_by_key[key] = digest
        claimed = False
        try:
            answer = await self._claim(request, key, digest)
            claimed = is_successful(answer) and isinstance(answer.unwrap(), Ticket)
            return answer
        finally:
            if not claimed:
                self._digest_by_key.pop(key, None)

    async def complete(self, ticket: Ticket, answer: ClaimedAnswer | None) -> None:
        """Record that the run ended; None if its outcome is not known."""
        state = ClaimState.UNKNOWN if answer is None else ClaimState.DONE
        await self._record(ticket, _end(ticket.claim, state, answer))

    async def abandon(self, ticket: Ticket) -> None:
        """Record that the request was certainly not run."""
        await self._record(ticket, _end(ticket.claim, ClaimState.ABANDONED, None))

    async def _claim(
        self, request: CallerRequest, key: str, digest: str
    ) -> Result[Ticket | ClaimedAnswer, Refusal]:
        lease = await self._get_lease()
        if not is_successful(lease):
            return self._refuse(request, lease.failure().message())
        clock = self._node.clock
        claim = Claim(
            attempt_id=uuid.uuid4().hex,
            request_digest=digest,
            entry_vm=self._node.id,
            incarnation=self._node.incarnation,
            deadline_wall=clock.wall() + request.deadline - clock.now(),
        )
        return await self._write_until_known(request, key, claim, lease.unwrap())

    async def _write_until_known(
        self, request: CallerRequest, key: str, claim: Claim, lease_id: LeaseId
    ) -> Result[Ticket | ClaimedAnswer, Refusal]:
        """Write the claim until the store says what stands under the key.

        A write whose reply was lost is written again under the same attempt
        id: it either succeeds or finds our own claim, so the lost reply
        neither loses nor doubles the run.
        """
        expected = Revision(0)
        perhaps_written = False
        fault = ""
        for pause in CLAIM_PAUSES:
            written = await self._write(key, claim, expected, lease_id)
            if is_successful(written):
                committed = written.unwrap()
                if committed.succeeded:
                    return Success(Ticket(key, claim, committed.revision))
                found = committed.read_by_key.get(key)
                judged = None if found is None else self._judge(found, claim)
                if judged is not None:
                    return judged
                expected = Revision(0) if found is None else found.mod_revision
                continue
            fault = written.failure().message()
            if isinstance(written.failure(), StoreOutcomeUnknown):
                perhaps_written = True
            elif not perhaps_written:
                break
            if self._node.clock.now() + pause >= request.deadline:
                break
            await asyncio.sleep(pause)
        if perhaps_written:
            self._abandon_later(Ticket(key, claim, expected))
        return self._refuse(request, fault, perhaps_written=perhaps_written)

    def _refuse(
        self, request: CallerRequest, fault: str, *, perhaps_written: bool = False
    ) -> Result[Ticket | ClaimedAnswer, Refusal]:
        """Log why a key is not claimed, and refuse its request."""
        waited = self._node.clock.now() - request.arrived_at
        self._node.log.warning(
            Event.CLAIM_UNANSWERED,
            request=request.id,
            partner=request.partner_id,
            fault=fault,
            waited_ms=round(waited * 1_000),
            perhaps_written=perhaps_written,
        )
        return Failure(_STORE_UNREACHABLE)

    def _judge(
        self, found: Entry, claim: Claim
    ) -> Result[Ticket | ClaimedAnswer, Refusal] | None:
        """Judge the claim that stands; None if it may be taken over."""
        standing = msgspec.json.decode(found.value, type=Claim)
        digest = claim.request_digest
        verdict = claims.evaluate_claim(standing, claim.attempt_id, digest)
        match verdict:
            case claims.ClaimDecision.OWN_CLAIM:
                return Success(Ticket(found.key, claim, found.mod_revision))
            case claims.ClaimDecision.REPLAY:
                assert standing.answer is not None
                return Success(standing.answer)
            case claims.ClaimDecision.TAKE_OVER:
                return None
        wall = self._node.clock.wall()
        return Failure(claims.build_claim_refusal(standing, digest, wall))

    async def _write(
        self, key: str, claim: Claim, expected: Revision, lease_id: LeaseId | None
    ) -> Result[Committed, StoreError]:
        return await self._commits.commit(
            Transaction(
                expects=(Expect(key, expected),),
                writes=(Put(key, msgspec.json.encode(claim), lease_id),),
                read_on_failure=(key,),
            )
        )

    async def _record(self, ticket: Ticket, ended: Claim) -> None:
        """Write the end of a claim, waiting for it only a short while."""
        record = self._start(self._write_end(ticket, ended))
        await asyncio.wait({record}, timeout=RECORD_WAIT_SECONDS)

    def _abandon_later(self, ticket: Ticket) -> None:
        """Give back a claim that may or may not have reached the store."""
        digest = ticket.claim.request_digest
        ended = _end(ticket.claim, ClaimState.ABANDONED, None)
        record = self._start(self._write_end(ticket, ended))
        # The key stays this process's until the record is written.
        asyncio.get_running_loop().call_soon(
            self._digest_by_key.setdefault, ticket.key, digest
        )
        record.add_done_callback(lambda _: self._digest_by_key.pop(ticket.key, None))

    def _start(self, record: Coroutine[None, None, bool]) -> asyncio.Task[bool]:
        task = asyncio.create_task(record)
        self._records.add(task)
        task.add_done_callback(self._records.discard)
        return task

    async def _write_end(self, ticket: Ticket, ended: Claim) -> bool:
        """Repeat until the store says what stands; True if the end does."""
        expected = ticket.revision
        pause = FIRST_PAUSE_SECONDS
        lease_id = self._lease_id
        try:
            while True:
                written = await self._write(ticket.key, ended, expected, lease_id)
                if not is_successful(written):
                    await asyncio.sleep(pause)
                    pause = min(2 * pause, MAX_PAUSE_SECONDS)
                    continue
                committed = written.unwrap()
                if committed.succeeded:
                    return True
                found = committed.read_by_key.get(ticket.key)
                if found is None:
                    return False
                standing = msgspec.json.decode(found.value, type=Claim)
                if standing.attempt_id != ticket.claim.attempt_id:
                    return False
                if standing.state is not ClaimState.CLAIMED:
                    return standing == ended
                expected = found.mod_revision
        finally:
            self._digest_by_key.pop(ticket.key, None)

    async def _get_lease(self) -> Result[LeaseId, StoreError]:
        """Return the lease of this period; it is never renewed."""
        async with self._lease_lock:
            now = self._node.clock.now()
            if self._lease_id is not None and now < self._lease_until:
                return Success(self._lease_id)
            granted = await self._node.store.grant_lease(claims.LEASE_SECONDS)
            if is_successful(granted):
                self._lease_id = granted.unwrap()
                self._lease_until = now + claims.LEASE_PERIOD_SECONDS
            return granted

    def _choose_interval(self) -> Seconds:
        """Return the time between calls that keeps the fleet in its budget."""
        vm_list = self._node.vm_list
        entry_vms = 1 if vm_list is None else max(1, len(vm_list.entry_vms_by_id))
        return entry_vms / WRITES_PER_SECOND_OF_FLEET


def _end(claim: Claim, state: ClaimState, answer: ClaimedAnswer | None) -> Claim:
    return msgspec.structs.replace(claim, state=state, answer=answer)


_STORE_UNREACHABLE = Refusal(
    RefusalKind.STORE_UNREACHABLE,
    Outcome.UNKNOWN,
    "The store does not answer, so it is not known whether the key has run; send it"
    " again with the same key.",
    retry_after=2.0,
)

__all__ = ["ClaimBook", "Ticket"]
