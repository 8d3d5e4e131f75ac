"""Advances every VM that does not serve by one step, based on observations."""

from __future__ import annotations

import statistics
from typing import TYPE_CHECKING

import msgspec

from medlarspring_systems.availability import (
    REPLACE_AFTER_SECONDS,
    REPLACE_RACK_AFTER_SECONDS,
    count_availability,
    is_rack_lost,
)
from medlarspring_systems.disruptions import MAX_CHANGES
from medlarspring_systems.draft import DecisionKind
from medlarspring_systems.vm_actions import has_accepted
from medlarspring_systems.vm_steps import (
    drain_again,
    give_up,
    is_move_recorded,
    join,
    record_wave_outcome,
    restore,
    serve,
    set_move,
)
from medlarspring_systems.wave_limits import OUTCOME_WINDOW
from medlarspring_tables import VMId, WaveId
from medlarspring_tables.fleet_tables import key_of_vm
from medlarspring_tables.moves import MoveId, MoveState
from medlarspring_tables.vms import CauseKind, Outcome, VMCondition, VMState
from medlarspring_tables.waves import WaveState

if TYPE_CHECKING:
    from medlarspring_systems.draft import Draft
    from medlarspring_tables import PoolRow
    from medlarspring_tables.fleet_tables import FleetTables
    from medlarspring_tables.vms import VMObservation, VMRecord

_REACHABLE = (VMCondition.SERVING, VMCondition.DRAINING, VMCondition.DRAINED)
DRAIN_LIMIT_SECONDS = 600.0
"""A drain that takes longer is cancelled and recorded as timed out."""
MOVE_SETTLE_SECONDS = 4.0
"""Minimum time from the start of a drain to the VM's change of pool.

It covers the time after which a leaving upstream gets no new work, plus one
second.
"""
RETURN_LIMIT_SECONDS = 900.0
"""A VM that has not returned this long after its reboot is given up."""
MIN_RETURN_LIMIT_SECONDS = 120.0
"""Lower bound on the shorter limit that is derived from ``RETURN_LIMIT_RATIO``."""
RETURN_LIMIT_RATIO = 2.5
"""A VM of a wave is given up after this multiple of the median return time."""
MIN_RETURNED = 3
"""Returned VMs of a wave needed before their median is used."""


def plan_progress(draft: Draft, pool: PoolRow, now: float) -> None:
    """Draft the next step of each VM of the pool that does not serve."""
    busy = sorted(draft.tables.busy_vm_ids_by_pool.get(pool.id, ()))
    _restore_for_budget(draft, pool, busy, now)
    for vm_id in busy:
        if len(draft.records_by_key) >= MAX_CHANGES:
            return
        if key_of_vm(vm_id) not in draft.records_by_key:
            _plan_vm(draft, vm_id, now)


def _restore_for_budget(
    draft: Draft, pool: PoolRow, busy: list[VMId], now: float
) -> None:
    """Cancel drains while unplanned failures keep the pool below its budget."""
    shortfall = -count_availability(draft, pool).disruptions_allowed
    for vm_id in busy:
        if shortfall <= 0:
            return
        record = draft.vm(vm_id)
        if record.state is VMState.DRAINING and not is_move_recorded(record):
            restore(draft, record, "budget-needs-it", now)
            shortfall -= 1
        elif record.state is VMState.RESTORING:
            shortfall -= 1


def _plan_vm(draft: Draft, vm_id: VMId, now: float) -> None:
    record = draft.vm(vm_id)
    observation = draft.tables.observations_by_id.get(vm_id)
    if _is_lost_with_rack(draft.tables, record, observation, now):
        record_wave_outcome(draft, record, Outcome.RACK_LOST, now)
        give_up(draft, draft.vm(vm_id), Outcome.RACK_LOST.value, now)
        return
    match record.state:
        case VMState.DRAINING:
            _plan_draining(draft, record, observation, now)
        case VMState.REBOOTING:
            _plan_rebooting(draft, record, observation, now)
        case VMState.RESTORING:
            _plan_restoring(draft, record, observation, now)
        case VMState.JOINING:
            _plan_joining(draft, record, observation, now)
        case VMState.OUT:
            _plan_out(draft, record, observation, now)


