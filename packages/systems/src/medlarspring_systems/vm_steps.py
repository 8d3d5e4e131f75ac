"""State changes of a VM's record, with the changes of related records."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from medlarspring_systems.draft import DecisionKind
from medlarspring_tables import WaveId
from medlarspring_tables.moves import MoveId, MoveState
from medlarspring_tables.vms import CauseKind, Outcome, VMState

if TYPE_CHECKING:
    from medlarspring_systems.draft import Draft
    from medlarspring_tables import PoolId
    from medlarspring_tables.vms import VMRecord


def join(draft: Draft, record: VMRecord, pool_id: PoolId, now: float) -> None:
    """Draft the change of a drained VM's pool; no other write changes it."""
    draft.unlist_in_pool(record)
    joined = msgspec.structs.replace(
        record,
        pool_id=pool_id,
        target_pool_id=None,
        state=VMState.JOINING,
        since=now,
    )
    draft.put(joined)
    set_move(draft, record, MoveState.JOINING, now)
    draft.record_decision(
        DecisionKind.MOVE,
        "drained",
        vm_id=record.id,
        from_pool=record.pool_id,
        to_pool=pool_id,
    )


def drain_again(
    draft: Draft, record: VMRecord, target_pool_id: PoolId | None, now: float
) -> None:
    """Draft the drain of a VM that serves although its record says otherwise."""
    draining = {
        "state": VMState.DRAINING,
        "since": now,
        "target_pool_id": target_pool_id,
    }
    draft.put(msgspec.structs.replace(record, **draining))
    draft.record_decision(DecisionKind.DRAIN, "put-back-seen", vm_id=record.id)


def restore(draft: Draft, record: VMRecord, rule: str, now: float) -> None:
    """Draft a return to service under a revision that invalidates late actions."""
    state = {"state": VMState.RESTORING, "since": now, "target_pool_id": None}
    draft.put(msgspec.structs.replace(record, **state))
    if record.state is VMState.DRAINING:
        set_move(draft, record, MoveState.WANTED, now)
    draft.record_decision(DecisionKind.PUT_BACK, rule, vm_id=record.id)


def serve(draft: Draft, record: VMRecord, rule: str, now: float) -> None:
    """Draft that the VM serves, and remove it from both lists of disruptions."""
    draft.unlist_in_pool(record)
    draft.unlist_in_zone(record)
    draft.put(
        msgspec.structs.replace(
            draft.vm(record.id),
            state=VMState.SERVING,
            since=now,
            cause=None,
            target_pool_id=None,
        )
    )
    draft.record_decision(DecisionKind.SERVE, rule, vm_id=record.id)


def give_up(draft: Draft, record: VMRecord, rule: str, now: float) -> None:
    """Draft that the VM is out, so that its pool gets a replacement."""
    draft.unlist_in_pool(record)
    draft.unlist_in_zone(record)
    state = {"state": VMState.OUT, "since": now, "target_pool_id": None}
    draft.put(msgspec.structs.replace(record, **state))
    draft.record_decision(DecisionKind.GIVE_UP, rule, vm_id=record.id)


def record_wave_outcome(
    draft: Draft, record: VMRecord, outcome: Outcome, now: float
) -> None:
    """Record the outcome of the VM's wave; does nothing without a wave."""
    if record.cause is None or record.cause.kind is not CauseKind.WAVE:
        return
    is_back = outcome is Outcome.BACK
    draft.put(
        msgspec.structs.replace(
            record,
            wave_id=WaveId(record.cause.id),
            outcome=outcome,
            finished_at=now,
            maintained_at=now if is_back else record.maintained_at,
            began_at=record.since,
        )
    )
    draft.record_decision(
        DecisionKind.VM_ENDED,
        outcome.value,
        vm_id=record.id,
        wave_id=WaveId(record.cause.id),
    )


def set_move(draft: Draft, record: VMRecord, state: MoveState, now: float) -> None:
    """Set the state of the VM's move if it has one that is open."""
    if record.cause is None or record.cause.kind is not CauseKind.MOVE:
        return
    move = draft.move(MoveId(record.cause.id))
    if move is None or not move.is_open:
        return
    ended_at = now if state is MoveState.DONE else 0.0
    draft.put(msgspec.structs.replace(move, state=state, ended_at=ended_at))


def is_move_recorded(record: VMRecord) -> bool:
    """Return whether the record already names the new pool of a VM being drained.

    The platform does not show the VM in that pool yet.
    """
    return record.target_pool_id == record.pool_id


__all__ = [
    "drain_again",
    "record_wave_outcome",
    "give_up",
    "is_move_recorded",
    "join",
    "restore",
    "serve",
    "set_move",
]
