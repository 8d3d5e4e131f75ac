"""Grants slots of the upstream VMs that this entry VM is home of."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from medlarspring_adapters import peer_pb2
from medlarspring_systems import slot_loans, slot_shares, slots
from medlarspring_systems.leaving import record_leaving, takes_new_work
from medlarspring_tables import EntryVMId, PartnerId, PoolId, VMId
from medlarspring_tables.slots import FormerLoans, HomeTable, SlotLedger, Vote

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping, Sequence

    from medlarspring_daemon.callers.state import CallerState
    from medlarspring_daemon.node import Node
    from medlarspring_tables import Seconds, ZoneId
    from medlarspring_tables.slots import EntryVMView
    from medlarspring_tables.upstreams import Upstream

EPOCH_BITS = 50


@dataclass(slots=True, frozen=True)
class _Electorate:
    """The entry VMs that vote for the homes of one zone's upstream VMs."""

    group: list[EntryVMView]
    voters: frozenset[EntryVMId]
    has_outsiders: bool
    """Whether there are entry VMs that may borrow slots but do not vote."""


class SlotHome:
    """Grants slots from the ledgers of this process, which start empty."""

    def __init__(
        self, node: Node, state: CallerState, policy: slots.SlotPolicy
    ) -> None:
        self._node = node
        self._state = state
        self._policy = policy
        self._table = HomeTable()
        # The machine's clock continues when a process is replaced. The random
        # offset prevents an echo of the old process from being valid in the new one.
        self._epoch_ms = node.rng.getrandbits(EPOCH_BITS)
        self._started_at = node.clock.now()
        self._newest_by_requester: dict[EntryVMId, tuple[int, int, Seconds]] = {}
        """Incarnation, sequence and arrival of each requester's newest request."""

    def answer(
        self,
        request: peer_pb2.SlotRequest,
        views: Sequence[EntryVMView],
        votes_by_vm: Mapping[VMId, Vote],
    ) -> peer_pb2.SlotReply:
        """Grant free slots of each requested VM, up to the requester's fair share."""
        now = self._node.clock.now()
        requester = EntryVMId(request.sender)
        if self._is_outdated(requester, request, now):
            return peer_pb2.SlotReply(
                sender=self._node.id, incarnation=self._node.incarnation
            )
        self._record_demand(request, now)
        reply = peer_pb2.SlotReply(
            sender=self._node.id,
            incarnation=self._node.incarnation,
            time_ms=int(now * 1000) + self._epoch_ms,
        )
        echoed_at = self._read_echo(request.echo_ms, now)
        dead = frozenset(
            view.id for view in views if view.dead and view.id != requester
        )
        shares_by_pool: dict[tuple[PoolId, ZoneId], dict[EntryVMId, float]] = {}
        electorates_by_zone: dict[ZoneId, _Electorate] = {}
        for vm_demand in request.wishes:
            upstream = self._state.upstreams.upstreams_by_id.get(VMId(vm_demand.vm))
            if upstream is None:
                continue
            if vm_demand.leaving:
                age = vm_demand.leaving_age_ms / 1000.0
                record_leaving(self._state.upstreams, upstream.id, age, now)
            key = (upstream.pool_id, upstream.zone_id)
            shares = shares_by_pool.get(key)
            if shares is None:
                shares = self._divide_slots(upstream, now)
                shares_by_pool[key] = shares
            electorate = electorates_by_zone.get(upstream.zone_id)
            if electorate is None:
                electorate = _list_electorate(upstream.zone_id, views)
                electorates_by_zone[upstream.zone_id] = electorate
            vote = votes_by_vm.get(upstream.id, Vote())
            ledger = self._table.ledgers_by_vm.setdefault(upstream.id, SlotLedger())
            if vm_demand.backs and echoed_at is not None:
                slots.record_vote(ledger, requester, echoed_at)
            slot_loans.remember_loans(
                ledger.former,
                vm_demand.former_loans,
                now + vm_demand.former_loans_ms / 1000.0,
                now,
            )
            capacity = self._count_capacity(ledger, upstream, electorate, vote, now)
            targets = slot_shares.round_parts(upstream.id, shares, upstream.slots)
            target = targets.get(requester, 0) if takes_new_work(upstream, now) else 0
            announced = slot_loans.announce_loans(
                ledger, targets, electorate.voters, upstream.slots, now, self._policy
            )
            if requester not in electorate.voters:
                lendable = slot_loans.count_lendable(
                    ledger,
                    requester,
                    electorate.voters,
                    upstream.slots,
                    now,
                    self._policy,
                )
                target = min(target, lendable)
            granted = slots.grant(
                ledger,
                requester,
                slots.SlotDemand(upstream.id, vm_demand.in_use, vm_demand.held),
                target=target,
                capacity=capacity,
                dead=dead,
                now=now,
                policy=self._policy,
            )
            if requester in electorate.voters and requester != self._node.id:
                told = vm_demand.HasField("foreign_known")
                known = vm_demand.foreign_known if told else None
                holding = slots.get_holding(ledger, requester)
                slot_loans.record_known(holding, known, announced)
            reply.grants.add(
                vm=upstream.id,
                slots=granted,
                ttl_ms=int(self._policy.grant_seconds * 1000),
                foreign=announced,
            )
        return reply

    def _count_capacity(
        self,
        ledger: SlotLedger,
        upstream: Upstream,
        electorate: _Electorate,
        vote: Vote,
        now: Seconds,
    ) -> int:
        """Return the slots of an upstream VM that this home may grant now."""
        missing = slots.list_missing_voters(
            ledger, electorate.group, self._node.id, now, self._policy
        )
        if electorate.has_outsiders:
            slot_loans.reserve_for_ended_homes(
                ledger, electorate.voters, missing, upstream.slots, now, self._policy
            )
        return slots.count_capacity(
            ledger,
            upstream.slots,
            electorate.group,
            self._node.id,
            vote,
            missing=missing,
            now=now,
            policy=self._policy,
        )

    def list_loans(
        self, vm_id: VMId, voters: Collection[EntryVMId], now: Seconds
    ) -> FormerLoans:
        """Return the slots of an upstream VM lent by this process or known to it."""
        ledger = self._table.ledgers_by_vm.get(vm_id)
        if ledger is None:
            return FormerLoans()
        return slot_loans.list_loans(ledger, voters, now, self._policy)

    def _is_outdated(
        self, requester: EntryVMId, request: peer_pb2.SlotRequest, now: Seconds
    ) -> bool:
        """Return whether a newer request of the requester was already answered.

        A delayed request reports the slots that its requester held when it was sent.
        Applied as current, it would free slots that were granted to the requester
        since then. Incarnation numbers are random and do not show which of two
        processes is newer. The one heard first therefore counts until nothing has
        arrived from it for the duration of a grant, so that a delayed request of a
        previous process blocks its successor only briefly.
        """
        newest = self._newest_by_requester.get(requester)
        if newest is not None:
            incarnation, sequence, arrived_at = newest
            if incarnation == request.incarnation:
                if request.sequence <= sequence:
                    return True
            elif now - arrived_at < self._policy.grant_seconds:
                return True
        self._newest_by_requester[requester] = (
            request.incarnation,
            request.sequence,
            now,
        )
        return False

    def _read_echo(self, echo_ms: int, now: Seconds) -> Seconds | None:
        echoed_at = (echo_ms - self._epoch_ms) / 1000.0
        return echoed_at if self._started_at - 1.0 <= echoed_at <= now else None

    def _record_demand(self, request: peer_pb2.SlotRequest, now: Seconds) -> None:
        counts_by_pool: dict[PoolId, dict[PartnerId, int]] = defaultdict(dict)
        for usage in request.demand:
            counts = counts_by_pool[PoolId(usage.pool)]
            if usage.partner:
                counts[PartnerId(usage.partner)] = usage.waiting + usage.running
        for pool_id, counts in counts_by_pool.items():
            requester = EntryVMId(request.sender)
            slot_shares.record_demand(self._table, pool_id, requester, counts, now)

    def _divide_slots(self, upstream: Upstream, now: Seconds) -> dict[EntryVMId, float]:
        config = self._node.config
        weights = {}
        if config is not None:
            weights = {row.id: row.weight for row in config.partners_by_id.values()}
        pool_slots = sum(
            other.slots
            for other in self._state.list_upstreams(upstream.pool_id)
            if other.zone_id == upstream.zone_id and takes_new_work(other, now)
        )
        return slot_shares.divide_pool(
            self._table, upstream.pool_id, weights, pool_slots, now, self._policy
        )


def _list_electorate(zone_id: ZoneId, views: Sequence[EntryVMView]) -> _Electorate:
    group = slots.list_voters(zone_id, views)
    voters = frozenset(view.id for view in group)
    return _Electorate(group, voters, has_outsiders=len(group) < len(views))


__all__ = ["SlotHome"]
