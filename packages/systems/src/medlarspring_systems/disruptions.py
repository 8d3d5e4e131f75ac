"""Takes VMs out of service and back, step by step, within the budgets."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import msgspec
from returns.result import Failure, Result, Success

from medlarspring_systems.availability import (
    REPLACE_AFTER_SECONDS,
    count_availability,
    is_rack_lost,
)
from medlarspring_systems.draft import Decided
from medlarspring_tables import MedlarspringError, VMId, WaveId
from medlarspring_tables.fleet_tables import key_of_vm
from medlarspring_tables.moves import MoveId, MoveState
from medlarspring_tables.vms import CauseKind, Outcome, VMCondition, VMState
from medlarspring_tables.waves import WaveState

if TYPE_CHECKING:
    from medlarspring_systems.availability import Availability
    from medlarspring_systems.draft import Draft
    from medlarspring_tables import FleetRow, PoolId, PoolRow
    from medlarspring_tables.fleet_tables import FleetTables
    from medlarspring_tables.vms import Cause, VMRecord, VMSighting

DRAIN_LIMIT_SECONDS = 600.0
"""A drain that takes longer is taken back and reported."""
RETURN_LIMIT_SECONDS = 900.0
"""A VM that is not back this long after its reboot is given up."""
MAX_CHANGES = 32
"""VMs changed by one transaction; keeps it under the store's limit of parts."""


class Action(Enum):
    """What the platform is asked to do with a VM."""

    DRAIN = "drain"
    REBOOT = "reboot"
    RESTORE = "restore"
    ASSIGN = "assign"


class DisruptionRefused(MedlarspringError):
    """A VM may not be taken out of service now."""

    code = "disruption-refused"

    def __init__(self, vm_id: VMId, reason: str, remedy: str) -> None:
        super().__init__(vm_id, reason, remedy)
        self.vm_id = vm_id
        self.reason = reason
        self.remedy = remedy

    def message(self) -> str:
        """Say what blocks the VM and what ends it."""
        return f"VM {self.vm_id} is not drained: {self.reason}. {self.remedy}"


def disrupt_vm(
    draft: Draft, vm_id: VMId, cause: Cause, pool: PoolRow, fleet: FleetRow, now: float
) -> Result[None, DisruptionRefused]:
    """Draft the intent to drain one VM, if every budget allows it."""
    record = draft.vm(vm_id)
    if record.pool_id != pool.id or record.state is not VMState.SERVING:
        reason = f"it is {record.state.value} in pool {record.pool_id}"
        return Failure(DisruptionRefused(vm_id, reason, "Wait until it serves."))
    counted = count_availability(draft, pool)
    # Two VMs drained on one count would take the pool under its budget. The
    # count includes the draft, and the list that it was made from is written
    # under its revision, so a count that is out of date is never acted on.
    if counted.room < 1:
        return Failure(_refuse_for_budget(vm_id, counted))
    zone = draft.zone_disruptions(record.zone_id)
    if len(zone.causes_by_vm) >= fleet.max_drains_per_zone:
        reason = f"zone {zone.zone_id} has {len(zone.causes_by_vm)} VMs out already"
        remedy = "Wait for one, or raise max_drains_per_zone in the fleet row."
        return Failure(DisruptionRefused(vm_id, reason, remedy))
    draft.list_vm(record, cause)
    state = {"state": VMState.DRAINING, "since": now, "cause": cause}
    draft.put(msgspec.structs.replace(record, **state))
    draft.note(
        Decided.DRAIN,
        "budget-has-room",
        vm_id=vm_id,
        cause=f"{cause.kind.value} {cause.id}",
        available=counted.available,
        min_available=counted.min_available,
    )
    return Success(None)


def _refuse_for_budget(vm_id: VMId, counted: Availability) -> DisruptionRefused:
    reason = (
        f"pool {counted.pool_id} has {counted.available} VMs available"
        f" of at least {counted.min_available}"
        f" ({counted.disrupted} disrupted, {counted.failed} failed,"
        f" {counted.unseen} unseen, {counted.out} out)"
    )
    remedy = "Mend the failed VMs, move VMs in, or lower min_available."
    return DisruptionRefused(vm_id, reason, remedy)


def plan_progress(draft: Draft, pool: PoolRow, now: float) -> None:
    """Draft the next step of every VM of the pool that does not serve."""
    busy = sorted(draft.tables.busy_vm_ids_by_pool.get(pool.id, ()))
    _put_back_for_budget(draft, pool, busy, now)
    for vm_id in busy[:MAX_CHANGES]:
        if key_of_vm(vm_id) not in draft.records_by_key:
            _plan_vm(draft, vm_id, now)


