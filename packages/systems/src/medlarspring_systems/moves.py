"""Moves VMs between pools, to reach their wanted sizes or on operator request."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import msgspec
from returns.pipeline import is_successful

from medlarspring_systems.availability import Health, evaluate_vm_health
from medlarspring_systems.disruptions import disrupt_vm
from medlarspring_tables.fleet_tables import key_of_move
from medlarspring_tables.moves import MoveId, MoveRecord, MoveState
from medlarspring_tables.vms import Cause, CauseKind, VMState

if TYPE_CHECKING:
    from collections.abc import Mapping

    from medlarspring_systems.draft import Draft
    from medlarspring_tables import FleetRow, PoolId, PoolRow, VMId
    from medlarspring_tables.vms import VMRecord

NEED_HOLD_SECONDS = 60.0
"""A pool has to be below its wanted size for this long before VMs are moved."""
KEEP_ENDED_SECONDS = 86_400.0
"""Delay before the record of an ended move is deleted."""
_NOT_YET_JOINED = (MoveState.WANTED, MoveState.DRAINING)


def count_members(draft: Draft, pool_id: PoolId) -> int:
    """Return the number of VMs in the pool once all its open moves have ended."""
    tables = draft.tables
    records = map(draft.vm, tables.vm_ids_by_pool.get(pool_id, ()))
    members = sum(
        record.state is not VMState.OUT and record.pool_id == pool_id
        for record in records
    )
    for move_id in draft.tables.open_moves_by_id:
        move = draft.move(move_id)
        if move is not None and move.state in _NOT_YET_JOINED:
            members += (move.to_pool_id == pool_id) - (move.from_pool_id == pool_id)
    return members


def plan_needed_moves(
    draft: Draft, pool: PoolRow, pools_by_id: Mapping[PoolId, PoolRow], now: float
) -> None:
    """Draft the moves that bring a pool to its wanted size.

    Exactly one move is made for each missing VM. Only VMs above another pool's
    wanted size are taken, so that a move never causes a further one.
    """
    tables = draft.tables
    missing = pool.wanted_vms - count_members(draft, pool.id)
    if missing <= 0:
        tables.short_since_by_pool.pop(pool.id, None)
        _cancel_needed_moves(draft, pool, -missing, now)
        return
    # A pool may be short only briefly, between two edits of the table or until
    # a VM is seen again. Moving VMs at once would then cost two moves.
    since = tables.short_since_by_pool.setdefault(pool.id, now)
    if now - since < NEED_HOLD_SECONDS:
        return
    surplus_by_pool = {
        source_pool.id: count_members(draft, source_pool.id) - source_pool.wanted_vms
        for source_pool in pools_by_id.values()
        if source_pool.id != pool.id
    }
    for number in range(missing):
        source_pool_id = max(
            sorted(surplus_by_pool), key=surplus_by_pool.__getitem__, default=None
        )
        if source_pool_id is None or surplus_by_pool[source_pool_id] <= 0:
            return
        surplus_by_pool[source_pool_id] -= 1
        move_id = MoveId(f"need-{pool.id}-{int(now)}-{number}")
        draft.put(
            MoveRecord(
                id=move_id,
                from_pool_id=source_pool_id,
                to_pool_id=pool.id,
                is_by_need=True,
                created_by="need",
                created_at=now,
            )
        )


def _cancel_needed_moves(draft: Draft, pool: PoolRow, surplus: int, now: float) -> None:
    for move_id in sorted(draft.tables.open_moves_by_id):
        move = draft.move(move_id)
        if surplus <= 0:
            return
        if (
            move is not None
            and move.is_by_need
            and move.to_pool_id == pool.id
            and move.state is MoveState.WANTED
        ):
            _refuse(draft, move, "the pool no longer needs it", now)
            surplus -= 1


def plan_move_drains(
    draft: Draft,
    pool: PoolRow,
    pools_by_id: Mapping[PoolId, PoolRow],
    fleet: FleetRow,
    now: float,
) -> None:
    """Draft the drains of the moves that take VMs from a pool."""
    moves = [
        move
        for move in map(draft.move, draft.tables.open_moves_by_id)
        if move is not None
        and move.from_pool_id == pool.id
        and move.state is MoveState.WANTED
    ]
    for move in sorted(moves, key=lambda move: (move.created_at, move.id)):
        refusal = _find_refusal(draft, move, pool, pools_by_id)
        if refusal:
            _refuse(draft, move, refusal, now)
        else:
            _start_move(draft, move, pool, fleet, now)


def _find_refusal(
    draft: Draft,
    move: MoveRecord,
    pool: PoolRow,
    pools_by_id: Mapping[PoolId, PoolRow],
) -> str:
    members = count_members(draft, pool.id)
    if move.to_pool_id not in pools_by_id:
        return f"there is no pool {move.to_pool_id}"
    if move.is_by_need and members < pool.wanted_vms:
        return f"pool {pool.id} has no VM above its wanted size"
    if members < pool.min_available:
        return f"pool {pool.id} would hold fewer VMs than its min_available"
    if move.vm_id is None:
        return ""
    record = draft.tables.vms_by_id.get(move.vm_id)
    if record is None or record.pool_id != pool.id:
        return f"VM {move.vm_id} is not in pool {pool.id}"
    return ""


def _start_move(
    draft: Draft, move: MoveRecord, pool: PoolRow, fleet: FleetRow, now: float
) -> None:
    cause = Cause(CauseKind.MOVE, move.id)
    for vm_id in _choose_vms(draft, move):
        if is_successful(disrupt_vm(draft, vm_id, cause, pool, fleet, now)):
            record = draft.vm(vm_id)
            target = {"target_pool_id": move.to_pool_id}
            draft.put(msgspec.structs.replace(record, **target))
            started = {"state": MoveState.DRAINING, "vm_id": vm_id}
            draft.put(msgspec.structs.replace(move, **started))
            return


def _choose_vms(draft: Draft, move: MoveRecord) -> list[VMId]:
    """Return candidates, best first, to keep both pools spread over racks."""
    if move.vm_id is not None and not move.is_by_need:
        return [move.vm_id]
    tables = draft.tables
    source_vms = _list_serving(draft, move.from_pool_id)
    source_vms_by_rack = Counter(record.rack_id for record in source_vms)
    target_vms = _list_serving(draft, move.to_pool_id)
    target_vms_by_rack = Counter(record.rack_id for record in target_vms)
    target_vms_by_zone = Counter(record.zone_id for record in target_vms)
    available = [
        record
        for record in source_vms
        if evaluate_vm_health(record, tables.observations_by_id.get(record.id))
        is Health.AVAILABLE
    ]
    available.sort(
        key=lambda record: (
            target_vms_by_rack[record.rack_id] - source_vms_by_rack[record.rack_id],
            target_vms_by_zone[record.zone_id],
            record.id,
        )
    )
    return [record.id for record in available]


def _list_serving(draft: Draft, pool_id: PoolId) -> list[VMRecord]:
    records = map(draft.vm, draft.tables.vm_ids_by_pool.get(pool_id, ()))
    return [record for record in records if record.state is VMState.SERVING]


def _refuse(draft: Draft, move: MoveRecord, reason: str, now: float) -> None:
    refused = {"state": MoveState.REFUSED, "reason": reason, "ended_at": now}
    draft.put(msgspec.structs.replace(move, **refused))


def plan_move_removal(draft: Draft, pool: PoolRow, now: float) -> None:
    """Draft the deletion of moves to the pool after ``KEEP_ENDED_SECONDS``."""
    for move in list(draft.tables.moves_by_id.values()):
        is_old = not move.is_open and now - move.ended_at > KEEP_ENDED_SECONDS
        if is_old and move.to_pool_id == pool.id:
            draft.delete(key_of_move(move.id))


__all__ = [
    "KEEP_ENDED_SECONDS",
    "NEED_HOLD_SECONDS",
    "count_members",
    "plan_move_removal",
    "plan_move_drains",
    "plan_needed_moves",
]
