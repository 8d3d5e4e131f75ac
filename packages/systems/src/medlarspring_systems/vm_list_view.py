"""Filters out incomplete answers of the platform's VM list."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from medlarspring_tables import VMList

CONFIRMATIONS = 3
MAX_LOST_PART = 0.5


@dataclass(slots=True)
class VMListView:
    """The list in use, and the number of consecutive suspect answers."""

    current: VMList | None = None
    suspect_answers: int = 0


def apply_answer(view: VMListView, answer: VMList) -> bool:
    """Use the answer unless it is suspect; return whether it is used.

    While the platform rebuilds the list, it answers with few or no VMs; using such
    an answer would stop all forwarding at once. An answer without more than half
    of the known upstream VMs is used only after several suspect answers in a row.
    Until then, requests that fail show which VMs are gone.
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
