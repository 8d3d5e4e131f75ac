"""What the platform has to be asked so that a VM's record comes true."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from medlarspring_tables.fleet_tables import key_of_vm
from medlarspring_tables.vms import VMCondition, VMState

if TYPE_CHECKING:
    from medlarspring_tables.fleet_tables import FleetTables
    from medlarspring_tables.vms import VMObservation, VMRecord


class Action(Enum):
    """What the platform is asked to do with a VM."""

    DRAIN = "drain"
    REBOOT = "reboot"
    RESTORE = "restore"
    ASSIGN = "assign"


def choose_action(tables: FleetTables, record: VMRecord) -> Action | None:
    """Return what the platform has to be asked so that the record comes true.

    Each revision of a record carries one kind of action only, so an action
    that arrives late can never undo a later step of the same intent.
    """
    observation = tables.observations_by_id.get(record.id)
    if observation is None or has_accepted(tables, record, observation):
        return None
    is_drained = observation.condition is VMCondition.DRAINED
    match record.state:
        case VMState.DRAINING:
            return Action.DRAIN
        case VMState.RESTORING:
            return Action.RESTORE
        case VMState.REBOOTING if is_drained:
            return Action.REBOOT
        case VMState.JOINING if is_drained:
            return Action.ASSIGN
        case _:
            return None


def has_accepted(
    tables: FleetTables, record: VMRecord, observation: VMObservation
) -> bool:
    """Say whether the platform accepted the action of the record as it stands."""
    return observation.revision >= tables.revision_of(key_of_vm(record.id))


__all__ = ["Action", "choose_action", "has_accepted"]
