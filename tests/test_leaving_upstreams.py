from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from pytest_bdd import parsers, scenarios, then, when

from medlarspring_bench.cluster import ClusterOptions
from medlarspring_bench.control_client import call
from medlarspring_bench.history_checker import Kind, find_violations

if TYPE_CHECKING:
    from medlarspring_bench.story import Story

scenarios("features/leaving_upstreams.feature")

LIST_LAG_SECONDS = 30.0


@pytest.fixture(scope="module")
def cluster_options() -> ClusterOptions:
    return ClusterOptions(upstream_processes=1, lag_seconds=LIST_LAG_SECONDS)


@when(parsers.parse("at {percent:d} % {vms} drain"))
def drain(story: Story, percent: int, vms: str) -> None:
    story.wait_until_sent(percent)
    for vm in vms.split(" and "):
        path = f"/control/vms/{vm}/drain"
        call("POST", story.cluster.vm_list["address"], path, {"revision": 1})
        story.record_leaving(vm)


@then("no work reached a leaving VM later than 3 seconds after the start")
def no_late_work(story: Story) -> None:
    breaches = find_violations(story.history())
    late = [one for one in breaches if one.kind is Kind.WORK_AFTER_LEAVING]
    assert not late, late
