from __future__ import annotations

from typing import TYPE_CHECKING

from pytest_bdd import given, parsers, scenarios, then, when

from medlarspring_bench.history import AttemptOutcome
from medlarspring_bench.waiting import wait_for

if TYPE_CHECKING:
    from medlarspring_bench.cluster import Cluster
    from medlarspring_bench.story import Story

scenarios("features/graceful_shutdown.feature")

SHUTDOWN_SECONDS = 20.0


@given("a running fleet")
def running_fleet(cluster: Cluster) -> None:
    """Restart the daemons that earlier scenarios terminated."""
    for id_ in cluster.zones_by_id:
        if cluster.processes.by_name[id_].status is not None:
            cluster.restart_daemon(id_)
    cluster.wait_for_balancer(len(cluster.zones_by_id))


@when(parsers.parse("at {percent:d} % daemon {number:d} is terminated"))
def end_at(story: Story, percent: int, number: int) -> None:
    story.wait_until_sent(percent)
    story.cluster.daemon_process(number).terminate()


@when(
    parsers.parse(
        "a request that takes {seconds:g} seconds is sent to daemon {number:d}"
    )
)
def send_long(story: Story, seconds: float, number: int) -> None:
    caller_request = story.create_call_spec("read", "long", seconds * 1000)
    caller_request.timeout_seconds = 10.0
    story.call(caller_request, number)
    story.wait_until_running(caller_request)


@when(parsers.parse("daemon {number:d} is terminated"))
def end_now(story: Story, number: int) -> None:
    story.cluster.daemon_process(number).terminate()


@then(parsers.parse("daemon {number:d} is not ready"))
def not_ready(story: Story, number: int) -> None:
    id_ = story.cluster.daemon_id(number)
    wait_for(lambda: not story.cluster.is_ready(id_), f"{id_} not ready", 2.0)


@then(parsers.parse("daemon {number:d} exits with status 0"))
def ended(story: Story, number: int) -> None:
    assert story.cluster.daemon_process(number).wait(SHUTDOWN_SECONDS) == 0


@then("no connection of an attempt is broken")
def no_broken_connection(story: Story) -> None:
    broken = [
        attempt.request_id
        for call in story.calls
        for attempt in call.attempts
        if attempt.outcome
        in (AttemptOutcome.RESET, AttemptOutcome.CUT, AttemptOutcome.NOTHING)
    ]
    assert not broken, broken
