"""Bodies of the operator port's routes for pools, VMs, waves and moves."""

from __future__ import annotations

from msgspec import Struct

from medlarspring_tables import PoolId, VMId, WaveId, ZoneId
from medlarspring_tables.moves import MoveRecord
from medlarspring_tables.vms import VMRecord


class StartWave(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A wave over VMs, pools or, if neither is named, the whole fleet."""

    id: WaveId
    operator: str
    vm_ids: tuple[VMId, ...] = ()
    pool_ids: tuple[PoolId, ...] = ()


class ChangeWave(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Pause, resume or abort a wave; the path says which."""

    operator: str
    reason: str = ""


class StartMoves(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Moves of named VMs, or of ``count`` VMs chosen by the source pool."""

    id: str
    operator: str
    from_pool_id: PoolId
    to_pool_id: PoolId
    count: int = 1
    vm_ids: tuple[VMId, ...] = ()


class WaveView(Struct, frozen=True, kw_only=True):
    """State and progress of a wave."""

    id: WaveId
    state: str
    reason: str
    created_by: str
    started_at: float
    vms: int
    counts_by_step: dict[str, int]
    expected_end: float | None
    """Wall time; None while there is no estimate."""
    resumes_at: float | None
    not_returned: tuple[VMId, ...] = ()
    blocks_by_pool: dict[PoolId, str] = {}


class WavesAnswer(Struct, frozen=True, kw_only=True):
    """Waves, newest first."""

    waves: tuple[WaveView, ...]


class MovesAnswer(Struct, frozen=True, kw_only=True):
    """Moves, newest first."""

    moves: tuple[MoveRecord, ...]


class VMView(Struct, frozen=True, kw_only=True):
    """A VM's record and the platform's view of the VM."""

    record: VMRecord
    health: str
    condition: str | None
    """None when the platform does not list the VM."""


class VMsAnswer(Struct, frozen=True, kw_only=True):
    """VMs by id."""

    vms: tuple[VMView, ...]


class PoolView(Struct, frozen=True, kw_only=True):
    """A pool's VMs compared with its availability budget."""

    id: PoolId
    wanted_vms: int
    min_available: int
    available: int
    disrupted: int
    failed: int
    unseen: int
    out: int
    room: int


class PoolsAnswer(Struct, frozen=True, kw_only=True):
    """Pools by id."""

    pools: tuple[PoolView, ...]


class SpareAnswer(Struct, frozen=True, kw_only=True):
    """Spare capacity in VMs, shared across pools and partners."""

    held: int
    needed: int
    short: int
    largest_domain: str
    domain_vms: int
    held_by_pool: dict[PoolId, int]
    held_by_zone: dict[ZoneId, int]


__all__ = [
    "ChangeWave",
    "MovesAnswer",
    "PoolView",
    "PoolsAnswer",
    "SpareAnswer",
    "StartMoves",
    "StartWave",
    "VMView",
    "VMsAnswer",
    "WaveView",
    "WavesAnswer",
]
