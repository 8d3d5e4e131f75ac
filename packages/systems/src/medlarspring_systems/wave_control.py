"""Starts, pauses, resumes and ends maintenance waves."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from returns.result import Failure, Result, Success

from medlarspring_systems.draft import DecisionKind
from medlarspring_systems.maintenance import has_ended
from medlarspring_systems.wave_limits import OUTCOME_WINDOW, find_recent_outcomes
from medlarspring_tables import MedlarspringError, WaveId
from medlarspring_tables.fleet_tables import key_of_wave
from medlarspring_tables.vms import Outcome, VMState
from medlarspring_tables.waves import WaveRecord, WaveState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from medlarspring_systems.draft import Draft
    from medlarspring_tables import PoolId, VMId
    from medlarspring_tables.fleet_tables import FinishedVM, FleetTables

DAY_SECONDS = 86_400.0
PERIOD_SECONDS = 42 * DAY_SECONDS
"""Period in which every VM is maintained once."""
PERIODIC_WAVE_LEAD_SECONDS = 7 * DAY_SECONDS
"""A VM is due for the periodic wave this long before the end of its period."""
MAX_FAILURES_IN_A_ROW = 3
"""Consecutive failures that pause a wave."""
MAX_RECENT_FAILURES = 5
"""Failures among the last ``OUTCOME_WINDOW`` VMs that pause a wave."""
FIRST_PAUSE_SECONDS = 600.0
"""Length of a wave's first pause because of failures; doubles with each pause."""
MAX_PAUSE_SECONDS = 4 * 3_600.0


class WaveRefused(MedlarspringError):
    """An operator's command on a wave cannot be carried out."""

    code = "wave-refused"

    def __init__(self, wave_id: WaveId, reason: str, remedy: str) -> None:
        super().__init__(wave_id, reason, remedy)
        self.wave_id = wave_id
        self.reason = reason
        self.remedy = remedy

    def message(self) -> str:
        """Return why the command was refused and what to do."""
        return f"Wave {self.wave_id}: {self.reason}. {self.remedy}"


def create_wave(
    tables: FleetTables,
    wave_id: WaveId,
    vm_ids: Iterable[VMId],
    pool_ids: Iterable[PoolId],
    created_by: str,
    now: float,
) -> Result[WaveRecord, WaveRefused]:
    """Return a new wave over the given VMs and pools, or all VMs if none is given."""
    scope = set(vm_ids)
    for pool_id in pool_ids:
        members = tables.vm_ids_by_pool.get(pool_id, set())
        if not members:
            remedy = "See `medlarspring pool list` for the pools."
            return Failure(WaveRefused(wave_id, f"pool {pool_id} has no VM", remedy))
        scope |= members
    unknown = sorted(scope - tables.vms_by_id.keys())
    if unknown:
        reason = f"there is no VM {', '.join(unknown)}"
        remedy = "See `medlarspring vm list` for the VMs."
        return Failure(WaveRefused(wave_id, reason, remedy))
    if wave_id in tables.waves_by_id:
        remedy = "Watch it with `medlarspring wave show`, or choose another id."
        return Failure(WaveRefused(wave_id, "it exists already", remedy))
    return Success(
        WaveRecord(
            id=wave_id,
            vm_ids=frozenset(scope or tables.vms_by_id),
            created_by=created_by,
            started_at=now,
            resumed_at=now,
        )
    )


def pause_wave(
    wave: WaveRecord, reason: str, now: float
) -> Result[WaveRecord, WaveRefused]:
    """Return the wave paused by an operator, until it is resumed by one."""
    if wave.state is not WaveState.RUNNING:
        return Failure(_refuse_state(wave, "Only a running wave can be paused."))
    paused = {"state": WaveState.PAUSED, "reason": reason, "resumes_at": 0.0}
    return Success(msgspec.structs.replace(wave, **paused))


def resume_wave(wave: WaveRecord, now: float) -> Result[WaveRecord, WaveRefused]:
    """Return the wave resumed; earlier outcomes no longer count."""
    if wave.state is not WaveState.PAUSED:
        return Failure(_refuse_state(wave, "Only a paused wave can be resumed."))
    return Success(_resume(wave, now, pauses=0))


def abort_wave(
    wave: WaveRecord, reason: str, now: float
) -> Result[WaveRecord, WaveRefused]:
    """Return the wave aborted; its drains are cancelled, its reboots complete."""
    if not wave.is_open:
        return Failure(_refuse_state(wave, "It has ended; start another one."))
    aborted = {"state": WaveState.ABORTED, "reason": reason, "ended_at": now}
    return Success(msgspec.structs.replace(wave, **aborted))


def _refuse_state(wave: WaveRecord, remedy: str) -> WaveRefused:
    return WaveRefused(wave.id, f"it is {wave.state.value}", remedy)


def _resume(wave: WaveRecord, now: float, pauses: int) -> WaveRecord:
    return msgspec.structs.replace(
        wave,
        state=WaveState.RUNNING,
        reason="",
        resumed_at=now,
        resumes_at=0.0,
        pauses=pauses,
    )