def _is_lost_with_rack(
    tables: FleetTables, record: VMRecord, observation: VMObservation | None, now: float
) -> bool:
    """Return whether a VM under maintenance was lost together with its rack.

    If it were waited for like a single VM, its replacement would be delayed long
    after the other VMs of the rack have been replaced.
    """
    is_down = observation is None or observation.condition is VMCondition.DOWN
    is_waited_for = record.state in (
        VMState.DRAINING,
        VMState.REBOOTING,
        VMState.RESTORING,
    )
    is_long = now - record.since > REPLACE_RACK_AFTER_SECONDS
    return is_waited_for and is_down and is_long and is_rack_lost(tables, record)


def _plan_draining(
    draft: Draft, record: VMRecord, observation: VMObservation | None, now: float
) -> None:
    is_joining = is_move_recorded(record)
    if not is_joining and not _is_cause_open(draft, record):
        restore(draft, record, "cause-ended", now)
        return
    if observation is not None and has_accepted(draft.tables, record, observation):
        if observation.condition is VMCondition.SERVING:
            # A holder that could not reach the store restored the VM, or the VM
            # failed and rebooted by itself. A delayed drain of this revision
            # would take it out of service without an entry in the disruptions,
            # so a newer revision has to be accepted before the VM counts.
            restore(draft, record, "serves-again", now)
            return
        if observation.condition is VMCondition.DRAINED:
            _plan_drained(draft, record, observation, now)
            return
    # The time limit is checked last: after an outage of the store a drain is old
    # although the VM has been restored or drained meanwhile.
    if not is_joining and now - record.since > DRAIN_LIMIT_SECONDS:
        record_wave_outcome(draft, record, Outcome.DRAIN_TIMED_OUT, now)
        restore(draft, draft.vm(record.id), "drain-timed-out", now)


def _plan_drained(
    draft: Draft, record: VMRecord, observation: VMObservation, now: float
) -> None:
    if record.target_pool_id is not None:
        # Entry VMs that do not know of the drain yet still send work of the old
        # pool on slots that they hold. If the VM were assigned at once, it would
        # run that work in its new pool. While drained it refuses it as not run,
        # and after this time no entry VM holds a slot any more.
        if now - record.since >= MOVE_SETTLE_SECONDS:
            join(draft, record, record.target_pool_id, now)
        return
    state = {"state": VMState.REBOOTING, "since": now, "boot": observation.boot}
    draft.put(msgspec.structs.replace(record, **state))
    draft.record_decision(
        DecisionKind.REBOOT, "drained", vm_id=record.id, boot=observation.boot
    )


def _plan_rebooting(
    draft: Draft, record: VMRecord, observation: VMObservation | None, now: float
) -> None:
    if observation is not None and observation.condition is VMCondition.SERVING:
        _plan_serving_again(draft, record, observation, now)
    elif now - record.since > find_return_limit(draft.tables, record):
        is_lost = is_rack_lost(draft.tables, record)
        outcome = Outcome.RACK_LOST if is_lost else Outcome.NOT_RETURNED
        record_wave_outcome(draft, record, outcome, now)
        give_up(draft, draft.vm(record.id), outcome.value, now)


def find_return_limit(tables: FleetTables, record: VMRecord) -> float:
    """Return the seconds after which a rebooting VM is given up.

    Once enough VMs of its wave have returned, the limit follows their median: a
    VM that takes several times as long is considered lost, and while it is
    waited for, its disruption counts against the budget of its pool.
    """
    if record.cause is None or record.cause.kind is not CauseKind.WAVE:
        return RETURN_LIMIT_SECONDS
    finished = tables.finished_by_wave.get(WaveId(record.cause.id), [])
    returned = [
        finish.seconds
        for finish in finished[-OUTCOME_WINDOW:]
        if finish.outcome is Outcome.BACK
    ]
    if len(returned) < MIN_RETURNED:
        return RETURN_LIMIT_SECONDS
    limit = RETURN_LIMIT_RATIO * statistics.median(returned)
    return min(max(limit, MIN_RETURN_LIMIT_SECONDS), RETURN_LIMIT_SECONDS)


