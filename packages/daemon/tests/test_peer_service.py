from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING

import pytest
from returns.result import Success

from medlarspring_adapters import peer_pb2
from medlarspring_adapters.clock import SystemClock
from medlarspring_adapters.decisions import Subject
from medlarspring_adapters.peer_client import PeerFailed, PeerRefused
from medlarspring_bench.control_nodes import (
    ControlNode,
    create_control_node,
    list_nodes,
)
from medlarspring_bench.key_value_state import KeyValueState
from medlarspring_bench.streams import serve_streams
from medlarspring_daemon.membership.peer_reports import MAX_USAGE_ENTRIES
from medlarspring_tables import EntryVMId

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable
    from pathlib import Path

WAIT_TIMEOUT_SECONDS = 30.0
PEER_TOKEN_WRONG = 4006
A, B = EntryVMId("a"), EntryVMId("b")

Start = "Callable[..., Awaitable[ControlNode]]"


@pytest.fixture
async def start(tmp_path: Path) -> AsyncIterator[Start]:
    """Start nodes without the configuration and holder services."""
    state = KeyValueState(SystemClock())
    async with AsyncExitStack() as stack:

        async def start_node(name: str, **options: str) -> ControlNode:
            node = create_control_node(name, state, tmp_path, **options)
            await node.peers.start()
            stack.push_async_callback(node.peers.stop)
            return node

        yield start_node


async def wait_until(condition: Callable[[], object]) -> None:
    async with asyncio.timeout(WAIT_TIMEOUT_SECONDS):
        while not condition():
            await asyncio.sleep(0.01)


class RecordingComponent:
    """Adds a fixed report's usage to reports and records the received ones."""

    def __init__(self, filled: peer_pb2.Report) -> None:
        self.filled = filled
        self.applied_reports: list[peer_pb2.Report] = []

    def fill_report(self, report: peer_pb2.Report) -> None:
        report.MergeFrom(self.filled)

    def apply_report(self, report: peer_pb2.Report) -> None:
        self.applied_reports.append(report)


def create_usage(*amounts: int) -> peer_pb2.Report:
    usage = [
        peer_pb2.PartnerUsage(partner=f"partner-{number}", pool="p", slot_ms=amount)
        for number, amount in enumerate(amounts)
    ]
    return peer_pb2.Report(usage=usage)


async def test_reports_reach_both_sides_and_only_changes_are_repeated(start: Start):
    """
    All partners' usage is sent once in five seconds and only changes in between;
    otherwise each report of 370 partners would take 10 KB.
    """
    first, second = await start("a"), await start("b")
    components = [
        RecordingComponent(create_usage(1, 2, 3)),
        RecordingComponent(create_usage()),
    ]
    first.node.report_contributors.append(components[0])
    second.node.report_contributors.append(components[1])
    list_nodes([first, second])
    await wait_until(
        lambda: components[0].applied_reports and len(components[1].applied_reports) > 1
    )
    assert first.peers.zone_members == second.peers.zone_members == (A, B)
    components[0].filled = create_usage(1, 2, 9)
    seen = len(components[1].applied_reports)
    await wait_until(
        lambda: any(each.usage for each in components[1].applied_reports[seen:])
    )
    changed = next(each for each in components[1].applied_reports[seen:] if each.usage)
    assert [(each.partner, each.slot_ms) for each in changed.usage] == [
        ("partner-2", 9)
    ]
    assert second.peers.members.members_by_id[A].hears_us


async def test_every_share_is_reported_when_too_many_change(start: Start):
    """
    400 partners are active, but a report has room for 32 shares. If it always
    carried the same ones, the other shares would never be updated.
    """
    first, second = await start("a"), await start("b")
    components = [
        RecordingComponent(create_usage(*range(1, 401))),
        RecordingComponent(create_usage()),
    ]
    first.node.report_contributors.append(components[0])
    second.node.report_contributors.append(components[1])
    list_nodes([first, second])
    await wait_until(
        lambda: (
            len(
                {
                    use.partner
                    for each in components[1].applied_reports
                    for use in each.usage
                }
            )
            > 399
        )
    )
    assert (
        max(len(each.usage) for each in components[1].applied_reports)
        == MAX_USAGE_ENTRIES
    )


