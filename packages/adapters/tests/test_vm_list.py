from __future__ import annotations

import msgspec
import pytest
from returns.result import Failure

from medlarspring_adapters.vm_list import create_vm_list_client, parse_vm_list
from medlarspring_tables import EntryVMId, ListedState, VMId


def test_rows_of_the_published_format():
    answer = [
        {
            "targets": ["127.0.0.1:9001"],
            "labels": {
                "id": "vm-1",
                "pool": "consent",
                "state": "leaving",
                "cpus": "2",
            },
        },
        {"targets": ["127.0.0.1:9002"], "labels": {"id": "e-1", "role": "entry"}},
        {"targets": ["127.0.0.1:9003"], "labels": {"id": "vm-2", "cpus": "many"}},
        {"targets": [], "labels": {"id": "vm-3"}},
        {"targets": ["127.0.0.1:9004"], "labels": {}},
    ]
    vm_list = parse_vm_list(msgspec.json.encode(answer), 7.0).unwrap()
    assert list(vm_list.vms_by_id) == ["vm-1"]
    vm = vm_list.vms_by_id[VMId("vm-1")]
    assert (vm.state, vm.cpus, vm.pool_id) == (ListedState.LEAVING, 2.0, "consent")
    entry_vm = vm_list.entry_vms_by_id[EntryVMId("e-1")]
    assert entry_vm.peer_address == "127.0.0.1:9002"
    assert vm_list.read_at == 7.0


@pytest.mark.parametrize("content", [b"", b"{}", b"[", b"null"])
def test_unreadable_answer_is_a_failure(content: bytes):
    assert isinstance(parse_vm_list(content, 0.0), Failure)


async def test_list_that_is_down_is_a_failure():
    client = create_vm_list_client("http://127.0.0.1:1/targets", 1.0)
    assert "stays in use" in str((await client.read(0.0)).failure())
