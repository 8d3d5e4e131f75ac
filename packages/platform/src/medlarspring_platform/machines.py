"""Client of the platform's machine control; its machines are VMs here."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from msgspec import Struct
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from medlarspring_adapters.decoding import ContentUndecodable, decode_json
from medlarspring_adapters.http_channel import HttpChannel, NotSent, Unanswered
from medlarspring_adapters.unreadable_records import UnreadableRecords
from medlarspring_adapters.vm_lifecycle import (
    Authority,
    VMControlUnresponsive,
    VMRefusal,
)
from medlarspring_platform import wire
from medlarspring_platform.operator_records import WireRoom, find_rack, to_resources
from medlarspring_tables import PoolId, VMId, WaveId, ZoneId
from medlarspring_tables.scheduling import VMEntry, VMPhase, WorkerId

if TYPE_CHECKING:
    from medlarspring_adapters.events import EventLog

TIMEOUT_SECONDS = 1.0
"""A response takes 15 ms, or 50 times as long when the platform is slow."""
MAX_PAGES = 100
HTTP_OK = 200
HTTP_BAD_REQUEST = 400
HTTP_CONFLICT = 409
HTTP_TOO_MANY = 429
HTTP_UNAVAILABLE = 503

_PHASES_BY_STATE = {
    "up": VMPhase.UP,
    "moving": VMPhase.MOVING,
    "upkeep": VMPhase.MAINTENANCE,
    "down": VMPhase.DOWN,
}
_REFUSALS_BY_REASON = {
    "fence": VMRefusal.FENCE,
    "busy": VMRefusal.BUSY,
    "wave": VMRefusal.NOT_IN_WAVE,
}


class WireMachine(Struct, rename="camel"):
    """A machine; ``id`` is its current worker, empty while the machine is off."""

    machine_id: str
    pool: str
    state: str
    zone: str = ""
    labels: list[str] = []
    capacity: WireRoom = msgspec.field(default_factory=WireRoom)
    id: str = ""


class WireMachineIds(Struct, rename="camel"):
    """The part of a machine without which the list of VMs is incomplete."""

    machine_id: str
    pool: str
    id: str = ""


class WireMachines(Struct, rename="camel"):
    """A page of machines."""

    machines: list[msgspec.Raw] = []
    """Of ``WireMachine``; decoded one by one, so that one fault costs one row."""
    next_token: str | None = None


class WireMove(Struct, rename="camel"):
    """A move to another pool."""

    machine_id: str
    pool: str


class WireUpkeep(Struct, rename="camel"):
    """Maintenance on behalf of a wave."""

    machine_id: str
    wave: int


class WireReason(Struct):
    """Reason for which an operation was refused."""

    reason: str = ""


class PlatformMachines:
    """Implements ``VMLifecycle`` over the platform's HTTP interface."""

    def __init__(self, address: str, log: EventLog) -> None:
        # The next controller may operate on a VM as soon as an operation of this one
        # can no longer be under way.
        self._channel = HttpChannel(address, drops_unsent=True)
        self._unreadable = UnreadableRecords(log)
        self.calls = 0

    async def close(self) -> None:
        """Close all connections."""
        await self._channel.close()

    async def list_vms(self) -> Result[tuple[VMEntry, ...], VMControlUnresponsive]:
        """Return all VMs."""
        machines: list[VMEntry] = []
        token: str | None = ""
        for _ in range(MAX_PAGES):
            path = wire.MACHINES_PATH + (f"?pageToken={token}" if token else "")
            self.calls += 1
            try:
                reply = await self._channel.call("GET", path, TIMEOUT_SECONDS)
                if reply.status != HTTP_OK:
                    detail = f"HTTP status {reply.status}"
                    return Failure(VMControlUnresponsive(detail, may_follow=False))
            except (NotSent, Unanswered) as error:
                return Failure(VMControlUnresponsive(str(error), may_follow=False))
            decoded = decode_json(reply.body, WireMachines)
            if not is_successful(decoded):
                detail = decoded.failure().detail
                return Failure(VMControlUnresponsive(detail, may_follow=False))
            page = decoded.unwrap()
            for row in page.machines:
                vm = self._read_vm(row)
                if not is_successful(vm):
                    detail = vm.failure().detail
                    return Failure(VMControlUnresponsive(detail, may_follow=False))
                machines.append(vm.unwrap())
            token = page.next_token
            if not token:
                return Success(tuple(machines))
        # A VM that is missing from a list counts as removed.
        detail = f"more than {MAX_PAGES} pages"
        return Failure(VMControlUnresponsive(detail, may_follow=False))

    def _read_vm(self, row: msgspec.Raw) -> Result[VMEntry, ContentUndecodable]:
        """Decode a row; a VM of which only the ids can be read has an unknown phase.

        Without the VM in the list, its worker's runs would count as lost.
        """
        decoded = decode_json(row, WireMachine)
        if is_successful(decoded):
            self._unreadable.clear_fault(_format_row_key(decoded.unwrap().machine_id))
            return decoded.map(_to_vm)
        ids = decode_json(row, WireMachineIds)
        if not is_successful(ids):
            return Failure(ids.failure())
        machine = ids.unwrap()
        key = _format_row_key(machine.machine_id)
        self._unreadable.report(key, decoded.failure().detail)
        return Success(
            _to_vm(WireMachine(machine.machine_id, machine.pool, "", id=machine.id))
        )

    async def move(
        self, vm_id: VMId, pool_id: PoolId, authority: Authority
    ) -> Result[VMRefusal | None, VMControlUnresponsive]:
        """Move a VM to a pool."""
        return await self._operate(
            wire.MACHINE_MOVE_PATH, WireMove(vm_id, pool_id), authority
        )

    async def maintain(
        self, vm_id: VMId, wave_id: WaveId, authority: Authority
    ) -> Result[VMRefusal | None, VMControlUnresponsive]:
        """Take a VM down for its maintenance."""
        return await self._operate(
            wire.MACHINE_UPKEEP_PATH, WireUpkeep(vm_id, int(wave_id)), authority
        )

    async def _operate(
        self, path: str, body: Struct, authority: Authority
    ) -> Result[VMRefusal | None, VMControlUnresponsive]:
        headers = {
            wire.HOLDER_HEADER: authority.holder,
            wire.FENCE_HEADER: str(authority.fence),
        }
        self.calls += 1
        content = msgspec.json.encode(body)
        try:
            reply = await self._channel.call(
                "POST", path, TIMEOUT_SECONDS, content, headers
            )
        except NotSent as error:
            return Failure(VMControlUnresponsive(str(error), may_follow=False))
        except Unanswered as error:
            return Failure(VMControlUnresponsive(str(error), may_follow=True))
        return _read_outcome(reply.status, reply.body)