def _put_back_for_budget(
    draft: Draft, pool: PoolRow, busy: list[VMId], now: float
) -> None:
    """Take drains back while unplanned failures hold the pool under its budget."""
    lacking = -count_availability(draft, pool).room
    for vm_id in busy:
        if lacking <= 0:
            return
        record = draft.vm(vm_id)
        if record.state is VMState.DRAINING:
            _restore(draft, record, "budget-needs-it", now)
            lacking -= 1
        elif record.state is VMState.RESTORING:
            lacking -= 1


def _plan_vm(draft: Draft, vm_id: VMId, now: float) -> None:
    record = draft.vm(vm_id)
    sighting = draft.tables.sightings_by_id.get(vm_id)
    match record.state:
        case VMState.DRAINING:
            _plan_draining(draft, record, sighting, now)
        case VMState.REBOOTING:
            _plan_rebooting(draft, record, sighting, now)
        case VMState.RESTORING:
            _plan_restoring(draft, record, sighting, now)
        case VMState.JOINING:
            _plan_joining(draft, record, sighting, now)
        case VMState.OUT:
            _plan_out(draft, record, sighting, now)


def _plan_draining(
    draft: Draft, record: VMRecord, sighting: VMSighting | None, now: float
) -> None:
    if not _is_cause_open(draft, record):
        _restore(draft, record, "cause-ended", now)
        return
    if now - record.since > DRAIN_LIMIT_SECONDS:
        _finish_wave(draft, record, Outcome.DRAIN_TIMED_OUT, now)
        _restore(draft, draft.vm(record.id), "drain-timed-out", now)
        return
    if sighting is None or not _has_accepted(draft.tables, record, sighting):
        return
    if sighting.condition is VMCondition.SERVING:
        # A holder cut off from the store put the VM back; the intent is void.
        _serve(draft, record, "put-back-seen", now)
    elif sighting.condition is VMCondition.DRAINED:
        _use_drained(draft, record, sighting, now)


def _use_drained(
    draft: Draft, record: VMRecord, sighting: VMSighting, now: float
) -> None:
    if record.target_pool_id is not None:
        _join(draft, record, record.target_pool_id, now)
        return
    state = {"state": VMState.REBOOTING, "since": now, "boot": sighting.boot}
    draft.put(msgspec.structs.replace(record, **state))
    draft.note(Decided.REBOOT, "drained", vm_id=record.id, boot=sighting.boot)


def _join(draft: Draft, record: VMRecord, pool_id: PoolId, now: float) -> None:
    """Move a drained VM: the one write that changes its pool."""
    draft.unlist_in_pool(record)
    joined = msgspec.structs.replace(
        record,
        pool_id=pool_id,
        target_pool_id=None,
        state=VMState.JOINING,
        since=now,
    )
    draft.put(joined)
    _set_move(draft, record, MoveState.JOINING, now)
    draft.note(
        Decided.MOVE,
        "drained",
        vm_id=record.id,
        from_pool=record.pool_id,
        to_pool=pool_id,
    )


def _plan_rebooting(
    draft: Draft, record: VMRecord, sighting: VMSighting | None, now: float
) -> None:
    if (
        sighting is not None
        and sighting.condition is VMCondition.SERVING
        and sighting.boot > record.boot
    ):
        _finish_wave(draft, record, Outcome.BACK, now)
        _serve(draft, draft.vm(record.id), "returned", now)
        return
    if now - record.since > RETURN_LIMIT_SECONDS:
        is_lost = is_rack_lost(draft.tables, record)
        outcome = Outcome.RACK_LOST if is_lost else Outcome.NOT_RETURNED
        _finish_wave(draft, record, outcome, now)
        _give_up(draft, draft.vm(record.id), outcome.value, now)


def _plan_restoring(
    draft: Draft, record: VMRecord, sighting: VMSighting | None, now: float
) -> None:
    is_serving = (
        sighting is not None
        and sighting.condition is VMCondition.SERVING
        and _has_accepted(draft.tables, record, sighting)
    )
    if is_serving:
        _serve(draft, record, "put-back", now)
    elif now - record.since > RETURN_LIMIT_SECONDS:
        _give_up(draft, record, "put-back-failed", now)


def _plan_joining(
    draft: Draft, record: VMRecord, sighting: VMSighting | None, now: float
) -> None:
    is_serving = (
        sighting is not None
        and sighting.condition is VMCondition.SERVING
        and sighting.pool_id == record.pool_id
        and _has_accepted(draft.tables, record, sighting)
    )
    if is_serving:
        _set_move(draft, record, MoveState.DONE, now)
        _serve(draft, record, "joined", now)
    elif now - record.since > RETURN_LIMIT_SECONDS:
        _set_move(draft, record, MoveState.DONE, now)
        _give_up(draft, record, "join-failed", now)


