"""Plans one tick of control work for a pool, and the control of waves."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarspring_systems.adoption import plan_adoption, plan_record_removal
from medlarspring_systems.availability import record_failing_vms
from medlarspring_systems.draft import Draft
from medlarspring_systems.maintenance import plan_wave_drains
from medlarspring_systems.moves import (
    plan_move_drains,
    plan_move_removal,
    plan_needed_moves,
)
from medlarspring_systems.vm_progress import plan_give_up, plan_progress
from medlarspring_systems.wave_control import (
    plan_periodic_wave,
    plan_wave_control,
    plan_wave_removal,
)
from medlarspring_systems.wave_limits import CanaryLimit, RackReserveLimit

if TYPE_CHECKING:
    from medlarspring_systems.wave_limits import WaveLimit
    from medlarspring_tables import ConfigTable, PoolId, VMList
    from medlarspring_tables.fleet_tables import FleetTables


def plan_pool(
    tables: FleetTables,
    config: ConfigTable,
    pool_id: PoolId,
    vm_list: VMList | None,
    now: float,
    wave_limit: WaveLimit | None = None,
) -> Draft:
    """Return a draft of all changes that one pool's control work needs now.

    Moves are planned before waves because a shortage of VMs affects service,
    whereas maintenance can be delayed.
    """
    draft = Draft(tables)
    pool = config.pools_by_id.get(pool_id)
    if pool is None:
        return draft
    record_failing_vms(tables, pool_id, now)
    if vm_list is not None:
        plan_adoption(draft, pool, vm_list, now)
        plan_record_removal(draft, pool, vm_list, now)
    plan_progress(draft, pool, now)
    plan_give_up(draft, pool, now)
    plan_needed_moves(draft, pool, config.pools_by_id, now)
    plan_move_drains(draft, pool, config.pools_by_id, config.fleet, now)
    plan_wave_drains(
        draft, pool, config.fleet, wave_limit or RackReserveLimit(CanaryLimit()), now
    )
    plan_move_removal(draft, pool, now)
    return draft


def plan_waves(
    tables: FleetTables, config: ConfigTable, pool_id: PoolId, now: float
) -> Draft:
    """Return a draft of the state changes of waves.

    The holder of every pool evaluates all waves, so that a pause does not depend
    on a single process. The revision of the wave's record ensures that only one
    of them writes the change.
    """
    draft = Draft(tables)
    for wave in list(tables.open_waves_by_id.values()):
        plan_wave_control(draft, wave, now)
    if pool_id == min(config.pools_by_id, default=None):
        plan_periodic_wave(draft, now)
        plan_wave_removal(draft, now)
    return draft


__all__ = ["plan_pool", "plan_waves"]
