"""Handles operators' commands on waves and moves, using the records in the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from medlarspring_adapters.entry_attempts import EntriesNotApplied
from medlarspring_adapters.fleet_records import (
    TYPES_BY_PREFIX,
    apply_listing,
    encode_record,
)
from medlarspring_adapters.store import Expect, Put, Transaction
from medlarspring_systems.wave_control import (
    WaveRefused,
    abort_wave,
    create_wave,
    pause_wave,
    resume_wave,
)
from medlarspring_tables import EditId, MedlarspringError, VMId, WaveId
from medlarspring_tables.audit import AuditRecord, RowChange, format_side_audit_key
from medlarspring_tables.fleet_tables import FleetTables, key_of
from medlarspring_tables.moves import MoveId, MoveRecord

if TYPE_CHECKING:
    from collections.abc import Sequence

    from medlarspring_adapters.clock import Clock
    from medlarspring_adapters.fleet_api import ChangeWave, StartMoves, StartWave
    from medlarspring_adapters.store import Store
    from medlarspring_adapters.unreadable_records import UnreadableRecords
    from medlarspring_tables import ConfigTable
    from medlarspring_tables.audit import FieldValue
    from medlarspring_tables.waves import WaveRecord

MAX_ATTEMPTS = 4
MAX_MOVES = 32
"""Limit of moves for one command, as all are written in one transaction."""


class MovesRefused(MedlarspringError):
    """The requested moves are invalid."""

    code = "moves-refused"

    def __init__(self, reason: str, remedy: str) -> None:
        super().__init__(reason, remedy)
        self.reason = reason
        self.remedy = remedy

    def message(self) -> str:
        """Return the reason and a remedy."""
        return f"No VM is moved: {self.reason}. {self.remedy}"


class FleetRecordConflict(MedlarspringError):
    """Every attempt conflicted with a concurrent change of the same record."""

    code = "edit-raced"

    def message(self) -> str:
        """Say that nothing was changed and that the command can be repeated."""
        return (
            "Others changed the same record at the same time and nothing was"
            " changed by this command. Repeat it."
        )


class FleetCommandHandler:
    """Writes operators' commands as records, which the holders of pools carry out."""

    def __init__(
        self,
        store: Store,
        clock: Clock,
        entry_vm_id: str,
        unreadable: UnreadableRecords,
    ) -> None:
        self._store = store
        self._clock = clock
        self._entry_vm_id = entry_vm_id
        self._unreadable = unreadable

    async def load(self) -> Result[FleetTables, MedlarspringError]:
        """Read all fleet records."""
        tables = FleetTables()
        for prefix in TYPES_BY_PREFIX:
            listed = await self._store.read_prefix(prefix)
            if not is_successful(listed):
                return Failure(listed.failure())
            try:
                apply_listing(tables, prefix, listed.unwrap(), self._unreadable)
            except EntriesNotApplied as error:
                for key, fault in error.errors_by_key.items():
                    self._unreadable.report(key, repr(fault))
        return Success(tables)

    async def start_wave(
        self, command: StartWave, config: ConfigTable, origin: str
    ) -> Result[WaveRecord, MedlarspringError]:
        """Start a wave; a repetition of the command changes nothing."""
        loaded = await self.load()
        if not is_successful(loaded):
            return Failure(loaded.failure())
        tables = loaded.unwrap()
        existing = tables.waves_by_id.get(command.id)
        if existing is not None and existing.created_by == command.operator:
            return Success(existing)
        created = create_wave(
            tables,
            command.id,
            command.vm_ids,
            command.pool_ids,
            command.operator,
            self._clock.wall(),
        )
        if not is_successful(created):
            return Failure(created.failure())
        wave = created.unwrap()
        audit = self._audit(config, command.operator, origin, "wave start", wave.id)
        change = _wave_change(None, wave)
        written = await self._write(tables, [wave], audit, [change])
        if not is_successful(written):
            return Failure(written.failure())
        return Success(wave) if written.unwrap() else Failure(FleetRecordConflict())

    async def change_wave(
        self,
        wave_id: WaveId,
        action: str,
        command: ChangeWave,
        config: ConfigTable,
        origin: str,
    ) -> Result[WaveRecord, MedlarspringError]:
        """Pause, resume or abort a wave."""
        for _ in range(MAX_ATTEMPTS):
            loaded = await self.load()
            if not is_successful(loaded):
                return Failure(loaded.failure())
            tables = loaded.unwrap()
            wave = tables.waves_by_id.get(wave_id)
            if wave is None:
                remedy = "See `medlarspring wave list` for the waves."
                return Failure(WaveRefused(wave_id, "there is no such wave", remedy))
            changed = self._change(wave, action, command)
            if not is_successful(changed):
                return Failure(changed.failure())
            new = changed.unwrap()
            what = f"wave {action}"
            audit = self._audit(config, command.operator, origin, what, wave_id)
            change = _wave_change(wave, new)
            written = await self._write(tables, [new], audit, [change])
            if not is_successful(written):
                return Failure(written.failure())
            if written.unwrap():
                return Success(new)
        return Failure(FleetRecordConflict())

    def _change(
        self, wave: WaveRecord, action: str, command: ChangeWave
    ) -> Result[WaveRecord, WaveRefused]:
        now = self._clock.wall()
        reason = command.reason or f"by {command.operator}"
        if action == "pause":
            return pause_wave(wave, reason, now)
        if action == "resume":
            return resume_wave(wave, now)
        return abort_wave(wave, reason, now)

    async def start_moves(
        self, command: StartMoves, config: ConfigTable, origin: str
    ) -> Result[tuple[MoveRecord, ...], MedlarspringError]:
        """Request moves; a repetition of the command changes nothing."""
        refusal = _find_refusal(command, config)
        if refusal is not None:
            return Failure(refusal)
        loaded = await self.load()
        if not is_successful(loaded):
            return Failure(loaded.failure())
        tables = loaded.unwrap()
        moves = self._create_moves(command)
        known = [tables.moves_by_id.get(move.id) for move in moves]
        if all(known):
            return Success(tuple(move for move in known if move is not None))
        audit = self._audit(config, command.operator, origin, "move start", command.id)
        changes = [_move_change(move) for move in moves]
        written = await self._write(tables, moves, audit, changes)
        if not is_successful(written):
            return Failure(written.failure())
        return (
            Success(tuple(moves))
            if written.unwrap()
            else Failure(FleetRecordConflict())
        )

    def _create_moves(self, command: StartMoves) -> list[MoveRecord]:
        vm_ids: list[VMId | None] = [*command.vm_ids] or [None] * command.count
        return [
            MoveRecord(
                id=MoveId(f"{command.id}-{number}"),
                from_pool_id=command.from_pool_id,
                to_pool_id=command.to_pool_id,
                vm_id=vm_id,
                created_by=command.operator,
                created_at=self._clock.wall(),
            )
            for number, vm_id in enumerate(vm_ids)
        ]

    def _audit(
        self, config: ConfigTable, operator: str, origin: str, action: str, id_: str
    ) -> AuditRecord:
        at = self._clock.wall()
        return AuditRecord(
            revision=config.revision,
            edit_id=EditId(f"{action.replace(' ', '-')}-{id_}-{at:.3f}"),
            at=at,
            operator=operator,
            origin=f"{origin} by {self._entry_vm_id}",
            action=action,
        )

    async def _write(
        self,
        tables: FleetTables,
        records: Sequence[WaveRecord | MoveRecord],
        audit: AuditRecord,
        changes: Sequence[RowChange],
    ) -> Result[bool, MedlarspringError]:
        """Write records and their audit record in one transaction.

        Returns False if a record was changed concurrently and nothing was written.
        """
        audit = msgspec.structs.replace(audit, changes=tuple(changes))
        expects = tuple(
            Expect(key_of(record), tables.revision_of(key_of(record)))
            for record in records
        )
        writes = [Put(key_of(record), encode_record(record)) for record in records]
        writes.append(Put(format_side_audit_key(audit), msgspec.json.encode(audit)))
        result = await self._store.commit(Transaction(expects, tuple(writes)))
        if not is_successful(result):
            return Failure(result.failure())
        return Success(result.unwrap().succeeded)


