"""The operator's and the workers' records in the platform's store."""

from __future__ import annotations

from typing import Annotated, Literal, TypeVar

import msgspec
from msgspec import Struct
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from medlarspring_adapters.decoding import decode_json
from medlarspring_adapters.fleet_codec import RecordUnreadable
from medlarspring_platform import wire
from medlarspring_systems.credentials import digest_credential
from medlarspring_systems.weights import normalise_weight
from medlarspring_tables import PartnerId, PoolId, RackId, VMId, WaveId, ZoneId
from medlarspring_tables.bounds import MAX_WHOLE, Count, Real, Whole
from medlarspring_tables.scheduling import (
    AdvicePolicy,
    OperatorConfig,
    PartnerPolicy,
    PoolPolicy,
    QueueId,
    QueuePolicy,
    Resources,
    Route,
    WaveOrder,
    WorkerCondition,
    WorkerEntry,
    WorkerId,
)


class WireAdvice(Struct, rename="camel"):
    """Response time of the adviser and validity of its tickets."""

    decide_ms: Whole = 0
    period_ms: Whole = 0
    """Additional time for each worker named in a call."""
    valid_ms: Whole = 0


class WireRoute(Struct, rename="camel"):
    """A route; this platform's name for a queue of jobs."""

    name: str
    host: str = ""
    prefix: str = "/"
    service: str = ""
    """Pool whose workers run the queue's tasks."""
    priority: Whole = 0
    max_attempts: Whole = 1
    stretch: Real = 1.0
    target_duration_ms: Whole = 0
    """Allowance that is added to the stretched critical path."""
    hint: WireAdvice | None = None
    public: bool = False


class WireService(Struct, rename="camel"):
    """A service; this platform's name for a pool of VMs."""

    name: str
    rejects_overload: bool = True
    standby: bool = False


class WireLimits(Struct, rename="camel"):
    """Limits on callers' requests."""

    max_header_bytes: Whole = 16_384
    max_body_bytes: Whole = 262_144
    header_timeout_ms: Whole = 3_000
    idle_timeout_ms: Whole = 15_000


class WireRoom(Struct, rename="camel"):
    """Processors in thousandths, memory in MB, accelerators."""

    cpu: Whole = 0
    mem_mb: Whole = 0
    gpu: Whole = 0


class WireTenant(Struct, rename="camel"):
    """A tenant; this platform's name for a partner."""

    name: str
    api_keys: list[str] = []
    weight: float | None = None
    """Counts as 1 if it is missing, not positive or not finite."""
    max_count: WireRoom = msgspec.field(default_factory=WireRoom)
    """Limit on what runs at a time; 0 for no limit."""

    def __repr__(self) -> str:
        """Return the name only, so that no log or traceback contains the keys."""
        return f"WireTenant({self.name!r})"


class WireConfig(Struct, rename="camel"):
    """The whole configuration."""

    version: Whole
    routes: list[WireRoute] = []
    services: list[WireService] = []
    limits: WireLimits = msgspec.field(default_factory=WireLimits)
    tenants: list[WireTenant] | None = None
    """None on installations whose callers have no keys."""


class WireWave(Struct, rename="camel"):
    """An order to maintain machines."""

    wave: Whole
    machines: list[str]
    deadline_s: Real = 0.0
    max_count: Whole = 1


class WireWaveStatus(Struct, rename="camel"):
    """Progress of a wave."""

    wave: int
    state: str


Name = Annotated[str, msgspec.Meta(min_length=1)]
Address = Annotated[str, msgspec.Meta(pattern=wire.ADDRESS_PATTERN)]


class WireWorkerRoom(Struct, rename="camel"):
    """Resources that a worker offers; ``cpu`` must be positive to run any task."""

    cpu: Annotated[int, msgspec.Meta(gt=0, le=MAX_WHOLE)]
    mem_mb: Count
    gpu: Count = 0


class WireWorker(Struct, rename="camel"):
    """A worker's entry.

    Other programs may write under the workers' prefix. Every entry written by a
    worker has the fields without a default. An entry that lacks one, or has it with
    another type, is rejected: orders to it would reach no worker, and their tasks
    would wait.
    """

    service: Name
    address: Address
    zone: Name
    state: Literal["ready", "draining"]
    capacity: WireWorkerRoom
    machine_id: Name
    version: str = ""
    slots: Count = 0
    seq: Count = 0
    warmup_left_ms: Count = 0
    labels: list[str] = []
    clock_ms: Count = 0
    born: Count = 0


Record = TypeVar("Record", bound=Struct)


def to_resources(resources: WireRoom) -> Resources:
    """Convert a capacity of the platform to ``Resources``."""
    return Resources(resources.cpu, resources.mem_mb, resources.gpu)


def find_rack(labels: list[str]) -> RackId:
    """Return the rack among a worker's labels, or an empty id if there is none."""
    for label in labels:
        if label.startswith(wire.RACK_LABEL_PREFIX) and "-" in label:
            return RackId(label)
    return RackId("")


