"""Chooses the platform action that brings a VM to its recorded state."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from medlarspring_tables.fleet_tables import key_of_vm
from medlarspring_tables.vms import VMCondition, VMState

if TYPE_CHECKING:
    from medlarspring_tables.fleet_tables import FleetTables
    from medlarspring_tables.vms import VMObservation, VMRecord


class Action(Enum):
    """Action on a VM that is requested from the platform."""

    DRAIN = "drain"
    REBOOT = "reboot"
    RESTORE = "restore"
    ASSIGN = "assign"


def choose_action(tables: FleetTables, record: VMRecord) -> Action | None:
    """Return the action to request for a record; None if there is nothing to do.

    Each revision of a record corresponds to one kind of action only, so an action
    that arrives late cannot undo a later step of the same intent.
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
    """Return whether the platform accepted the action of the current revision."""
    return observation.revision >= tables.revision_of(key_of_vm(record.id))


__all__ = ["Action", "choose_action", "has_accepted"]
