"""Decides which homes are asked for slots and when, and applies their replies.

The home of an upstream VM is the entry VM that grants its slots. This module
makes no calls: ``SlotService`` or a simulation transports the requests.
"""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from medlarspring_adapters import peer_pb2
from medlarspring_daemon.callers.slot_home import SlotHome
from medlarspring_systems import slot_loans, slots
from medlarspring_systems.leaving import restore_emptied_pool, takes_new_work
from medlarspring_tables import EntryVMId, PoolId, VMId, ZoneId
from medlarspring_tables.slots import EntryVMView, FormerLoans, Vote

if TYPE_CHECKING:
    from collections.abc import Mapping

    from medlarspring_daemon.callers.state import CallerState
    from medlarspring_daemon.node import Node
    from medlarspring_tables import Member, Seconds
    from medlarspring_tables.upstreams import Upstream

MIN_RENEWAL_INTERVAL_SECONDS = 0.05
"""Shortest time between requests for pools that are short of slots."""
REFUSAL_EVIDENCE_SECONDS = 2.0
"""Time for which a refused connection proves that a process has ended.

A new process of the same entry VM waits longer than this before it grants slots.
"""


@dataclass(slots=True, frozen=True)
class PendingSlotRequest:
    """A request for slots that is due or awaits its reply."""

    home: EntryVMId
    request: peer_pb2.SlotRequest
    sent_at: Seconds


