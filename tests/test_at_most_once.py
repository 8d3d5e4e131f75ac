from __future__ import annotations

from typing import TYPE_CHECKING

from pytest_bdd import parsers, scenarios, then, when

from medlarspring_bench.story import is_undecided

if TYPE_CHECKING:
    from medlarspring_bench.story import Story

scenarios("features/at_most_once.feature")

LONG_MS = 700.0


@when("a payment is sent to daemon 1, and repeated through daemon 2")
def send_payment(story: Story) -> None:
    story.call(story.create_call_spec("payment", "p"), 1, 2)


@when("a long payment is sent to daemon 1, and repeated through daemon 2")
def send_long_payment(story: Story) -> None:
    story.call(story.create_call_spec("payment", "p", LONG_MS), 1, 2)


@when("a payment is sent once to daemon 1")
def send_payment_once(story: Story) -> None:
    caller_request = story.create_call_spec("payment", "p")
    caller_request.patience_seconds = 0.0
    story.call(caller_request, 1)


@when("it runs")
def wait_until_running(story: Story) -> None:
    story.wait_until_running(story.create_call_spec("payment", "p"))


@when("the faults end after the first attempt")
def end_faults_after_first(story: Story) -> None:
    story.wait_for_attempts(1)
    story.end_faults()


@when("20 payments are sent to daemons 1 and 2 at the same moment")
def send_duplicates(story: Story) -> None:
    for number in range(20):
        first = story.create_call_spec("payment", f"p{number}")
        second = story.create_call_spec("payment", f"p{number}")
        second.id += "-twin"
        story.call(first, 1)
        story.call(second, 2)


@when("the same key is sent with another body to daemon 3")
def send_other_body(story: Story) -> None:
    story.finish()
    caller_request = story.create_call_spec("payment", "p")
    caller_request.id += "-other"
    caller_request.body = b"another body"
    story.call(caller_request, 3)


@then("the other body is refused with status 422")
def refused_as_conflict(story: Story) -> None:
    assert story.calls[-1].attempts[-1].status == 422


@when("the payment is sent again through daemon 2")
def send_payment_again(story: Story) -> None:
    caller_request = story.create_call_spec("payment", "p")
    caller_request.id += "-again"
    story.call(caller_request, 2)


@then("the caller is told that the outcome is unknown")
def reported_unknown(story: Story) -> None:
    assert is_undecided(story.calls[-1].attempts[-1])


@then("the payment ran once")
def ran_once(story: Story) -> None:
    assert story.count_runs(story.calls[0].key) == 1


@then(parsers.parse("the payment ran {count:d} times"))
def ran_times(story: Story, count: int) -> None:
    assert story.count_runs(story.calls[0].key) == count


@then("each payment ran once")
def each_ran_once(story: Story) -> None:
    runs_by_key = {call.key: story.count_runs(call.key) for call in story.calls}
    assert set(runs_by_key.values()) == {1}, runs_by_key
