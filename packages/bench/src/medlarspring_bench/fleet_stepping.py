"""A store and a VM control that pause before and after each call's effect."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from medlarspring_adapters.vm_control import (
    VMActionRefused,
    VMControlError,
    VMControlUnreachable,
)
from medlarspring_bench.memory_store import MemoryStore
from medlarspring_bench.vm_control_state import (
    ActionRefused,
    VMControlState,
    VMRow,
)
from medlarspring_systems.vm_actions import Action
from medlarspring_tables import PoolId, Revision, VMId
from medlarspring_tables.vms import VMCondition, VMObservation

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Generator

    from medlarspring_adapters.store import (
        Committed,
        Entry,
        Listing,
        StoreError,
        Transaction,
    )


class Pause:
    """Awaitable that yields control to the history once."""

    def __await__(self) -> Generator[None, None, None]:
        yield


class SteppedStore(MemoryStore):
    """A store that pauses before and after the effect of each call."""

    async def read(self, key: str) -> Result[Entry | None, StoreError]:
        """Read with pauses."""
        await Pause()
        result = await super().read(key)
        await Pause()
        return result

    async def read_prefix(self, prefix: str) -> Result[Listing, StoreError]:
        """Read with pauses."""
        await Pause()
        result = await super().read_prefix(prefix)
        await Pause()
        return result

    async def commit(self, transaction: Transaction) -> Result[Committed, StoreError]:
        """Write with pauses."""
        await Pause()
        result = await super().commit(transaction)
        await Pause()
        return result


class SteppedVMControl:
    """The platform's VM control with pauses and lost replies."""

    def __init__(
        self, state: VMControlState, on_action: Callable[[VMRow, Action, int], None]
    ) -> None:
        self._state = state
        self._on_action = on_action
        self.lose_replies = 0
        self.is_down = False
        self.last_seen: dict[VMId, VMObservation] = {}
        """Last observation of each VM that reached the caller."""

    async def read_vms(
        self, pool_ids: Collection[PoolId], vm_ids: Collection[VMId]
    ) -> Result[list[VMObservation], VMControlError]:
        """Return observations of VMs, with pauses."""
        await Pause()
        rows = self._state.find(pool_ids, vm_ids)
        seen = [_to_observation(row) for row in rows]
        await Pause()
        if self._loses_reply():
            return Failure(VMControlUnreachable("lost"))
        self.last_seen.update({observation.vm_id: observation for observation in seen})
        return Success([replace(observation) for observation in seen])

    async def act(
        self,
        vm_id: VMId,
        action: Action,
        revision: Revision,
        pool_id: PoolId | None = None,
    ) -> Result[VMObservation, VMControlError]:
        """Carry out one action, with pauses."""
        await Pause()
        if self.is_down:
            return Failure(VMControlUnreachable("down"))
        try:
            row = self._carry_out(vm_id, action, revision, pool_id)
        except ActionRefused as error:
            return Failure(VMActionRefused(vm_id, error.reason))
        seen = _to_observation(row)
        await Pause()
        if self._loses_reply():
            return Failure(VMControlUnreachable("lost"))
        self.last_seen[vm_id] = replace(seen)
        return Success(seen)

    def _carry_out(
        self, vm_id: VMId, action: Action, revision: Revision, pool_id: PoolId | None
    ) -> VMRow:
        self._state.step()
        before = self._state.rows_by_id[vm_id].condition
        match action:
            case Action.DRAIN:
                row = self._state.drain(vm_id, revision)
            case Action.REBOOT:
                row = self._state.reboot(vm_id, revision)
            case Action.RESTORE:
                row = self._state.restore(vm_id, revision)
            case Action.ASSIGN:
                row = self._state.assign(vm_id, revision, pool_id or "")
        if row.condition is not before:
            self._on_action(row, action, revision)
        return row

    def _loses_reply(self) -> bool:
        if self.is_down:
            return True
        if self.lose_replies > 0:
            self.lose_replies -= 1
            return True
        return False


def _to_observation(row: VMRow) -> VMObservation:
    return VMObservation(
        vm_id=VMId(row.id),
        pool_id=PoolId(row.pool),
        condition=VMCondition(row.condition.value),
        boot=row.boot,
        revision=Revision(row.revision),
    )


__all__ = ["Pause", "SteppedStore", "SteppedVMControl"]