def _find_refusal(command: StartMoves, config: ConfigTable) -> MovesRefused | None:
    for pool_id in (command.from_pool_id, command.to_pool_id):
        if pool_id not in config.pools_by_id:
            remedy = "See `medlarspring pool list` for the pools."
            return MovesRefused(f"there is no pool {pool_id}", remedy)
    if command.from_pool_id == command.to_pool_id:
        return MovesRefused("both pools are the same", "Name two pools.")
    count = len(command.vm_ids) or command.count
    if not 1 <= count <= MAX_MOVES:
        remedy = f"Request 1 to {MAX_MOVES} moves at a time."
        return MovesRefused(f"{count} VMs in one command", remedy)
    return None


def _wave_change(before: WaveRecord | None, after: WaveRecord) -> RowChange:
    return RowChange(
        kind="wave",
        id=after.id,
        before=_describe_wave(before) if before is not None else None,
        after=_describe_wave(after),
    )


def _describe_wave(wave: WaveRecord) -> dict[str, FieldValue]:
    return {"state": wave.state.value, "reason": wave.reason, "vms": len(wave.vm_ids)}


def _move_change(move: MoveRecord) -> RowChange:
    after: dict[str, FieldValue] = {
        "from_pool_id": move.from_pool_id,
        "to_pool_id": move.to_pool_id,
        "vm_id": move.vm_id,
    }
    return RowChange(kind="move", id=move.id, after=after)


__all__ = ["FleetCommandHandler", "FleetRecordConflict", "MovesRefused"]
