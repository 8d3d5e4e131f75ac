"""Size and layout of an emulated installation, and its configuration."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from medlarspring_bench.key_value_ops import PutOp
from medlarspring_bench.platform_world.partners import PartnerPlan, encode_partners
from medlarspring_tables.scheduling import Resources

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from medlarspring_bench.key_value_state import KeyValueState
    from medlarspring_bench.platform_world.adviser_model import AdvicePlan
    from medlarspring_bench.platform_world.fleet_model import FleetModel
    from medlarspring_bench.platform_world.processor import ProcessorPlan
    from medlarspring_tables import Seconds

STANDBY_POOL = "spare"
HOST = "jobs.example"


@dataclass(frozen=True, slots=True)
class QueuePlan:
    """A queue of the emulated installation."""

    name: str
    pool: str
    max_attempts: int = 3
    stretch: float = 1.6
    allowance_ms: int = 600
    priority: int = 0
    public: bool = False
    """Whether calls need no credential."""
    advice: AdvicePlan | None = None
    """For a restricted queue; one adviser serves all queues of a plan alike."""


@dataclass(frozen=True, slots=True)
class WorldPlan:
    """Size and layout of an installation."""

    nodes: int = 3
    pools: tuple[str, ...] = ("consent", "survey")
    vms_per_pool: int = 4
    standby_vms: int = 3
    zones: int = 2
    resources: Resources = Resources(16_000, 32_768, 0)
    unenforced_pools: tuple[str, ...] = ()
    """Pools whose workers start every task, even without enough resources."""
    worker_lease: Seconds = 10.0
    """Longest lease that a worker grants."""
    resets_connections: bool = False
    """Whether a worker that ends resets its open connections, or just falls silent."""
    queues: tuple[QueuePlan, ...] = (
        QueuePlan("lookup", "consent"),
        QueuePlan("check", "survey"),
        QueuePlan("archive", "consent", max_attempts=2),
    )
    partners: tuple[PartnerPlan, ...] = ()
    """Without any, calls need no credential."""
    processor: ProcessorPlan | None = None
    """Processor of each entry VM; None if its calls take no processor time."""

    def list_vm_ids(self) -> list[str]:
        """Return the ids of all VMs, the pools' VMs before the standby VMs."""
        count = len(self.pools) * self.vms_per_pool + self.standby_vms
        return [f"m-{number:03d}" for number in range(count)]


def write_operator_config(
    plan: WorldPlan,
    version: int,
    dropped: tuple[str, ...] = (),
    partners: Iterable[PartnerPlan] | None = None,
) -> dict[str, Any]:
    """Return the operator's configuration in the platform's format.

    ``partners`` replace those of the plan, if it has any.
    """
    routes = [
        _encode_queue(queue) for queue in plan.queues if queue.name not in dropped
    ]
    services: list[dict[str, Any]] = [
        {"name": pool, "rejectsOverload": pool not in plan.unenforced_pools}
        for pool in plan.pools
    ]
    services.append({"name": STANDBY_POOL, "standby": True})
    config = {"version": version, "routes": routes, "services": services}
    if plan.partners:
        present = plan.partners if partners is None else partners
        config["tenants"] = encode_partners(present)
    return config


def _encode_queue(queue: QueuePlan) -> dict[str, Any]:
    route: dict[str, Any] = {
        "name": queue.name,
        "host": HOST,
        "prefix": f"/{queue.name}/",
        "service": queue.pool,
        "priority": queue.priority,
        "maxAttempts": queue.max_attempts,
        "stretch": queue.stretch,
        "targetDurationMs": queue.allowance_ms,
        "public": queue.public,
    }
    if queue.advice is not None:
        route["hint"] = {
            "decideMs": queue.advice.decide_ms,
            "periodMs": queue.advice.period_ms,
            "validMs": queue.advice.valid_ms,
        }
    return route


def add_vms(plan: WorldPlan, fleet: FleetModel) -> None:
    """Boot the VMs of a plan, alternating between zones.

    Of four consecutive VMs, those in one zone share a rack.
    """
    for number, vm_id in enumerate(plan.list_vm_ids()):
        zone = number % plan.zones
        pool_number = number // plan.vms_per_pool
        is_pooled = pool_number < len(plan.pools)
        pool = plan.pools[pool_number] if is_pooled else STANDBY_POOL
        fleet.add_vm(
            vm_id, f"zone-{zone}", f"r{zone}-{number // 4}", pool, plan.resources
        )


def order_wave(
    state: KeyValueState,
    fleet: FleetModel,
    number: int,
    vms: Sequence[str],
    most: int,
    seconds: int,
) -> None:
    """Order maintenance, as the operator does."""
    fleet.waves[str(number)] = (set(vms), most)
    order = {
        "wave": number,
        "machines": list(vms),
        "deadlineS": seconds,
        "maxCount": most,
    }
    state.apply(PutOp(f"op/wave/{number}".encode(), json.dumps(order).encode()))


__all__ = [
    "HOST",
    "STANDBY_POOL",
    "QueuePlan",
    "WorldPlan",
    "add_vms",
    "order_wave",
    "write_operator_config",
]
