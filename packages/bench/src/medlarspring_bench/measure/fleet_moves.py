"""Counts VM moves on demand changes, against new placement and the minimum.

Command: ``python -m medlarspring_bench.measure.fleet moves``
"""

from __future__ import annotations

import hashlib
import random
from typing import TYPE_CHECKING

from medlarspring_bench.fleet_checker import FleetChecker
from medlarspring_bench.fleet_world import FleetShape, FleetWorld
from medlarspring_bench.vm_control_state import VMTimes

if TYPE_CHECKING:
    from medlarspring_tables import PoolId

CHANGES = 20
ROUNDS = 60
SHAPE = FleetShape(pools=6, vms_in_pool=8, wanted_vms=8, min_available=2)


def measure_moves(seeds: int = 3) -> None:
    """Print moves by the controllers, by new placement and with layers only."""
    done = least = reassigned = broken = 0
    layer_unmet = held_by_layers = 0
    for seed in range(seeds):
        rng = random.Random(seed)
        world = FleetWorld(SHAPE, 2, VMTimes(5.0, 20.0))
        checker = FleetChecker(world)
        vms = sorted(world.platform.rows_by_id)
        wanted = dict.fromkeys(sorted(world.config.pools_by_id), SHAPE.wanted_vms)
        placed = _assign_pools(vms, wanted)
        layers = dict(wanted)
        for _ in range(CHANGES):
            changed = _change(wanted, rng)
            least += sum(max(0, changed[each] - wanted[each]) for each in wanted)
            placed_now = _assign_pools(vms, changed)
            reassigned += sum(placed[vm] != placed_now[vm] for vm in vms)
            layer_unmet += sum(max(0, changed[each] - layers[each]) for each in layers)
            layers = {each: max(layers[each], changed[each]) for each in layers}
            wanted, placed = changed, placed_now
            for pool_id, count in wanted.items():
                world.set_wanted(pool_id, count, SHAPE.min_available)
            world.run_rounds(ROUNDS)
            members = checker.truth.vm_ids_by_pool
            assert all(len(members[each]) == wanted[each] for each in wanted)
        held_by_layers += sum(layers.values()) - len(vms)
        done += checker.moves
        broken += len(checker.violations)
    print(f"moves for {CHANGES} changes of demand, 48 VMs, 6 pools, {seeds} seeds")
    print(f"  by need          {done:5}  {done / least:5.2f} of the least ({least})")
    print(f"  placed afresh    {reassigned:5}  {reassigned / least:5.2f} of the least")
    print(
        f"  layers only          0  but {layer_unmet} VMs wanted had to be new ones;"
        f" {held_by_layers / seeds:.0f} VMs more held idle at the end"
    )
    print(f"  promises broken  {broken:5}")


def _change(wanted: dict[PoolId, int], rng: random.Random) -> dict[PoolId, int]:
    """Return a demand with the same total and VMs shifted between pools."""
    changed = dict(wanted)
    for _ in range(rng.randint(1, 2)):
        source_pool, target_pool = rng.sample(sorted(changed), 2)
        count = min(rng.randint(1, 3), changed[source_pool] - SHAPE.min_available)
        changed[source_pool] -= count
        changed[target_pool] += count
    return changed


def _assign_pools(vms: list[str], wanted: dict[PoolId, int]) -> dict[str, PoolId]:
    """Assign each VM by rendezvous hash to a pool that still needs VMs."""
    left = dict(wanted)
    placed: dict[str, PoolId] = {}
    for vm in vms:
        pool_id = max(
            (each for each in left if left[each] > 0),
            key=lambda each: hashlib.sha256(f"{vm}/{each}".encode()).digest(),
        )
        left[pool_id] -= 1
        placed[vm] = pool_id
    return placed


__all__ = ["measure_moves"]
