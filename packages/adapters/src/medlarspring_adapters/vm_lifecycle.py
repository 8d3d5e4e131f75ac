"""Interface of the platform's VM control as used by job scheduling."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Protocol

from medlarspring_tables import MedlarspringError

if TYPE_CHECKING:
    from returns.result import Result

    from medlarspring_tables import PoolId, VMId, WaveId
    from medlarspring_tables.scheduling import Fence, VMEntry


class VMRefusal(Enum):
    """Reason for which the platform did not carry out an operation."""

    FENCE = "fence"
    BUSY = "busy"
    """The VM is not up or is leaving."""
    NOT_IN_WAVE = "not-in-wave"
    INVALID = "invalid"
    """The VM does not exist, or the pool does not accept it."""
    OVER_RATE = "over-rate"


class VMControlUnresponsive(MedlarspringError):
    """The platform's VM control gave no usable answer."""

    code = "vm-control-silent"

    def __init__(self, detail: str, *, may_follow: bool) -> None:
        super().__init__(detail)
        self.detail = detail
        self.may_follow = may_follow
        """Whether the operation may have been carried out or may be later."""

    def message(self) -> str:
        """Return what failed and what happens next."""
        return (
            f"The platform's VM control did not answer ({self.detail})."
            " The list of VMs is read before anything is repeated."
        )


@dataclass(frozen=True, slots=True)
class Authority:
    """Lease holder that requests an operation, and its fencing token."""

    holder: str
    fence: Fence


class VMLifecycle(Protocol):
    """Lists, moves and maintains VMs; each call is counted."""

    async def list_vms(self) -> Result[tuple[VMEntry, ...], VMControlUnresponsive]:
        """Return all VMs."""
        ...

    async def move(
        self, vm_id: VMId, pool_id: PoolId, authority: Authority
    ) -> Result[VMRefusal | None, VMControlUnresponsive]:
        """Move a VM to a pool; all runs on it end at once."""
        ...

    async def maintain(
        self, vm_id: VMId, wave_id: WaveId, authority: Authority
    ) -> Result[VMRefusal | None, VMControlUnresponsive]:
        """Take a VM down for its maintenance; all runs on it end at once."""
        ...


__all__ = ["Authority", "VMControlUnresponsive", "VMLifecycle", "VMRefusal"]