def _read_outcome(
    status: int, body: bytes
) -> Result[VMRefusal | None, VMControlUnresponsive]:
    if status == HTTP_OK:
        return Success(None)
    if status == HTTP_CONFLICT:
        reason = decode_json(body, WireReason).value_or(WireReason()).reason
        return Success(_REFUSALS_BY_REASON.get(reason, VMRefusal.BUSY))
    if status == HTTP_BAD_REQUEST:
        return Success(VMRefusal.INVALID)
    if status in (HTTP_TOO_MANY, HTTP_UNAVAILABLE):
        return Success(VMRefusal.OVER_RATE)
    return Failure(VMControlUnresponsive(f"HTTP status {status}", may_follow=True))


def _format_row_key(machine_id: str) -> str:
    """Return what stands for the key of a VM's row in log lines."""
    return f"{wire.MACHINES_PATH}#{machine_id}"


def _to_vm(machine: WireMachine) -> VMEntry:
    return VMEntry(
        id=VMId(machine.machine_id),
        pool_id=PoolId(machine.pool),
        phase=_PHASES_BY_STATE.get(machine.state, VMPhase.UNKNOWN),
        zone_id=ZoneId(machine.zone),
        rack_id=find_rack(machine.labels),
        resources=to_resources(machine.capacity),
        worker_id=WorkerId(machine.id) if machine.id else None,
    )


__all__ = ["PlatformMachines"]