def plan_wave_control(draft: Draft, wave: WaveRecord, now: float) -> None:
    """Draft the pause, resumption or end of a wave that its outcomes call for."""
    changed = _evaluate_wave(draft.tables, wave, now)
    if changed is None:
        return
    draft.put(changed)
    draft.record_decision(
        _DECISIONS_BY_STATE[changed.state],
        changed.reason or "evidence",
        wave_id=wave.id,
        pauses=changed.pauses,
    )


_DECISIONS_BY_STATE = {
    WaveState.RUNNING: DecisionKind.RESUME,
    WaveState.PAUSED: DecisionKind.PAUSE,
    WaveState.DONE: DecisionKind.FINISH,
}


def _evaluate_wave(
    tables: FleetTables, wave: WaveRecord, now: float
) -> WaveRecord | None:
    if wave.state is WaveState.PAUSED:
        if 0.0 < wave.resumes_at <= now:
            return _resume(wave, now, wave.pauses)
        return None
    reason = find_pause_reason(find_recent_outcomes(tables, wave), wave)
    if reason:
        wait = min(FIRST_PAUSE_SECONDS * 2**wave.pauses, MAX_PAUSE_SECONDS)
        return msgspec.structs.replace(
            wave,
            state=WaveState.PAUSED,
            reason=reason,
            resumes_at=now + wait,
            pauses=wave.pauses + 1,
        )
    if _is_done(tables, wave):
        done = {"state": WaveState.DONE, "reason": "all VMs done", "ended_at": now}
        return msgspec.structs.replace(wave, **done)
    return None


def find_pause_reason(outcomes: list[FinishedVM], wave: WaveRecord) -> str:
    """Return why the failures of a wave look correlated, or an empty string.

    One VM in fifty fails a reboot by chance. Three such failures in a row occur
    about once in 125,000 VMs, and five among twenty are equally rare. After a
    pause, any failure pauses the wave again until one VM has returned.
    """
    failed = [
        finish.vm_id for finish in outcomes if finish.outcome is Outcome.NOT_RETURNED
    ]
    consecutive_failures = _count_consecutive_failures(outcomes)
    lacks_returned_vm = wave.pauses > 0 and consecutive_failures == len(outcomes)
    if lacks_returned_vm and consecutive_failures > 0:
        return f"the trial VM {failed[-1]} did not return"
    if consecutive_failures >= MAX_FAILURES_IN_A_ROW:
        names = ", ".join(failed[-consecutive_failures:])
        return f"{consecutive_failures} VMs in a row did not return ({names})"
    if len(failed) >= MAX_RECENT_FAILURES:
        return f"{len(failed)} of the last {OUTCOME_WINDOW} VMs did not return"
    return ""


def _count_consecutive_failures(outcomes: list[FinishedVM]) -> int:
    count = 0
    for finish in reversed(outcomes):
        if finish.outcome is not Outcome.NOT_RETURNED:
            break
        count += 1
    return count


def _is_done(tables: FleetTables, wave: WaveRecord) -> bool:
    for vm_id in wave.vm_ids:
        record = tables.vms_by_id.get(vm_id)
        if record is None or has_ended(wave, record):
            continue
        if record.state is not VMState.OUT:
            return False
    return True


def plan_periodic_wave(draft: Draft, now: float) -> None:
    """Draft the next periodic wave once any VM is due for maintenance."""
    tables = draft.tables
    if any(
        wave.created_by == PERIODIC_WAVE_CREATOR
        for wave in tables.open_waves_by_id.values()
    ):
        return
    due_before = now - (PERIOD_SECONDS - PERIODIC_WAVE_LEAD_SECONDS)
    due = [
        record.id
        for record in tables.vms_by_id.values()
        if record.maintained_at <= due_before and record.state is not VMState.OUT
    ]
    wave_id = WaveId(f"standing-{int(now // DAY_SECONDS)}")
    if not due or wave_id in tables.waves_by_id:
        return
    draft.put(
        WaveRecord(
            id=wave_id,
            vm_ids=frozenset(due),
            created_by=PERIODIC_WAVE_CREATOR,
            started_at=now,
            resumed_at=now,
        )
    )
    draft.record_decision(
        DecisionKind.START, "once-in-six-weeks", wave_id=wave_id, vms=len(due)
    )


def plan_wave_removal(draft: Draft, now: float) -> None:
    """Draft the deletion of waves that ended more than a period ago."""
    for wave in list(draft.tables.waves_by_id.values()):
        if not wave.is_open and now - wave.ended_at > PERIOD_SECONDS:
            draft.delete(key_of_wave(wave.id))


PERIODIC_WAVE_CREATOR = "standing order"
"""Value of ``created_by`` that marks periodic waves."""

__all__ = [
    "PERIODIC_WAVE_CREATOR",
    "WaveRefused",
    "abort_wave",
    "create_wave",
    "find_pause_reason",
    "pause_wave",
    "plan_wave_removal",
    "plan_periodic_wave",
    "plan_wave_control",
    "resume_wave",
]