def _is_worker_id(text: str) -> bool:
    """Return whether an id is valid in the header that each order carries."""
    return bool(text) and text.isascii() and text.isprintable() and " " not in text


class PlatformCodec:
    """Implements ``FleetCodec`` for the platform's store."""

    operator_prefix = wire.OPERATOR_PREFIX
    worker_prefix = wire.WORKER_PREFIX

    def is_config(self, key: str) -> bool:
        """Return whether the key holds the configuration."""
        return key == wire.CONFIG_KEY

    def is_wave(self, key: str) -> bool:
        """Return whether the key holds the order of a maintenance wave."""
        return key.startswith(wire.WAVE_PREFIX)

    def decode_config(
        self, key: str, value: bytes
    ) -> Result[OperatorConfig, RecordUnreadable]:
        """Decode the operator's configuration."""
        return _decode(key, value, WireConfig).map(_to_config)

    def decode_wave(
        self, key: str, value: bytes
    ) -> Result[WaveOrder, RecordUnreadable]:
        """Decode the order of a wave."""
        return _decode(key, value, WireWave).map(_to_wave)

    def decode_worker(
        self, key: str, value: bytes
    ) -> Result[WorkerEntry, RecordUnreadable]:
        """Decode a worker's entry."""
        decoded = _decode(key, value, WireWorker)
        if not is_successful(decoded):
            return Failure(decoded.failure())
        entry = decoded.unwrap()
        worker_id = key.removeprefix(wire.WORKER_PREFIX)
        if not _is_worker_id(worker_id):
            return Failure(RecordUnreadable(key, "its key contains no valid worker id"))
        return Success(
            WorkerEntry(
                id=WorkerId(worker_id),
                vm_id=VMId(entry.machine_id),
                pool_id=PoolId(entry.service),
                zone_id=ZoneId(entry.zone),
                address=entry.address,
                condition=WorkerCondition(entry.state),
                resources=Resources(
                    entry.capacity.cpu, entry.capacity.mem_mb, entry.capacity.gpu
                ),
                labels=tuple(entry.labels),
                rack_id=find_rack(entry.labels),
                clock_ms=entry.clock_ms,
                warmup_ms=entry.warmup_left_ms,
                born_ms=entry.born,
            )
        )

    def encode_wave_status(
        self, wave_id: WaveId, *, complete: bool
    ) -> tuple[str, bytes]:
        """Return the key and value that report a wave's progress to the operator."""
        state = "complete" if complete else "active"
        status = WireWaveStatus(wave=int(wave_id), state=state)
        return f"{wire.WAVE_STATUS_PREFIX}{wave_id}", msgspec.json.encode(status)


def _decode(
    key: str, value: bytes, record_type: type[Record]
) -> Result[Record, RecordUnreadable]:
    return decode_json(value, record_type).alt(
        lambda fault: RecordUnreadable(key, fault.detail)
    )


def _to_wave(order: WireWave) -> WaveOrder:
    return WaveOrder(
        id=WaveId(str(order.wave)),
        vm_ids=tuple(VMId(machine) for machine in order.machines),
        deadline_seconds=order.deadline_s,
        max_at_once=max(order.max_count, 1),
    )


def _to_config(config: WireConfig) -> OperatorConfig:
    routes = tuple(
        Route(
            host=route.host,
            prefix=route.prefix,
            queue=_to_queue(route),
            public=route.public,
        )
        for route in config.routes
    )
    return OperatorConfig(
        version=config.version,
        routes=routes,
        pools_by_id={
            PoolId(service.name): PoolPolicy(
                id=PoolId(service.name),
                enforces_resources=service.rejects_overload,
                standby=service.standby,
            )
            for service in config.services
        },
        queues_by_id={route.queue.id: route.queue for route in routes},
        partners_by_id={
            PartnerId(tenant.name): _to_partner(tenant)
            for tenant in config.tenants or ()
        },
        requires_credentials=config.tenants is not None,
        max_body_bytes=config.limits.max_body_bytes,
        max_header_bytes=config.limits.max_header_bytes,
        header_timeout_ms=config.limits.header_timeout_ms,
        idle_timeout_ms=config.limits.idle_timeout_ms,
    )


def _to_partner(tenant: WireTenant) -> PartnerPolicy:
    return PartnerPolicy(
        id=PartnerId(tenant.name),
        weight=normalise_weight(tenant.weight),
        quota=to_resources(tenant.max_count),
        credentials_sha256=tuple(map(digest_credential, tenant.api_keys)),
    )


def _to_queue(route: WireRoute) -> QueuePolicy:
    advice = None
    if route.hint is not None:
        advice = AdvicePolicy(
            decide_ms=route.hint.decide_ms,
            per_worker_ms=route.hint.period_ms,
            valid_ms=route.hint.valid_ms,
        )
    return QueuePolicy(
        id=QueueId(route.name),
        pool_id=PoolId(route.service),
        priority=route.priority,
        max_attempts=route.max_attempts,
        stretch=route.stretch,
        allowance_ms=route.target_duration_ms,
        advice=advice,
    )


__all__ = ["PlatformCodec", "WireRoom", "find_rack", "to_resources"]