def _plan_out(
    draft: Draft, record: VMRecord, sighting: VMSighting | None, now: float
) -> None:
    if sighting is None or sighting.condition is not VMCondition.SERVING:
        return
    if sighting.pool_id == record.pool_id:
        _serve(draft, record, "returned-late", now)
        return
    if record.cause is not None:
        draft.list_vm(record, record.cause)
    draft.put(msgspec.structs.replace(record, state=VMState.JOINING, since=now))
    draft.note(Decided.JOIN_AGAIN, "returned-late", vm_id=record.id)


def plan_give_up(draft: Draft, pool: PoolRow, now: float) -> None:
    """Give up VMs that failed on their own long ago, so that they are replaced."""
    tables = draft.tables
    for vm_id in sorted(tables.vm_ids_by_pool.get(pool.id, ())):
        since = tables.failing_since_by_id.get(vm_id)
        if since is None or now - since <= REPLACE_AFTER_SECONDS:
            continue
        record = draft.vm(vm_id)
        if record.state is VMState.SERVING and record.pool_id == pool.id:
            _give_up(draft, record, "failed-on-its-own", now)


def choose_action(tables: FleetTables, record: VMRecord) -> Action | None:
    """Return what the platform has to be asked so that the record comes true."""
    sighting = tables.sightings_by_id.get(record.id)
    if sighting is None:
        return None
    has_accepted = _has_accepted(tables, record, sighting)
    is_drained = sighting.condition is VMCondition.DRAINED
    match record.state:
        case VMState.DRAINING if not has_accepted:
            return Action.DRAIN
        case VMState.RESTORING if not has_accepted:
            return Action.RESTORE
        case VMState.REBOOTING if sighting.boot <= record.boot:
            return _choose_once_drained(sighting, Action.REBOOT)
        case VMState.JOINING if not (has_accepted and not is_drained):
            return _choose_once_drained(sighting, Action.ASSIGN)
        case _:
            return None


def _choose_once_drained(sighting: VMSighting, action: Action) -> Action | None:
    # A holder cut off from the store may have put the VM back after the drain
    # was seen. Rebooting it then would cut requests, so it is drained again.
    if sighting.condition is VMCondition.DRAINED:
        return action
    if sighting.condition is VMCondition.SERVING:
        return Action.DRAIN
    return None


def _has_accepted(tables: FleetTables, record: VMRecord, sighting: VMSighting) -> bool:
    return sighting.revision >= tables.revision_of(key_of_vm(record.id))


def _is_cause_open(draft: Draft, record: VMRecord) -> bool:
    if record.cause is None:
        return False
    if record.cause.kind is CauseKind.MOVE:
        move = draft.move(MoveId(record.cause.id))
        return move is not None and move.is_open
    wave = draft.tables.waves_by_id.get(WaveId(record.cause.id))
    return wave is not None and wave.state is WaveState.RUNNING


def _restore(draft: Draft, record: VMRecord, rule: str, now: float) -> None:
    state = {"state": VMState.RESTORING, "since": now, "target_pool_id": None}
    draft.put(msgspec.structs.replace(record, **state))
    _set_move(draft, record, MoveState.WANTED, now)
    draft.note(Decided.PUT_BACK, rule, vm_id=record.id)


def _serve(draft: Draft, record: VMRecord, rule: str, now: float) -> None:
    draft.unlist_in_pool(record)
    draft.unlist_in_zone(record)
    if record.state is VMState.DRAINING:
        _set_move(draft, record, MoveState.WANTED, now)
    draft.put(
        msgspec.structs.replace(
            draft.vm(record.id),
            state=VMState.SERVING,
            since=now,
            cause=None,
            target_pool_id=None,
        )
    )
    draft.note(Decided.SERVE, rule, vm_id=record.id)


def _give_up(draft: Draft, record: VMRecord, rule: str, now: float) -> None:
    draft.unlist_in_pool(record)
    draft.unlist_in_zone(record)
    state = {"state": VMState.OUT, "since": now, "target_pool_id": None}
    draft.put(msgspec.structs.replace(record, **state))
    draft.note(Decided.GIVE_UP, rule, vm_id=record.id)


def _finish_wave(draft: Draft, record: VMRecord, outcome: Outcome, now: float) -> None:
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
        )
    )
    draft.note(
        Decided.VM_ENDED,
        outcome.value,
        vm_id=record.id,
        wave_id=WaveId(record.cause.id),
    )


def _set_move(draft: Draft, record: VMRecord, state: MoveState, now: float) -> None:
    if record.cause is None or record.cause.kind is not CauseKind.MOVE:
        return
    move = draft.move(MoveId(record.cause.id))
    if move is None or not move.is_open:
        return
    ended_at = now if state is MoveState.DONE else 0.0
    draft.put(msgspec.structs.replace(move, state=state, ended_at=ended_at))


__all__ = [
    "DRAIN_LIMIT_SECONDS",
    "MAX_CHANGES",
    "RETURN_LIMIT_SECONDS",
    "Action",
    "DisruptionRefused",
    "choose_action",
    "disrupt_vm",
    "plan_give_up",
    "plan_progress",
]
