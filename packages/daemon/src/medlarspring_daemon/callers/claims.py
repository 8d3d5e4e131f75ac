"""Claims idempotency keys before a run and records its outcome after it."""

from __future__ import annotations

import asyncio
import uuid
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from medlarspring_adapters.background_tasks import BackgroundTasks
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

FLEET_WRITES_PER_SECOND = 200.0
"""Store calls per second for claims under load, over all entry VMs."""
RECORD_TIMEOUT_SECONDS = 0.25
"""Longest time that a response waits for its record.

After that it is sent, and the record is written in the background.
"""
MIN_RETRY_DELAY_SECONDS = 0.1
MAX_RETRY_DELAY_SECONDS = 5.0
CLAIM_RETRY_DELAYS = (0.05, 0.2, 0.5, 0.5)
"""Delays in seconds after each write of one claim; after the last it is given up."""
MAX_PENDING_RECORDS = 2000
"""Records that may wait for the store; above this limit no key is claimed."""


@dataclass(slots=True, frozen=True)
class ClaimedRun:
    """A claim of this process, which entitles it to run the request once."""

    key: str
    claim: Claim
    revision: Revision


class ClaimManager:
    """Claims keys and records their outcomes; one instance per process."""

    def __init__(self, node: Node) -> None:
        self._node = node
        self._commits = GroupCommit(
            node.store, node.clock, node.log, self._choose_interval
        )
        self._digest_by_key: dict[str, str] = {}
        """Digest of the request by key, for the keys this process is handling."""
        self._lease_id: LeaseId | None = None
        self._lease_until = float("-inf")
        self._lease_lock = asyncio.Lock()
        self._records = BackgroundTasks(node.log)

    async def stop(self, timeout: Seconds) -> None:
        """Wait for the pending records up to ``timeout``, then cancel them."""
        await self._records.wait(timeout)
        await self._records.cancel()

    async def claim(
        self, request: CallerRequest
    ) -> Result[ClaimedRun | ClaimedAnswer, Refusal]:
        """Return the claimed run, the recorded answer, or a refusal."""
        assert request.key is not None
        key = claims.get_claim_key(request.partner_id, request.key)
        digest = claims.digest_request(request)
        if len(self._records) >= MAX_PENDING_RECORDS:
            return self._refuse(request, f"{len(self._records)} records are pending")
        running = self._digest_by_key.get(key)
        if running is not None:
            if running == digest:
                return Failure(claims.IN_PROGRESS)
            return Failure(claims.with_unknown_outcome(claims.KEY_CONFLICT))
        self._digest_by_key[key] = digest
        claimed = False
        try:
            answer = await self._claim(request, key, digest)
            claimed = is_successful(answer) and isinstance(answer.unwrap(), ClaimedRun)
            return answer
        finally:
            if not claimed:
                self._digest_by_key.pop(key, None)

    async def complete(
        self, claimed_run: ClaimedRun, answer: ClaimedAnswer | None
    ) -> None:
        """Record the end of the run; ``answer`` is None if its outcome is unknown."""
        state = ClaimState.UNKNOWN if answer is None else ClaimState.DONE
        await self._record(
            claimed_run, _create_final_claim(claimed_run.claim, state, answer)
        )

    async def abandon(self, claimed_run: ClaimedRun) -> None:
        """Record that the request did not run."""
        await self._record(
            claimed_run,
            _create_final_claim(claimed_run.claim, ClaimState.ABANDONED, None),
        )

    async def _claim(
        self, request: CallerRequest, key: str, digest: str
    ) -> Result[ClaimedRun | ClaimedAnswer, Refusal]:
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
        return await self._write_until_confirmed(request, key, claim, lease.unwrap())

    async def _write_until_confirmed(
        self, request: CallerRequest, key: str, claim: Claim, lease_id: LeaseId
    ) -> Result[ClaimedRun | ClaimedAnswer, Refusal]:
        """Write until the store confirms which claim the key has or retries run out.

        A write whose reply was lost is repeated with the same attempt id. It
        either succeeds or finds the claim of this process, so that a lost reply
        neither drops the run nor causes a second one.
        """
        expected = Revision(0)
        perhaps_written = False
        fault = ""
        for pause in CLAIM_RETRY_DELAYS:
            written = await self._write(key, claim, expected, lease_id)
            if is_successful(written):
                committed = written.unwrap()
                if committed.succeeded:
                    return Success(ClaimedRun(key, claim, committed.revision))
                found = committed.read_by_key.get(key)
                decision = (
                    None if found is None else self._decide_on_existing(found, claim)
                )
                if decision is not None:
                    return decision
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
            self._schedule_abandon(ClaimedRun(key, claim, expected))
        return self._refuse(request, fault, perhaps_written=perhaps_written)

    def _refuse(
        self, request: CallerRequest, fault: str, *, perhaps_written: bool = False
    ) -> Result[ClaimedRun | ClaimedAnswer, Refusal]:
        """Log why a key was not claimed, and return the refusal of its request."""
        waited = self._node.clock.now() - request.arrived_at
        self._node.log.warning(
            Event.CLAIM_UNANSWERED,
            request=request.id,
            partner=request.partner_id,
            fault=fault,
            waited_ms=round(waited * 1_000),
            perhaps_written=perhaps_written,
        )
        return Failure(_STORE_UNREACHABLE_REFUSAL)

    def _decide_on_existing(
        self, found: Entry, claim: Claim
    ) -> Result[ClaimedRun | ClaimedAnswer, Refusal] | None:
        """Return the result for an existing claim; None if it may be taken over."""
        existing = msgspec.json.decode(found.value, type=Claim)
        digest = claim.request_digest
        verdict = claims.evaluate_claim(existing, claim.attempt_id, digest)
        match verdict:
            case claims.ClaimDecision.OWN_CLAIM:
                return Success(ClaimedRun(found.key, claim, found.mod_revision))
            case claims.ClaimDecision.REPLAY:
                assert existing.answer is not None
                return Success(existing.answer)
            case claims.ClaimDecision.TAKE_OVER:
                return None
        wall = self._node.clock.wall()
        return Failure(claims.build_claim_refusal(existing, digest, wall))

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

    async def _record(self, claimed_run: ClaimedRun, final_claim: Claim) -> None:
        """Write the final claim, waiting ``RECORD_TIMEOUT_SECONDS`` at most."""
        record = self._start_record(self._write_end(claimed_run, final_claim))
        await asyncio.wait({record}, timeout=RECORD_TIMEOUT_SECONDS)

    def _schedule_abandon(self, claimed_run: ClaimedRun) -> None:
        """Abandon, in the background, a claim that may have reached the store."""
        digest = claimed_run.claim.request_digest
        final_claim = _create_final_claim(claimed_run.claim, ClaimState.ABANDONED, None)
        record = self._start_record(self._write_end(claimed_run, final_claim))
        # The key remains reserved by this process until the record is written.
        asyncio.get_running_loop().call_soon(
            self._digest_by_key.setdefault, claimed_run.key, digest
        )
        record.add_done_callback(
            lambda _: self._digest_by_key.pop(claimed_run.key, None)
        )

    def _start_record(self, record: Coroutine[None, None, bool]) -> asyncio.Task[bool]:
        return self._records.start_awaited(record)

    async def _write_end(self, claimed_run: ClaimedRun, final_claim: Claim) -> bool:
        """Retry until the store confirms; return whether the final claim is stored."""
        expected = claimed_run.revision
        pause = MIN_RETRY_DELAY_SECONDS
        lease_id = self._lease_id
        try:
            while True:
                written = await self._write(
                    claimed_run.key, final_claim, expected, lease_id
                )
                if not is_successful(written):
                    await asyncio.sleep(pause)
                    pause = min(2 * pause, MAX_RETRY_DELAY_SECONDS)
                    continue
                committed = written.unwrap()
                if committed.succeeded:
                    return True
                found = committed.read_by_key.get(claimed_run.key)
                if found is None:
                    return False
                existing = msgspec.json.decode(found.value, type=Claim)
                if existing.attempt_id != claimed_run.claim.attempt_id:
                    return False
                if existing.state is not ClaimState.CLAIMED:
                    return existing == final_claim
                expected = found.mod_revision
        finally:
            self._digest_by_key.pop(claimed_run.key, None)

    async def _get_lease(self) -> Result[LeaseId, StoreError]:
        """Return the lease of the current period; leases are never renewed."""
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
        """Return the call interval that keeps the fleet within its write budget."""
        vm_list = self._node.vm_list
        entry_vms = 1 if vm_list is None else max(1, len(vm_list.entry_vms_by_id))
        return entry_vms / FLEET_WRITES_PER_SECOND


def _create_final_claim(
    claim: Claim, state: ClaimState, answer: ClaimedAnswer | None
) -> Claim:
    return msgspec.structs.replace(claim, state=state, answer=answer)


_STORE_UNREACHABLE_REFUSAL = Refusal(
    RefusalKind.STORE_UNREACHABLE,
    Outcome.UNKNOWN,
    "The store does not answer, so it is not known whether the key has run; send it"
    " again with the same key.",
    retry_after=2.0,
)

__all__ = ["ClaimManager", "ClaimedRun"]
