"""Acquires and keeps the control work of pools under one store lease."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec
from msgspec import Struct
from returns.result import Success

from medlarspring_adapters.background_tasks import BackgroundTasks
from medlarspring_adapters.events import Event
from medlarspring_adapters.store import (
    Committed,
    Delete,
    Expect,
    LeaseId,
    Put,
    Transaction,
)
from medlarspring_systems.backoff import choose_retry_delay
from medlarspring_systems.holders import (
    LEASE_SECONDS,
    RENEW_SECONDS,
    HeldPool,
    Holdings,
    find_fencing_revision,
    list_held_pools,
    plan_holders,
    record_lapse,
    record_lease,
)
from medlarspring_tables import PoolId, Revision

if TYPE_CHECKING:
    from collections.abc import Iterable

    from medlarspring_daemon.membership.peer_service import PeerService
    from medlarspring_daemon.node import Node
    from medlarspring_tables import Seconds

HOLDERS_PREFIX = "holders/"
TICK_SECONDS = 0.5
STARTUP_DELAY_SECONDS = 3.0
"""Delay after the start, in which the process learns of its peers.

Without it a new process knows no other member and acquires all pools.
"""
ACQUIRE_INTERVAL_SECONDS = 1.0
MAX_POOLS_PER_CALL = 64


class HolderRecord(Struct, frozen=True):
    """Value of a holder key; informational, for people who inspect the store."""

    entry_vm: str
    incarnation: int
    since: float
    """Wall time in seconds since the epoch."""


class HolderService:
    """Implements ``Holders``; all keys of this process are attached to one lease."""

    def __init__(self, node: Node, peers: PeerService) -> None:
        self._node = node
        self._peers = peers
        self._tasks = BackgroundTasks(node.log)
        self.holdings = Holdings(node.id)
        self._keys_to_delete: list[HeldPool] = []
        """Released pools whose keys may still exist in the store."""
        self._renew_at = 0.0
        self._renewal_failures = 0
        self._suspended = False
        """Whether the lease may have expired, so that no work is done for its pools."""
        self._next_attempt_at = 0.0
        self._failures = 0

    async def start(self) -> None:
        """Start acquiring the pools for which this process is the preferred holder."""
        self._node.holders = self
        self._next_attempt_at = self._node.clock.now() + STARTUP_DELAY_SECONDS
        self._tasks.run_with_restart(self._run)
        self._tasks.run_with_restart(self._watch_lease_expiry)

    async def stop(self) -> None:
        """Release all pools by revoking the lease, so that others can acquire them.

        Otherwise they would have to wait until the lease expires.
        """
        await self._tasks.cancel()
        lease_id = self.holdings.lease_id
        self._log_released(self.holdings.pools_by_id.values())
        record_lapse(self.holdings)
        if lease_id is not None:
            await self._node.store.revoke_lease(LeaseId(lease_id))

    def held_pools(self) -> frozenset[PoolId]:
        """Return the pools whose lease is still valid by this process's own clock."""
        return list_held_pools(self.holdings, self._node.clock.now())

    def fence(self, pool_id: PoolId) -> Expect | None:
        """Return the condition to add to each write for the pool; None if not held."""
        revision = find_fencing_revision(self.holdings, pool_id, self._node.clock.now())
        if revision is None:
            return None
        return Expect(_key(pool_id), revision)

    async def _run(self) -> None:
        while not self._node.stopping:
            await self._renew()
            await self._apply_plan()
            await asyncio.sleep(TICK_SECONDS)

    async def _watch_lease_expiry(self) -> None:
        """Log when the lease expires by this process's own clock.

        The store may report the expiry much later. Logged only then, two processes
        would appear to have held a pool at the same time.
        """
        while True:
            now = self._node.clock.now()
            pools = sorted(self.holdings.pools_by_id)
            if pools and now >= self.holdings.safe_until and not self._suspended:
                self._suspended = True
                self._node.log.warning(Event.HOLDER_LEASE_LAPSED, pools=pools)
            await asyncio.sleep(TICK_SECONDS / 2)

    async def _renew(self) -> None:
        lease_id = self.holdings.lease_id
        now = self._node.clock.now()
        if lease_id is None or now < self._renew_at:
            return
        answer = await self._node.store.keep_lease(LeaseId(lease_id))
        if not isinstance(answer, Success):
            self._renewal_failures += 1
            wait = choose_retry_delay(self._renewal_failures, self._node.rng)
            self._renew_at = self._node.clock.now() + wait
            return
        ttl = answer.unwrap()
        if ttl <= 0:
            if not self._suspended:
                pools = sorted(self.holdings.pools_by_id)
                self._node.log.warning(Event.HOLDER_LEASE_LAPSED, pools=pools)
            self._suspended = False
            record_lapse(self.holdings)
            return
        self._plan_renewal(now)
        record_lease(self.holdings, lease_id, now, min(ttl, LEASE_SECONDS))
        self._end_suspension()

    def _end_suspension(self) -> None:
        """End the suspension after a renewal and log the pools as held again."""
        if not self._suspended:
            return
        self._suspended = False
        for held in self.holdings.pools_by_id.values():
            self._node.log.info(
                Event.POOL_HELD, pool=held.pool_id, fence=held.mod_revision
            )

    def _plan_renewal(self, renewed_at: Seconds) -> None:
        self._renewal_failures = 0
        spread = self._node.rng.uniform(0.9, 1.1)
        self._renew_at = renewed_at + RENEW_SECONDS * spread

    async def _apply_plan(self) -> None:
        config = self._node.config
        now = self._node.clock.now()
        if config is None or now < self._next_attempt_at:
            return
        members = self._peers.list_stable()
        plan = plan_holders(self.holdings, config.pools_by_id, members, now)
        released = [self.holdings.pools_by_id.pop(each) for each in plan.release]
        self._log_released(released)
        self._keys_to_delete += released
        await self._delete_keys()
        if plan.acquire:
            await self._acquire(plan.acquire[:MAX_POOLS_PER_CALL])

    async def _acquire(self, pool_ids: tuple[PoolId, ...]) -> None:
        if not await self._ensure_lease():
            self._back_off()
            return
        lease_id = self.holdings.lease_id
        if lease_id is None or self._node.clock.now() >= self.holdings.safe_until:
            return
        record = HolderRecord(
            self._node.id, self._node.incarnation, self._node.clock.wall()
        )
        value = msgspec.json.encode(record)
        transactions = [
            Transaction(
                expects=(Expect(_key(pool_id), Revision(0)),),
                writes=(Put(_key(pool_id), value, LeaseId(lease_id)),),
                read_on_failure=(_key(pool_id),),
            )
            for pool_id in pool_ids
        ]
        results = await self._node.store.commit_each(transactions)
        for pool_id, result in zip(pool_ids, results, strict=True):
            if isinstance(result, Success):
                self._record_acquisition(pool_id, result.unwrap(), lease_id)
        if not all(isinstance(each, Success) for each in results):
            self._back_off()
            return
        self._failures = 0
        spread = self._node.rng.uniform(0.75, 1.25)
        self._next_attempt_at = (
            self._node.clock.now() + ACQUIRE_INTERVAL_SECONDS * spread
        )

    def _record_acquisition(
        self, pool_id: PoolId, committed: Committed, lease_id: int
    ) -> None:
        if self.holdings.lease_id != lease_id:
            return
        revision = committed.revision
        if not committed.succeeded:
            # If the reply to an earlier write was lost, the key already exists with
            # this lease. If it were attributed to another holder, this process would
            # keep it alive and no process would ever serve the pool.
            found = committed.read_by_key.get(_key(pool_id))
            if found is None or found.lease_id != lease_id:
                return
            revision = found.mod_revision
        self._keys_to_delete = [
            each for each in self._keys_to_delete if each.pool_id != pool_id
        ]
        self.holdings.pools_by_id[pool_id] = HeldPool(pool_id, revision)
        self._node.log.info(Event.POOL_HELD, pool=pool_id, fence=revision)

    async def _ensure_lease(self) -> bool:
        if self.holdings.lease_id is not None:
            return True
        sent_at = self._node.clock.now()
        answer = await self._node.store.grant_lease(LEASE_SECONDS)
        if not isinstance(answer, Success):
            return False
        record_lease(self.holdings, answer.unwrap(), sent_at, LEASE_SECONDS)
        self._plan_renewal(sent_at)
        return True

    async def _delete_keys(self) -> None:
        """Delete the keys of released pools, on which no more work is done.

        A deletion without a reply is retried: the lease stays alive for the other
        pools, so a remaining key would block other holders for ever.
        """
        for held in list(self._keys_to_delete):
            key = _key(held.pool_id)
            expect = Expect(key, held.mod_revision)
            answer = await self._node.store.commit(
                Transaction((expect,), (Delete(key),))
            )
            if not isinstance(answer, Success):
                self._back_off()
                return
            self._keys_to_delete.remove(held)

    def _log_released(self, released: Iterable[HeldPool]) -> None:
        """Log the release of pools before another process can acquire them.

        If this were logged after the deletion of the key, it could follow the log
        line of the next holder, as if both had held the pool at the same time.
        """
        for held in released:
            self._node.log.info(Event.POOL_RELEASED, pool=held.pool_id)

    def _back_off(self) -> None:
        self._failures += 1
        wait = ACQUIRE_INTERVAL_SECONDS / 2 + choose_retry_delay(
            self._failures, self._node.rng
        )
        self._next_attempt_at = self._node.clock.now() + wait


def _key(pool_id: PoolId) -> str:
    return f"{HOLDERS_PREFIX}{pool_id}"


def create_holder_service(node: Node, peers: PeerService) -> HolderService:
    """Return the service that acquires the control work of pools."""
    return HolderService(node, peers)


__all__ = ["HolderRecord", "HolderService", "create_holder_service"]
