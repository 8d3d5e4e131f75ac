"""Asks homes for slots and grants the slots of the VMs that it is home of."""

from __future__ import annotations

import asyncio
import math
from collections import defaultdict
from typing import TYPE_CHECKING

from returns.pipeline import is_successful

from medlarspring_adapters import peer_pb2
from medlarspring_daemon.services.slot_home import SlotHome
from medlarspring_systems import slots
from medlarspring_systems.leaving import takes_new_work
from medlarspring_tables import EntryVMId, PoolId, VMId, ZoneId
from medlarspring_tables.slots import EntryVMView, Vote

if TYPE_CHECKING:
    from collections.abc import Callable

    from medlarspring_daemon.node import Node
    from medlarspring_daemon.services.caller_state import CallerState
    from medlarspring_tables import Seconds
    from medlarspring_tables.upstreams import Upstream

TICK_SECONDS = 0.05
CALL_SECONDS = 0.5
DEAD_SECONDS = 2.0
"""A refused connection proves a dead process for so long only: a new process
of the same entry VM waits longer than this before it grants."""


class SlotService:
    """Keeps the credits of this entry VM fresh; implements ``SlotGranter``."""

    def __init__(
        self,
        node: Node,
        state: CallerState,
        on_credit: Callable[[PoolId], None],
        policy: slots.SlotPolicy | None = None,
    ) -> None:
        self._node = node
        self._state = state
        self._on_credit = on_credit
        self._policy = policy or slots.SlotPolicy()
        self._home = SlotHome(node, state, self._policy)
        self._votes_by_vm: dict[VMId, Vote] = {}
        self._echo_by_home: dict[EntryVMId, int] = {}
        self._asked_at: dict[EntryVMId, Seconds] = {}
        self._calls: dict[EntryVMId, asyncio.Task[None]] = {}
        self._short_pools: set[PoolId] = set()
        self._wake = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self._blocked_until = 0.0

    async def start(self) -> None:
        """Begin to ask for slots."""
        self._blocked_until = self._node.clock.now() + self._policy.switch_seconds
        self._node.slot_granter = self
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop asking; grants lapse by themselves."""
        tasks = [*self._calls.values()]
        if self._task is not None:
            tasks.append(self._task)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def want(self, pool_id: PoolId) -> None:
        """Ask soon, because work of this pool waits for a slot."""
        self._short_pools.add(pool_id)
        self._wake.set()

    def grant_slots(self, request: peer_pb2.SlotRequest) -> peer_pb2.SlotReply:
        """Grant slots to a peer."""
        self._state.refresh()
        return self._home.answer(request, self.list_views(), self._votes_by_vm)

    def list_views(self) -> list[EntryVMView]:
        """Return all entry VMs as they are seen now."""
        node = self._node
        now = node.clock.now()
        views = [EntryVMView(node.id, self._state.zone_id, heard=not node.stopping)]
        heard = node.peers.heard_by_id
        refused = node.peers.refused_by_id
        listed = {} if node.vm_list is None else node.vm_list.entry_vms_by_id
        zones: dict[EntryVMId, ZoneId] = {
            entry_vm_id: entry_vm.zone_id for entry_vm_id, entry_vm in listed.items()
        }
        zones.update({member_id: member.zone_id for member_id, member in heard.items()})
        for entry_vm_id, zone_id in zones.items():
            if entry_vm_id == node.id:
                continue
            refused_at = refused.get(entry_vm_id)
            is_heard = entry_vm_id in heard
            dead = (
                not is_heard
                and refused_at is not None
                and now - refused_at < DEAD_SECONDS
            )
            views.append(EntryVMView(entry_vm_id, zone_id, is_heard, dead))
        return views

    async def _run(self) -> None:
        while True:
            self._tick()
            # A wish for slots ends the wait early, at most 100 times a second.
            try:
                async with asyncio.timeout(TICK_SECONDS):
                    await self._wake.wait()
            except TimeoutError:
                continue
            self._wake.clear()
            await asyncio.sleep(TICK_SECONDS / 5)

    def _tick(self) -> None:
        self._state.refresh()
        now = self._node.clock.now()
        views = self.list_views()
        upstreams_by_home = self._sort_by_home(views, now)
        for home, upstreams in upstreams_by_home.items():
            if home == self._node.id:
                self._ask_self(upstreams, views, now)
                continue
            call = self._calls.get(home)
            if call is not None and not call.done():
                continue
            waited = now - self._asked_at.get(home, 0.0)
            if waited < self._policy.renew_seconds and not self._is_short(
                upstreams, waited
            ):
                continue
            self._asked_at[home] = now
            self._calls[home] = asyncio.create_task(self._ask(home, upstreams))
        self._short_pools.clear()

    def _is_short(self, upstreams: list[Upstream], waited: Seconds) -> bool:
        return waited >= TICK_SECONDS and any(
            upstream.pool_id in self._short_pools for upstream in upstreams
        )

    def _sort_by_home(
        self, views: list[EntryVMView], now: Seconds
    ) -> dict[EntryVMId, list[Upstream]]:
        upstreams_by_home: dict[EntryVMId, list[Upstream]] = defaultdict(list)
        dead = {view.id for view in views if view.dead}
        groups: dict[ZoneId, list[EntryVMView]] = {}
        alone = len(views) == 1
        for upstream in self._state.upstreams.upstreams_by_id.values():
            group = groups.get(upstream.zone_id)
            if group is None:
                group = slots.list_group(upstream.zone_id, views)
                groups[upstream.zone_id] = group
            home = slots.choose_home(upstream.id, group)
            if any(view.id == self._node.id for view in group):
                vote = self._votes_by_vm.setdefault(
                    upstream.id,
                    Vote(blocked_until=0.0 if alone else self._blocked_until),
                )
                home = slots.move_vote(
                    vote,
                    home,
                    self._node.id,
                    old_home_dead=vote.home in dead,
                    now=now,
                    policy=self._policy,
                )
            elif not self._needs_foreign(upstream, now):
                continue
            if home is not None:
                upstreams_by_home[home].append(upstream)
        return upstreams_by_home

    def _needs_foreign(self, upstream: Upstream, now: Seconds) -> bool:
        if upstream.in_use:
            return True
        if self._node.stopping:
            return False
        return self._count_overflow(upstream.pool_id, now) > 0

    def _count_overflow(self, pool_id: PoolId, now: Seconds) -> int:
        """Return how much of the demand the own zone has no slots for."""
        pool = self._state.pools_by_id.get(pool_id)
        if pool is None:
            return 0
        running = sum(queue.running for queue in pool.queues_by_partner.values())
        own = sum(
            upstream.credit
            for upstream in self._state.list_upstreams(pool_id)
            if upstream.zone_id == self._state.zone_id
            and now < upstream.credit_until
            and takes_new_work(upstream, now)
        )
        return max(0, pool.waiting + running - own)

    def _ask_self(
        self, upstreams: list[Upstream], views: list[EntryVMView], now: Seconds
    ) -> None:
        waited = now - self._asked_at.get(self._node.id, 0.0)
        if waited < self._policy.renew_seconds and not self._is_short(
            upstreams, waited
        ):
            return
        self._asked_at[self._node.id] = now
        request = self._create_request(self._node.id, upstreams, now)
        reply = self._home.answer(request, views, self._votes_by_vm)
        self._take_reply(self._node.id, reply, now)

    async def _ask(self, home: EntryVMId, upstreams: list[Upstream]) -> None:
        sent_at = self._node.clock.now()
        request = self._create_request(home, upstreams, sent_at)
        answer = await self._node.peers.call_grant_slots(home, request, CALL_SECONDS)
        if is_successful(answer):
            self._take_reply(home, answer.unwrap(), sent_at)

    def _create_request(
        self, home: EntryVMId, upstreams: list[Upstream], now: Seconds
    ) -> peer_pb2.SlotRequest:
        request = peer_pb2.SlotRequest(
            sender=self._node.id,
            incarnation=self._node.incarnation,
            echo_ms=self._echo_by_home.get(home, 0),
        )
        zones_by_pool: dict[PoolId, set[ZoneId]] = defaultdict(set)
        for upstream in upstreams:
            vote = self._votes_by_vm.get(upstream.id)
            backs = vote is not None and vote.home == home
            if backs and vote is not None:
                vote.last_asked = now
            zones_by_pool[upstream.pool_id].add(upstream.zone_id)
            request.wishes.add(
                vm=upstream.id,
                in_use=upstream.in_use,
                held=upstream.credit if now < upstream.credit_until else 0,
                backs=backs,
            )
        for pool_id, zones in zones_by_pool.items():
            self._add_demand(request, pool_id, self._state.zone_id in zones, now)
        return request

    def _add_demand(
        self, request: peer_pb2.SlotRequest, pool_id: PoolId, own: bool, now: Seconds
    ) -> None:
        pool = self._state.pools_by_id.get(pool_id)
        part = 1.0 if own else self._share_overflow(pool_id, now)
        queues = () if pool is None else pool.queues_by_partner.values()
        told = False
        for queue in queues:
            waiting = 0 if self._node.stopping else queue.waiting
            if not waiting and not queue.running:
                continue
            told = True
            request.demand.add(
                partner=queue.partner_id,
                pool=pool_id,
                waiting=_scale(waiting, part),
                running=_scale(queue.running, part),
            )
        if not told:
            request.demand.add(pool=pool_id)

    def _share_overflow(self, pool_id: PoolId, now: Seconds) -> float:
        """Return the part of the demand to tell to each foreign zone."""
        pool = self._state.pools_by_id.get(pool_id)
        zones = {
            upstream.zone_id
            for upstream in self._state.list_upstreams(pool_id)
            if upstream.zone_id != self._state.zone_id
        }
        if pool is None or not zones:
            return 0.0
        running = sum(queue.running for queue in pool.queues_by_partner.values())
        total = pool.waiting + running
        return self._count_overflow(pool_id, now) / max(1, total) / len(zones)

    def _take_reply(
        self, home: EntryVMId, reply: peer_pb2.SlotReply, sent_at: Seconds
    ) -> None:
        self._echo_by_home[home] = reply.time_ms
        now = self._node.clock.now()
        pools: set[PoolId] = set()
        for granted in reply.grants:
            upstream = self._state.upstreams.upstreams_by_id.get(VMId(granted.vm))
            if upstream is None:
                continue
            upstream.credit = granted.slots
            # Counted from the asking: the home's own count starts later, so a
            # slow reply or a freeze makes the credit end too early, never late.
            upstream.credit_until = sent_at + granted.ttl_ms / 1000.0
            if now < upstream.credit_until:
                pools.add(upstream.pool_id)
        for pool_id in pools:
            self._on_credit(pool_id)


def _scale(count: int, part: float) -> int:
    """Return a part of a count, rounded up so that small demand is told at all."""
    return math.ceil(count * part)


__all__ = ["SlotService"]