async def test_wrong_token_is_refused_and_logged(start: Start):
    first, unauthorised = await start("a"), await start("b", token="guessed")
    list_nodes([first, unauthorised])
    await wait_until(lambda: first.events(PEER_TOKEN_WRONG))
    answer = await unauthorised.peers.call_grant_slots(A, peer_pb2.SlotRequest(), 1.0)
    assert isinstance(answer.failure(), PeerFailed)
    assert "token" in str(answer.failure())
    assert not first.peers.heard_by_id


async def test_leaving_report_removes_a_peer_at_once(start: Start):
    first, second = await start("a"), await start("b")
    list_nodes([first, second])
    await wait_until(lambda: first.peers.heard_by_id and second.peers.heard_by_id)
    second.node.stopping = True
    await second.peers.stop()
    assert first.peers.zone_members == (A,)


async def leave_unanswered(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    pass


async def test_refused_connection_ends_a_peer_and_a_timeout_does_not(start: Start):
    """
    One peer has ended: its port refuses connections, so its slots can be released
    at once. The other is partitioned: its port does not answer, and its process may
    still use the slots that it was granted.
    """
    first, second, third = await start("a"), await start("b"), await start("c")
    list_nodes([first, second, third])
    await wait_until(lambda: len(first.peers.heard_by_id) == 2)
    async with serve_streams(leave_unanswered) as cut_off:
        await second.peers.stop()
        first.node.vm_list.entry_vms_by_id["c"].peer_address = cut_off
        first.peers.members.members_by_id[EntryVMId("c")].peer_address = cut_off
        await third.peers.stop()
        await wait_until(lambda: B in first.peers.refused_by_id)
        await wait_until(lambda: not first.peers.heard_by_id)
        assert set(first.peers.refused_by_id) == {B}
        answer = await first.peers.call_grant_slots(B, peer_pb2.SlotRequest(), 1.0)
        assert isinstance(answer.failure(), PeerRefused)
        answer = await first.peers.call_grant_slots(
            EntryVMId("c"), peer_pb2.SlotRequest(), 0.3
        )
        assert isinstance(answer.failure(), PeerFailed)


async def test_new_vm_at_an_old_address_ends_the_old_one(start: Start):
    """
    A VM is replaced by one with the same address and another id before the VM list
    shows it. The reply to a call names the new VM, so the old one has ended.
    """
    first, second = await start("a"), await start("b")
    list_nodes([first, second])
    await wait_until(lambda: first.peers.heard_by_id)
    address = second.node.addresses["peer"]
    await second.peers.stop()
    await start("z", peer_listen=address)
    await wait_until(lambda: EntryVMId("z") in first.peers.heard_by_id)
    await wait_until(lambda: B in first.peers.refused_by_id)


async def test_decisions_of_all_peers_are_found(start: Start):
    nodes = [await start(name) for name in ("a", "b", "c")]
    list_nodes(nodes)
    await wait_until(lambda: len(nodes[0].peers.heard_by_id) == 2)
    for each in nodes:
        each.node.decisions.record(Subject.REQUEST, "r-1", "forwarded", "rule", n=1)
    found = await nodes[0].peers.find_decisions("request", "r-1")
    assert len(found) == 3
    assert await nodes[0].peers.find_decisions("nonsense", "r-1") == []


async def test_slots_are_granted_by_the_registered_service(start: Start):
    first, second = await start("a"), await start("b")

    class Granter:
        def grant_slots(self, request: peer_pb2.SlotRequest) -> peer_pb2.SlotReply:
            grants = [
                peer_pb2.SlotGrant(vm=slot_request.vm, slots=slot_request.wanted)
                for slot_request in request.wishes
            ]
            return peer_pb2.SlotReply(sender="b", grants=grants)

    list_nodes([first, second])
    await wait_until(lambda: first.peers.heard_by_id)
    slot_request = peer_pb2.SlotWish(vm="vm-1", wanted=3)
    request = peer_pb2.SlotRequest(sender="a", wishes=[slot_request])
    assert not (await first.peers.call_grant_slots(B, request, 1.0)).unwrap().grants
    second.node.slot_granter = Granter()
    answer = await first.peers.call_grant_slots(B, request, 1.0)
    assert isinstance(answer, Success)
    assert [grant.slots for grant in answer.unwrap().grants] == [3]
