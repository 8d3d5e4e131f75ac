"""Which answer of the platform's lagging VM list to use."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from medlarspring_tables import VMList

CONFIRMATIONS = 3
MAX_LOST_PART = 0.5


@dataclass(slots=True)
class VMListView:
    """The list in use, and how often a doubtful successor was seen."""

    current: VMList | None = None
    suspect_answers: int = 0


def apply_answer(view: VMListView, answer: VMList) -> bool:
    """Use the answer unless it is doubtful; return whether it is used.

    A list that is being rebuilt answers with few or no VMs, and taking it
    literally would stop all forwarding at once. An answer that drops more than
    half of the upstream VMs is used only when it comes several times running;
    requests meanwhile find out by themselves which VMs are gone.
    """
    if _is_suspect(view.current, answer):
        view.suspect_answers += 1
        if view.suspect_answers < CONFIRMATIONS:
            return False
    view.suspect_answers = 0
    view.current = answer
    return True


def _is_suspect(current: VMList | None, answer: VMList) -> bool:
    if current is None or not current.vms_by_id:
        return False
    lost = current.vms_by_id.keys() - answer.vms_by_id.keys()
    return len(lost) > MAX_LOST_PART * len(current.vms_by_id)


__all__ = ["VMListView", "apply_answer"]
