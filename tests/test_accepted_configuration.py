from __future__ import annotations

import json
import re
from typing import TYPE_CHECKING

import pytest
from pytest_bdd import parsers, scenarios, then, when

from medlarspring_bench.control_client import call
from medlarspring_bench.recording import TABLE_IN_FORCE
from medlarspring_bench.waiting import wait_for

if TYPE_CHECKING:
    from medlarspring_bench.story import Story

scenarios("features/accepted_configuration.feature")


@pytest.fixture
def edit() -> dict[str, int]:
    """Holds the table revision of the latest accepted edit."""
    return {}


@when(parsers.re(r"an operator sets weight (?P<weight>\d+) of partner west$"))
def set_weight(story: Story, edit: dict[str, int], weight: str) -> None:
    text = story.cluster.run_cli("table", "set", "partner", "west", f"weight={weight}")
    accepted = re.search(r"accepted.*: table revision (\d+)", text)
    assert accepted is not None, text
    edit["revision"] = int(accepted[1])


@when("the daemon is restarted")
def start_again(story: Story) -> None:
    id_ = story.cluster.daemon_id(1)
    story.cluster.start_daemon(id_)
    story.cluster.wait_for_daemon(id_)
    story.cluster.publish_daemon_addresses(id_)


@when("two operators change partner west at the same moment", target_fixture="outputs")
def edit_concurrently(story: Story) -> list[tuple[int, str]]:
    revision = _row_revision(story)
    processes = [
        story.cluster.start_cli(
            f"operator {number}",
            *("table", "set", "partner", "west", f"weight={number}"),
            *("--revision", str(revision)),
        )
        for number in (11, 12)
    ]
    return [(process.wait(30), process.output()) for process in processes]


def _row_revision(story: Story) -> int:
    text = story.cluster.run_cli("table", "show", "partner", "west", "--json")
    return int(json.loads(text)["rows"]["partner"][0]["revision"])


@then("one of them is accepted and the other reports the conflict")
def one_accepted(outputs: list[tuple[int, str]]) -> None:
    statuses = sorted(status for status, _ in outputs)
    assert statuses[0] == 0, outputs
    assert statuses[1] != 0, outputs
    refused = next(text for status, text in outputs if status)
    assert "west" in refused


@then("the edit is in force at every daemon within 5 seconds")
def in_force(story: Story, edit: dict[str, int]) -> None:
    for id_ in story.cluster.zones_by_id:
        process = story.cluster.processes.by_name[id_]
        wait_for(
            lambda process=process: any(
                record["revision"] >= edit["revision"]
                for record in process.records(TABLE_IN_FORCE)
            ),
            f"revision {edit['revision']} in force at {id_}",
            5.0,
        )


@then("the audit trail records it once")
def audited_once(story: Story, edit: dict[str, int]) -> None:
    story.end_faults()
    text = story.cluster.run_cli("table", "history", "partner", "west", "--json")
    records = json.loads(text)["records"]
    revisions = [record["revision"] for record in records]
    assert revisions.count(edit["revision"]) == 1, revisions


@then(parsers.parse("a read through daemon {number:d} is answered"))
def read_answered(story: Story, number: int) -> None:
    credential = story.cluster.platform.credentials["north"]
    address = story.cluster.daemon(number).caller
    headers = {"Authorization": f"Bearer {credential}"}
    wait_for(
        lambda: (
            call("GET", address, "/consent/parcels/1", headers=headers).status == 200
        ),
        "read",
        5.0,
    )