class SlotExchange:
    """Renews the slots of one entry VM, and grants slots of its own upstream VMs."""

    def __init__(
        self,
        node: Node,
        state: CallerState,
        policy: slots.SlotPolicy | None = None,
    ) -> None:
        self._node = node
        self._state = state
        self._policy = policy or slots.SlotPolicy()
        self._home = SlotHome(node, state, self._policy)
        self._votes_by_vm: dict[VMId, Vote] = {}
        self._echo_by_home: dict[EntryVMId, int] = {}
        self._renewed_all_at = self._renewed_at = self._short_renewed_at = float("-inf")
        self._sequence = 0
        self._unanswered: set[EntryVMId] = set()
        self._short_pools: set[PoolId] = set()
        # A previous process of this entry VM may have voted just before it ended.
        # Its votes and grants have to expire first, as after a change of home.
        self._blocked_until = node.clock.now() + self._policy.switch_seconds

    def can_receive_grants(self) -> bool:
        """Return whether this process may be granted slots like the others."""
        alone = len(self.list_views()) == 1
        return alone or self._node.clock.now() >= self._blocked_until

    def request_slots_soon(self, pool_id: PoolId) -> None:
        """Schedule a request for slots of a pool whose requests are waiting."""
        self._short_pools.add(pool_id)

    def answer(self, request: peer_pb2.SlotRequest) -> peer_pb2.SlotReply:
        """Grant slots of the upstream VMs that this entry VM is home of."""
        self._state.refresh()
        return self._home.answer(request, self.list_views(), self._votes_by_vm)

    def list_due(self) -> list[PendingSlotRequest]:
        """Return the requests to send now, including the one to this entry VM.

        All homes are asked when a renewal is due. In between, only the homes of
        pools that are short of slots are asked, so that an idle entry VM makes
        few calls.
        """
        now = self._node.clock.now()
        upstreams = self._list_due_upstreams(now)
        if not upstreams:
            return []
        self._short_pools.clear()
        views = self.list_views()
        by_home = self._group_by_home(upstreams, views, now)
        due = [
            PendingSlotRequest(
                home, self._create_request(home, home_upstreams, views, now), now
            )
            for home, home_upstreams in by_home.items()
            if home not in self._unanswered
        ]
        self._unanswered.update(pending.home for pending in due)
        return due

    def _list_due_upstreams(self, now: Seconds) -> list[Upstream]:
        """Return the upstream VMs whose homes are due to be asked."""
        by_pool = self._state.upstreams.upstreams_by_pool
        if now - self._renewed_all_at >= self._policy.idle_renew_seconds:
            self._state.refresh()
            self._renewed_all_at = self._renewed_at = self._short_renewed_at = now
            for upstreams in by_pool.values():
                restore_emptied_pool(upstreams, now)
            return list(self._state.upstreams.upstreams_by_id.values())
        if now - self._renewed_at >= self._policy.renew_seconds:
            self._renewed_at = self._short_renewed_at = now
            pools = [pool_id for pool_id in by_pool if self._is_in_use(pool_id, now)]
        elif (
            self._short_pools
            and now - self._short_renewed_at >= MIN_RENEWAL_INTERVAL_SECONDS
        ):
            self._short_renewed_at = now
            pools = list(self._short_pools)
        else:
            return []
        return [each for pool_id in pools for each in by_pool.get(pool_id, ())]

    def _is_in_use(self, pool_id: PoolId, now: Seconds) -> bool:
        pool = self._state.pools_by_id.get(pool_id)
        if pool is None:
            return False
        return (
            pool.waiting > 0
            or now - pool.last_request_at < self._policy.idle_after_seconds
        )

    def handle_call_failure(self, pending: PendingSlotRequest) -> None:
        """Give up a request; the slots expire unless a later one is answered."""
        self._unanswered.discard(pending.home)

    def apply_reply(
        self, pending: PendingSlotRequest, reply: peer_pb2.SlotReply
    ) -> set[PoolId]:
        """Record the granted slots; return the pools that have usable slots now."""
        self._unanswered.discard(pending.home)
        if reply.time_ms:
            self._echo_by_home[pending.home] = reply.time_ms
        now = self._node.clock.now()
        pools: set[PoolId] = set()
        for granted in reply.grants:
            upstream = self._state.upstreams.upstreams_by_id.get(VMId(granted.vm))
            if upstream is None:
                continue
            self._record_foreign(upstream.id, pending, granted.foreign)
            upstream.credit = granted.slots
            # The lifetime counts from when the request was sent. The home counts
            # it from a later time, so that after a slow reply or a suspension
            # the slots expire here too early, never too late.
            upstream.credit_until = pending.sent_at + granted.ttl_ms / 1000.0
            if now < upstream.credit_until:
                pools.add(upstream.pool_id)
        return pools

    def _record_foreign(
        self, vm_id: VMId, pending: PendingSlotRequest, foreign: int
    ) -> None:
        """Record the slots that a home may lend to other zones, for the next home.

        Slots that this entry VM lends as home are in its own ledger. If they were
        recorded here as well, they would be subtracted twice, and a partitioned
        zone would have no slots of its own VMs.
        """
        vote = self._votes_by_vm.get(vm_id)
        if vote is not None and vote.home == pending.home != self._node.id:
            vote.foreign = foreign
            vote.told_at = pending.sent_at

    def list_views(self) -> list[EntryVMView]:
        """Return the current view of all entry VMs, this one first."""
        node = self._node
        now = node.clock.now()
        heard = node.peers.heard_by_id
        views = [EntryVMView(node.id, self._state.zone_id, self._is_own_home(heard))]
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
                and now - refused_at < REFUSAL_EVIDENCE_SECONDS
            )
            views.append(EntryVMView(entry_vm_id, zone_id, is_heard, dead))
        return views

    def _is_own_home(self, heard: Mapping[EntryVMId, Member]) -> bool:
        """Return whether this entry VM may be home of its zone's upstream VMs.

        An entry VM that is stopping leaves this to the others of its zone. The last
        one remains home: otherwise its requests in flight would get no slot for a
        retry, and would time out.
        """
        zone_id = self._state.zone_id
        has_zone_peer = any(member.zone_id == zone_id for member in heard.values())
        return not (self._node.stopping and has_zone_peer)

    def _group_by_home(
        self, upstreams: list[Upstream], views: list[EntryVMView], now: Seconds
    ) -> dict[EntryVMId, list[Upstream]]:
        upstreams_by_home: dict[EntryVMId, list[Upstream]] = defaultdict(list)
        dead = {view.id for view in views if view.dead}
        groups: dict[ZoneId, list[EntryVMView]] = {}
        foreign_by_pool: dict[PoolId, bool] = {}
        alone = len(views) == 1
        for upstream in upstreams:
            group = groups.get(upstream.zone_id)
            if group is None:
                group = slots.list_voters(upstream.zone_id, views)
                groups[upstream.zone_id] = group
            home = slots.choose_home(upstream.id, group)
            if any(view.id == self._node.id for view in group):
                vote = self._votes_by_vm.setdefault(
                    upstream.id,
                    Vote(blocked_until=0.0 if alone else self._blocked_until),
                )
                slots.move_vote(
                    vote,
                    home,
                    self._node.id,
                    upstream.slots,
                    old_home_dead=vote.home in dead,
                    now=now,
                    policy=self._policy,
                )
            elif not upstream.in_use:
                needed = foreign_by_pool.get(upstream.pool_id)
                if needed is None:
                    needed = self._needs_foreign(upstream.pool_id, now)
                    foreign_by_pool[upstream.pool_id] = needed
                if not needed:
                    continue
            if home is not None:
                upstreams_by_home[home].append(upstream)
        return upstreams_by_home

    def _needs_foreign(self, pool_id: PoolId, now: Seconds) -> bool:
        """Return whether a pool needs slots of another zone."""
        if self._node.stopping or not self._is_in_use(pool_id, now):
            return False
        if pool_id not in self._state.own_pools:
            # Every request of this pool goes to another zone, and should get a
            # slot there as quickly as it would in its own zone.
            return True
        return self._count_overflow(pool_id, now) > 0

    def _count_overflow(self, pool_id: PoolId, now: Seconds) -> int:
        """Return the number of requests that exceed the slots in the own zone."""
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

    def _create_request(
        self,
        home: EntryVMId,
        upstreams: list[Upstream],
        views: list[EntryVMView],
        now: Seconds,
    ) -> peer_pb2.SlotRequest:
        self._sequence += 1
        request = peer_pb2.SlotRequest(
            sender=self._node.id,
            incarnation=self._node.incarnation,
            echo_ms=self._echo_by_home.get(home, 0),
            sequence=self._sequence,
        )
        zones_by_pool: dict[PoolId, set[ZoneId]] = defaultdict(set)
        for upstream in upstreams:
            vote = self._votes_by_vm.get(upstream.id)
            # Until the vote for the previous home has expired, the new home is
            # asked without a vote. Its reply provides the time to echo, so that
            # the later vote counts immediately.
            backs = False
            if vote is not None and vote.home == home and now >= vote.blocked_until:
                backs = True
                vote.last_asked = now
            zones_by_pool[upstream.pool_id].add(upstream.zone_id)
            vm_demand = request.wishes.add(
                vm=upstream.id,
                in_use=upstream.in_use,
                held=upstream.credit if now < upstream.credit_until else 0,
                backs=backs,
            )
            if vote is not None and vote.home == home:
                self._report_loans(vm_demand, upstream, vote, views, now)
            if upstream.leaving_since is not None and not takes_new_work(upstream, now):
                # Lets the home stop all grants immediately; reports reach other
                # zones only every few seconds.
                vm_demand.leaving = True
                vm_demand.leaving_age_ms = int((now - upstream.leaving_since) * 1000)
        for pool_id, zones in zones_by_pool.items():
            self._add_demand(request, pool_id, self._state.zone_id in zones, now)
        return request

    def _report_loans(
        self,
        vm_demand: peer_pb2.SlotWish,
        upstream: Upstream,
        vote: Vote,
        views: list[EntryVMView],
        now: Seconds,
    ) -> None:
        """Add what this voter knows of the loans of this home and of former ones."""
        vm_demand.foreign_known = vote.foreign or 0
        former = FormerLoans()
        slot_loans.remember_loans(former, vote.former.count, vote.former.until, now)
        if vote.home != self._node.id:
            voters = slots.list_voters(upstream.zone_id, views)
            own = self._home.list_loans(upstream.id, {each.id for each in voters}, now)
            slot_loans.remember_loans(former, own.count, own.until, now)
        if former.count:
            vm_demand.former_loans = former.count
            vm_demand.former_loans_ms = math.ceil((former.until - now) * 1000)

    def _add_demand(
        self, request: peer_pb2.SlotRequest, pool_id: PoolId, own: bool, now: Seconds
    ) -> None:
        pool = self._state.pools_by_id.get(pool_id)
        share = 1.0 if own else self._compute_overflow_share(pool_id, now)
        queues = () if pool is None else pool.queues_by_partner.values()
        has_demand = False
        for queue in queues:
            waiting = 0 if self._node.stopping else queue.waiting
            if not waiting and not queue.running:
                continue
            has_demand = True
            request.demand.add(
                partner=queue.partner_id,
                pool=pool_id,
                waiting=_scale(waiting, share),
                running=_scale(queue.running, share),
            )
        if not has_demand:
            request.demand.add(pool=pool_id)

    def _compute_overflow_share(self, pool_id: PoolId, now: Seconds) -> float:
        """Return the fraction of the demand to report to each other zone."""
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


def _scale(count: int, share: float) -> int:
    """Return a fraction of a count, rounded up so that small demand is not lost."""
    return math.ceil(count * share)


__all__ = ["PendingSlotRequest", "SlotExchange"]
