from __future__ import annotations

import pytest

from medlarspring_systems.vm_list_view import CONFIRMATIONS, VMListView, apply_answer
from medlarspring_tables import ListedVM, PoolId, RackId, RegionId, VMId, VMList, ZoneId


def create_list(count: int) -> VMList:
    vms = [
        ListedVM(
            VMId(f"vm-{number}"),
            "ip",
            PoolId("p"),
            RackId("r"),
            ZoneId("z"),
            RegionId("g"),
        )
        for number in range(count)
    ]
    return VMList(vms_by_id={vm.id: vm for vm in vms})


@pytest.mark.parametrize(
    ("left", "tries"),
    [(10, 1), (9, 1), (5, 1), (4, CONFIRMATIONS), (0, CONFIRMATIONS)],
)
def test_answer_without_most_vms_is_used_only_after_confirmations(
    left: int, tries: int
):
    """
    While the platform rebuilds its list, it answers with only a part of it. If
    that were used at once, every request would be refused for lack of an upstream.
    """
    view = VMListView()
    assert apply_answer(view, create_list(10))
    used = [apply_answer(view, create_list(left)) for _ in range(tries)]
    assert used == [False] * (tries - 1) + [True]
    assert view.current == create_list(left)


def test_complete_answer_resets_the_suspect_count():
    view = VMListView()
    apply_answer(view, create_list(10))
    assert not apply_answer(view, create_list(0))
    assert apply_answer(view, create_list(10))
    assert not apply_answer(view, create_list(0))