def _plan_serving_again(
    draft: Draft, record: VMRecord, observation: VMObservation, now: float
) -> None:
    is_rebooted = observation.boot > record.boot
    if is_rebooted and has_accepted(draft.tables, record, observation):
        record_wave_outcome(draft, record, Outcome.BACK, now)
        serve(draft, draft.vm(record.id), "returned", now)
    elif is_rebooted:
        # The VM failed and rebooted by itself before the platform accepted the
        # reboot. A delayed reboot must not reach it once it serves.
        record_wave_outcome(draft, record, Outcome.BACK, now)
        restore(draft, draft.vm(record.id), "rebooted-by-itself", now)
    else:
        # A holder that could not reach the store restored the VM. A reboot now
        # would interrupt requests, and a second drain under this revision could
        # arrive after the VM's return, so it is drained under a new revision.
        drain_again(draft, record, record.target_pool_id, now)


def _plan_restoring(
    draft: Draft, record: VMRecord, observation: VMObservation | None, now: float
) -> None:
    if (
        observation is not None
        and observation.condition is VMCondition.SERVING
        and has_accepted(draft.tables, record, observation)
    ):
        if observation.pool_id != record.pool_id:
            drain_again(draft, record, record.pool_id, now)
        else:
            serve(draft, record, "put-back", now)
    elif now - record.since > REPLACE_AFTER_SECONDS:
        give_up(draft, record, "put-back-failed", now)


def _plan_joining(
    draft: Draft, record: VMRecord, observation: VMObservation | None, now: float
) -> None:
    if observation is not None and observation.condition is VMCondition.SERVING:
        has_joined = observation.pool_id == record.pool_id
        if has_joined and has_accepted(draft.tables, record, observation):
            set_move(draft, record, MoveState.DONE, now)
            serve(draft, record, "joined", now)
        else:
            drain_again(draft, record, record.pool_id, now)
    elif now - record.since > RETURN_LIMIT_SECONDS:
        set_move(draft, record, MoveState.DONE, now)
        give_up(draft, record, "join-failed", now)


def _plan_out(
    draft: Draft, record: VMRecord, observation: VMObservation | None, now: float
) -> None:
    if observation is None or observation.condition not in _REACHABLE:
        return
    # An action sent before the VM was given up may still arrive. Restoring the
    # VM under a newer revision makes the platform refuse it.
    restore(draft, record, "returned-late", now)


def plan_give_up(draft: Draft, pool: PoolRow, now: float) -> None:
    """Give up VMs that have long failed without a disruption, to replace them."""
    tables = draft.tables
    for vm_id in sorted(tables.vm_ids_by_pool.get(pool.id, ())):
        since = tables.failing_since_by_id.get(vm_id)
        if since is None or now - since <= REPLACE_RACK_AFTER_SECONDS:
            continue
        record = draft.vm(vm_id)
        if record.state is not VMState.SERVING or record.pool_id != pool.id:
            continue
        if is_rack_lost(tables, record):
            give_up(draft, record, "rack-lost", now)
        elif now - since > REPLACE_AFTER_SECONDS:
            give_up(draft, record, "failed-on-its-own", now)


def _is_cause_open(draft: Draft, record: VMRecord) -> bool:
    if record.cause is None:
        return False
    if record.cause.kind is CauseKind.MOVE:
        move = draft.move(MoveId(record.cause.id))
        return move is not None and move.is_open
    wave = draft.tables.waves_by_id.get(WaveId(record.cause.id))
    return wave is not None and wave.state is WaveState.RUNNING


__all__ = [
    "DRAIN_LIMIT_SECONDS",
    "MOVE_SETTLE_SECONDS",
    "RETURN_LIMIT_SECONDS",
    "find_return_limit",
    "plan_give_up",
    "plan_progress",
]
