"""Client of the platform's list of VMs (Prometheus HTTP service discovery)."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING, TypeVar

import aiohttp
import msgspec
from msgspec import Struct, field
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from medlarspring_adapters.decoding import decode_json
from medlarspring_tables import (
    EntryVMId,
    ListedEntryVM,
    ListedState,
    ListedVM,
    MedlarspringError,
    PoolId,
    RackId,
    RegionId,
    VMId,
    VMList,
    ZoneId,
)
from medlarspring_tables.bounds import MAX_REAL

if TYPE_CHECKING:
    from collections.abc import Callable

    from medlarspring_tables import Seconds

Number = TypeVar("Number", int, float)

ROLE_ENTRY = "entry"
HTTP_OK = 200


class Labels(Struct):
    """Labels of one target; all values are strings, as published."""

    id: str
    role: str = "upstream"
    state: str = "live"
    pool: str = ""
    rack: str = ""
    zone: str = ""
    region: str = ""
    slots: str = "8"
    connections: str = "64"
    cpus: str = "32"
    memory_gb: str = "64"
    accelerators: str = "0"


class TargetGroup(Struct):
    """Targets that share their labels; a VM has one target."""

    labels: Labels
    targets: list[str] = field(default_factory=list)


class VMListUnavailable(MedlarspringError):
    """The list could not be read; the previous one stays in use."""

    code = "vm-list-unavailable"

    def __init__(self, detail: str) -> None:
        super().__init__(detail)
        self.detail = detail

    def message(self) -> str:
        """Return what failed and what to do."""
        return (
            f"The VM list gave no usable answer ({self.detail})."
            " The last one stays in use; check [vm_list] url."
        )


class VMListClient:
    """Reads the list with one GET request per call."""

    def __init__(self, url: str, timeout_seconds: Seconds) -> None:
        self._url = url
        self._timeout_seconds = timeout_seconds
        self.bytes_on_wire = 0
        """Size of the last answer's body as it was sent."""

    async def read(self, now: Seconds) -> Result[VMList, VMListUnavailable]:
        """Return the list, read over a new connection.

        Reads are seconds apart, and a kept connection that no longer passes data would
        cost a timeout while a new one works.
        """
        timeout = aiohttp.ClientTimeout(total=self._timeout_seconds)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.get(self._url) as response,
            ):
                if response.status != HTTP_OK:
                    detail = f"HTTP status {response.status}"
                    return Failure(VMListUnavailable(detail))
                content = await response.read()
                self.bytes_on_wire = response.content_length or len(content)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            reason = getattr(error, "strerror", None) or str(error) or "no answer"
            return Failure(VMListUnavailable(reason))
        return parse_vm_list(content, now)


def parse_vm_list(content: bytes, now: Seconds) -> Result[VMList, VMListUnavailable]:
    """Parse a response; rows that can't be read are skipped."""
    groups = decode_json(content, list[msgspec.Raw])
    if not is_successful(groups):
        detail = groups.failure().detail
        return Failure(VMListUnavailable(f"not a list of targets: {detail}"))
    vm_list = VMList(read_at=now)
    for raw in groups.unwrap():
        group = decode_json(raw, TargetGroup)
        if not is_successful(group):
            continue
        with contextlib.suppress(ValueError):
            _add_group(vm_list, group.unwrap())
    return Success(vm_list)


def _add_group(vm_list: VMList, group: TargetGroup) -> None:
    if not group.targets:
        return
    labels = group.labels
    address = group.targets[0]
    state = ListedState(labels.state)
    if labels.role == ROLE_ENTRY:
        entry_vm_id = EntryVMId(labels.id)
        vm_list.entry_vms_by_id[entry_vm_id] = ListedEntryVM(
            id=entry_vm_id,
            peer_address=address,
            zone_id=ZoneId(labels.zone),
            region_id=RegionId(labels.region),
            state=state,
        )
        return
    vm_id = VMId(labels.id)
    vm_list.vms_by_id[vm_id] = ListedVM(
        id=vm_id,
        address=address,
        pool_id=PoolId(labels.pool),
        rack_id=RackId(labels.rack),
        zone_id=ZoneId(labels.zone),
        region_id=RegionId(labels.region),
        state=state,
        slots=_read_size(labels.slots, int),
        connections=_read_size(labels.connections, int),
        cpus=_read_size(labels.cpus, float),
        memory_gb=_read_size(labels.memory_gb, float),
        accelerators=_read_size(labels.accelerators, int),
    )


def _read_size(text: str, read: Callable[[str], Number]) -> Number:
    """Return a size of a VM; raises ``ValueError`` if it is no number in bounds."""
    size = read(text)
    if not abs(size) <= MAX_REAL:
        raise ValueError("a size is out of bounds")
    return size


def create_vm_list_client(url: str, timeout_seconds: Seconds) -> VMListClient:
    """Return a client of the list at ``url``."""
    return VMListClient(url, timeout_seconds)


__all__ = [
    "VMListClient",
    "VMListUnavailable",
    "create_vm_list_client",
    "parse_vm_list",
]
