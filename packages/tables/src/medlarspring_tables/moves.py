"""Records of moves of VMs between pools."""

from __future__ import annotations

from enum import Enum
from typing import NewType

from msgspec import Struct

from medlarspring_tables.bounds import Real
from medlarspring_tables.ids import PoolId, VMId

MoveId = NewType("MoveId", str)


class MoveState(Enum):
    """State of a move."""

    WANTED = "wanted"
    DRAINING = "draining"
    JOINING = "joining"
    DONE = "done"
    REFUSED = "refused"


class MoveRecord(Struct, frozen=True, kw_only=True):
    """Intent to move one VM from one pool to another."""

    id: MoveId
    from_pool_id: PoolId
    to_pool_id: PoolId
    vm_id: VMId | None = None
    """VM to move; chosen by the source pool's holder unless an operator named it."""
    is_by_need: bool = False
    """Created by control work because the target pool is below its wanted size."""
    state: MoveState = MoveState.WANTED
    reason: str = ""
    created_by: str = ""
    created_at: Real = 0.0
    ended_at: Real = 0.0

    @property
    def is_open(self) -> bool:
        """Whether the move has neither completed nor been refused."""
        return self.state not in (MoveState.DONE, MoveState.REFUSED)


__all__ = ["MoveId", "MoveRecord", "MoveState"]
