"""In-memory copy of all fleet records, with indexes updated on each change."""

from __future__ import annotations

from bisect import insort
from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from medlarspring_tables.ids import PoolId, Revision, VMId, WaveId, ZoneId
from medlarspring_tables.moves import MoveId, MoveRecord
from medlarspring_tables.pools import PoolDisruptions, ZoneDisruptions
from medlarspring_tables.vms import Outcome, VMRecord, VMState
from medlarspring_tables.waves import WaveRecord

if TYPE_CHECKING:
    from medlarspring_tables.vms import VMObservation

FleetRecord = VMRecord | PoolDisruptions | ZoneDisruptions | WaveRecord | MoveRecord

FLEET_PREFIX = "fleet/"
ABSENT = Revision(0)


def key_of_vm(vm_id: VMId) -> str:
    """Return the store key of a VM's record."""
    return f"fleet/vms/{vm_id}"


def key_of_disruptions(pool_id: PoolId) -> str:
    """Return the store key of a pool's list of disruptions."""
    return f"fleet/disruptions/{pool_id}"


def key_of_zone(zone_id: ZoneId) -> str:
    """Return the store key of a zone's list of disruptions."""
    return f"fleet/zones/{zone_id}"


def key_of_wave(wave_id: WaveId) -> str:
    """Return the store key of a wave."""
    return f"fleet/waves/{wave_id}"


def key_of_move(move_id: MoveId) -> str:
    """Return the store key of a move."""
    return f"fleet/moves/{move_id}"


def key_of(record: FleetRecord) -> str:
    """Return the store key of any fleet record."""
    match record:
        case VMRecord():
            return key_of_vm(record.id)
        case PoolDisruptions():
            return key_of_disruptions(record.pool_id)
        case ZoneDisruptions():
            return key_of_zone(record.zone_id)
        case WaveRecord():
            return key_of_wave(record.id)
        case MoveRecord():
            return key_of_move(record.id)


@dataclass(slots=True, frozen=True, order=True)
class FinishedVM:
    """Outcome of one VM in a wave; sorts by the time its maintenance began.

    A success is known long before a failure, which is only known at its
    timeout. Sorted by end time, failures that time out together would look
    consecutive although VMs between them succeeded.
    """

    began_at: float
    vm_id: VMId
    seconds: float = field(compare=False)
    outcome: Outcome = field(compare=False)


