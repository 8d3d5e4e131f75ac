"""Client of the platform's VM control: read, drain, reboot, restore and assign VMs.

Each action carries the revision of the record that requests it. The platform refuses
an action that is older than one it has accepted for the VM, and executes none twice.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import aiohttp
import msgspec
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from medlarspring_adapters.decoding import ContentUndecodable, decode_json
from medlarspring_tables import MedlarspringError, PoolId, Revision, VMId
from medlarspring_tables.bounds import StoreNumber
from medlarspring_tables.vms import VMCondition, VMObservation

if TYPE_CHECKING:
    from collections.abc import Collection

    from medlarspring_systems.vm_actions import Action


class VMControlError(MedlarspringError):
    """The platform did not confirm the request."""


class VMControlUnreachable(VMControlError):
    """No answer: the action may have been carried out."""

    code = "vm-control-unreachable"

    def __init__(self, detail: str) -> None:
        super().__init__(detail)
        self.detail = detail

    def message(self) -> str:
        """Return what failed and what happens next."""
        return (
            f"The platform's VM control gave no answer ({self.detail}). The action"
            " is repeated with the same revision; check [vm_control] url."
        )


class VMActionRefused(VMControlError):
    """The platform refused an action; it had no effect."""

    code = "vm-action-refused"

    def __init__(self, vm_id: VMId, reason: str) -> None:
        super().__init__(vm_id, reason)
        self.vm_id = vm_id
        self.reason = reason

    def message(self) -> str:
        """Return what was refused and what happens next."""
        return (
            f"The platform refused an action on VM {self.vm_id}: {self.reason}."
            " The VM's record is read again; no action is needed."
        )


class VMControl(Protocol):
    """Reads the state of VMs and requests actions on them."""

    async def read_vms(
        self, pool_ids: Collection[PoolId], vm_ids: Collection[VMId]
    ) -> Result[list[VMObservation], VMControlError]:
        """Return the VMs that the platform lists for the pools, and the named ones."""
        ...

    async def act(
        self,
        vm_id: VMId,
        action: Action,
        revision: Revision,
        pool_id: PoolId | None = None,
    ) -> Result[VMObservation, VMControlError]:
        """Request an action, idempotent by revision; ``pool_id`` is for assign."""
        ...


class _VMDocument(msgspec.Struct):
    id: VMId
    pool: PoolId
    condition: VMCondition
    boot: StoreNumber
    revision: Revision

    def to_observation(self) -> VMObservation:
        return VMObservation(
            vm_id=self.id,
            pool_id=self.pool,
            condition=self.condition,
            boot=self.boot,
            revision=self.revision,
        )


class _Refusal(msgspec.Struct):
    reason: str = "no reason given"


def _describe_malformed(fault: ContentUndecodable) -> VMControlUnreachable:
    return VMControlUnreachable(f"malformed answer: {fault.detail}")


class HttpVMControl:
    """Implements ``VMControl`` with JSON over HTTP."""

    def __init__(self, url: str, timeout_seconds: float = 2.0) -> None:
        self._url = url.rstrip("/")
        self._timeout = aiohttp.ClientTimeout(total=timeout_seconds)
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def read_vms(
        self, pool_ids: Collection[PoolId], vm_ids: Collection[VMId]
    ) -> Result[list[VMObservation], VMControlError]:
        """Return the VMs of the pools and the named ones."""
        query: list[tuple[str, str]]
        query = [("pool", pool_id) for pool_id in sorted(pool_ids)]
        query += [("vm", vm_id) for vm_id in sorted(vm_ids)]
        answered = await self._call("GET", "/vms", query=query)
        if not isinstance(answered, Success):
            return Failure(answered.failure())
        _, body = answered.unwrap()
        decoded = decode_json(body, list[_VMDocument])
        if not is_successful(decoded):
            return Failure(_describe_malformed(decoded.failure()))
        documents = decoded.unwrap()
        return Success([document.to_observation() for document in documents])

    async def act(
        self,
        vm_id: VMId,
        action: Action,
        revision: Revision,
        pool_id: PoolId | None = None,
    ) -> Result[VMObservation, VMControlError]:
        """Request one action on one VM."""
        document: dict[str, object] = {"revision": revision}
        if pool_id is not None:
            document["pool"] = pool_id
        path = f"/vms/{vm_id}/{action.value}"
        answered = await self._call("POST", path, body=msgspec.json.encode(document))
        if not isinstance(answered, Success):
            return Failure(answered.failure())
        status, body = answered.unwrap()
        if status != 200:
            refusal = decode_json(body, _Refusal)
            if not is_successful(refusal):
                return Failure(_describe_malformed(refusal.failure()))
            return Failure(VMActionRefused(vm_id, refusal.unwrap().reason))
        observed = decode_json(body, _VMDocument)
        if not is_successful(observed):
            return Failure(_describe_malformed(observed.failure()))
        return Success(observed.unwrap().to_observation())

    async def _call(
        self,
        method: str,
        path: str,
        query: list[tuple[str, str]] | None = None,
        body: bytes | None = None,
    ) -> Result[tuple[int, bytes], VMControlError]:
        if self._session is None:
            self._session = aiohttp.ClientSession(timeout=self._timeout)
        headers = {"Content-Type": "application/json"} if body else None
        try:
            async with self._session.request(
                method, self._url + path, params=query, data=body, headers=headers
            ) as response:
                content = await response.read()
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            return Failure(VMControlUnreachable(str(error) or type(error).__name__))
        if response.status >= 500:
            return Failure(VMControlUnreachable(f"status {response.status}"))
        return Success((response.status, content))


__all__ = [
    "HttpVMControl",
    "VMActionRefused",
    "VMControl",
    "VMControlError",
    "VMControlUnreachable",
]