@dataclass(slots=True)
class FleetTables:
    """Fleet records by id, and indexes so that a tick does not scan all records."""

    vms_by_id: dict[VMId, VMRecord] = field(default_factory=dict)
    disruptions_by_pool: dict[PoolId, PoolDisruptions] = field(default_factory=dict)
    disruptions_by_zone: dict[ZoneId, ZoneDisruptions] = field(default_factory=dict)
    waves_by_id: dict[WaveId, WaveRecord] = field(default_factory=dict)
    moves_by_id: dict[MoveId, MoveRecord] = field(default_factory=dict)
    revisions_by_key: dict[str, Revision] = field(default_factory=dict)
    observations_by_id: dict[VMId, VMObservation] = field(default_factory=dict)
    failing_since_by_id: dict[VMId, float] = field(default_factory=dict)
    """Wall time since which a VM that should serve has been down or unseen."""
    short_since_by_pool: dict[PoolId, float] = field(default_factory=dict)
    """Wall time since which a pool has been below its wanted size."""
    vm_ids_by_pool: defaultdict[PoolId, set[VMId]] = field(
        default_factory=lambda: defaultdict(set)
    )
    busy_vm_ids_by_pool: defaultdict[PoolId, set[VMId]] = field(
        default_factory=lambda: defaultdict(set)
    )
    """VMs whose record is in any state except ``SERVING``."""
    finished_by_wave: defaultdict[WaveId, list[FinishedVM]] = field(
        default_factory=lambda: defaultdict(list)
    )
    failed_by_wave: defaultdict[WaveId, list[FinishedVM]] = field(
        default_factory=lambda: defaultdict(list)
    )
    """Subset of ``finished_by_wave`` with outcome ``NOT_RETURNED``."""
    open_waves_by_id: dict[WaveId, WaveRecord] = field(default_factory=dict)
    open_moves_by_id: dict[MoveId, MoveRecord] = field(default_factory=dict)

    def revision_of(self, key: str) -> Revision:
        """Return the last known revision of a key; ``ABSENT`` if there is none."""
        return self.revisions_by_key.get(key, ABSENT)

    def find(self, key: str) -> FleetRecord | None:
        """Return the record stored under a key, or None."""
        kind, _, id_ = key.removeprefix(FLEET_PREFIX).partition("/")
        match kind:
            case "vms":
                return self.vms_by_id.get(VMId(id_))
            case "disruptions":
                return self.disruptions_by_pool.get(PoolId(id_))
            case "zones":
                return self.disruptions_by_zone.get(ZoneId(id_))
            case "waves":
                return self.waves_by_id.get(WaveId(id_))
            case "moves":
                return self.moves_by_id.get(MoveId(id_))
            case _:
                return None

    def put(self, record: FleetRecord, revision: Revision) -> None:
        """Store a record unless a newer revision is known."""
        key = key_of(record)
        if revision <= self.revision_of(key):
            return
        self.revisions_by_key[key] = revision
        match record:
            case VMRecord():
                self._put_vm(record)
            case PoolDisruptions():
                self.disruptions_by_pool[record.pool_id] = record
            case ZoneDisruptions():
                self.disruptions_by_zone[record.zone_id] = record
            case WaveRecord():
                self.waves_by_id[record.id] = record
                self.open_waves_by_id.pop(record.id, None)
                if record.is_open:
                    self.open_waves_by_id[record.id] = record
            case MoveRecord():
                self.moves_by_id[record.id] = record
                self.open_moves_by_id.pop(record.id, None)
                if record.is_open:
                    self.open_moves_by_id[record.id] = record

    def remove(self, key: str, revision: Revision | None = None) -> None:
        """Remove a deleted key, unless a revision after ``revision`` is known."""
        if revision is not None and self.revision_of(key) > revision:
            return
        if self.revisions_by_key.pop(key, None) is None:
            return
        kind, _, id_ = key.removeprefix(FLEET_PREFIX).partition("/")
        match kind:
            case "vms":
                self._unindex_vm(self.vms_by_id.pop(VMId(id_), None))
            case "disruptions":
                self.disruptions_by_pool.pop(PoolId(id_), None)
            case "zones":
                self.disruptions_by_zone.pop(ZoneId(id_), None)
            case "waves":
                self.waves_by_id.pop(WaveId(id_), None)
                self.open_waves_by_id.pop(WaveId(id_), None)
                self.finished_by_wave.pop(WaveId(id_), None)
                self.failed_by_wave.pop(WaveId(id_), None)
            case "moves":
                self.moves_by_id.pop(MoveId(id_), None)
                self.open_moves_by_id.pop(MoveId(id_), None)

    def _put_vm(self, record: VMRecord) -> None:
        old = self.vms_by_id.get(record.id)
        self._unindex_vm(old)
        self.vms_by_id[record.id] = record
        self.vm_ids_by_pool[record.pool_id].add(record.id)
        if record.state is not VMState.SERVING:
            self.busy_vm_ids_by_pool[record.pool_id].add(record.id)
        if old is None or old.finished_at != record.finished_at:
            self._index_finish(record)

    def _unindex_vm(self, record: VMRecord | None) -> None:
        if record is None:
            return
        self.vm_ids_by_pool[record.pool_id].discard(record.id)
        self.busy_vm_ids_by_pool[record.pool_id].discard(record.id)

    def _index_finish(self, record: VMRecord) -> None:
        if record.wave_id is None or record.outcome is None:
            return
        finish = FinishedVM(
            record.began_at,
            record.id,
            record.finished_at - record.began_at,
            record.outcome,
        )
        insort(self.finished_by_wave[record.wave_id], finish)
        if record.outcome is Outcome.NOT_RETURNED:
            insort(self.failed_by_wave[record.wave_id], finish)


__all__ = [
    "ABSENT",
    "FLEET_PREFIX",
    "FinishedVM",
    "FleetRecord",
    "FleetTables",
    "key_of",
    "key_of_disruptions",
    "key_of_move",
    "key_of_vm",
    "key_of_wave",
    "key_of_zone",
]
