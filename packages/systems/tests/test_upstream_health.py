from __future__ import annotations

import pytest

from medlarspring_systems import leaving, retry, routing
from medlarspring_systems.upstream_health import (
    MAX_EJECTION_SECONDS,
    mark_probe,
    record_failure,
    record_success,
)
from medlarspring_tables import (
    ListedState,
    ListedVM,
    PoolId,
    RackId,
    RegionId,
    VMId,
    VMList,
    ZoneId,
)
from medlarspring_tables.requests import CallerRequest, PoolQueue
from medlarspring_tables.upstreams import Upstream, UpstreamTable

POOL, ZONE, OTHER_ZONE = PoolId("consent"), ZoneId("z1"), ZoneId("z2")


def create_table(count: int = 4, zone: ZoneId = ZONE) -> UpstreamTable:
    upstreams = [
        Upstream(
            VMId(f"vm-{number}"),
            f"10.0.0.{number}:80",
            POOL,
            zone,
            slots=8,
            connections=64,
            credit=8,
            credit_until=1e9,
        )
        for number in range(count)
    ]
    return UpstreamTable({each.id: each for each in upstreams}, {POOL: upstreams})


def choose(table: UpstreamTable, now: float = 0.0, repeatable: bool = True):
    return routing.choose_upstream(table, POOL, ZONE, now, repeatable=repeatable)


def fail(table: UpstreamTable, index: int, times: int = 3, now: float = 0.0) -> None:
    pool = table.upstreams_by_pool[POOL]
    for _ in range(times):
        record_failure(pool[index], pool, now)


def test_failing_vm_is_ejected_probed_and_restored():
    table = create_table(2)
    pool = table.upstreams_by_pool[POOL]
    fail(table, 0)
    pool[1].in_use = 5
    assert choose(table) is pool[1]
    assert choose(table, now=1.5, repeatable=False) is pool[1]
    probed = choose(table, now=1.5)
    assert probed is pool[0]
    mark_probe(probed)
    assert choose(table, now=1.5) is pool[1]
    record_success(probed, pool, 0.05, 1.6)
    assert choose(table, now=1.6, repeatable=False) is pool[0]


def test_payments_avoid_a_vm_whose_last_answer_was_a_failure():
    """Two VMs differ only in one failure. A payment sent to the failed VM might end
    with an unknown outcome; a read may be sent there."""
    table = create_table(2)
    fail(table, 0, times=1)
    pool = table.upstreams_by_pool[POOL]
    pool[1].in_use = 3
    assert choose(table) is pool[0]
    assert choose(table, repeatable=False) is pool[1]


def test_non_repeatable_requests_probe_an_ejected_vm_after_a_delay():
    table = create_table(2)
    fail(table, 0)
    pool = table.upstreams_by_pool[POOL]
    pool[1].in_use = 8
    assert choose(table, now=2.0, repeatable=False) is None
    assert choose(table, now=6.1, repeatable=False) is pool[0]


def test_ejection_time_grows_with_each_failed_probe():
    table = create_table(2)
    pool = table.upstreams_by_pool[POOL]
    fail(table, 0)
    pauses = []
    for _ in range(8):
        until = pool[0].ejected_until
        assert until is not None
        mark_probe(pool[0])
        record_failure(pool[0], pool, until)
        assert pool[0].ejected_until is not None
        pauses.append(pool[0].ejected_until - until)
    assert pauses == sorted(pauses)
    assert pauses[-1] == MAX_EJECTION_SECONDS


@pytest.mark.parametrize("count", [1, 2, 3, 8])
def test_at_most_half_of_a_pool_is_ejected(count):
    """Every VM fails at once, as when the service itself is broken. At least half
    of the pool still gets requests."""
    table = create_table(count)
    for _ in range(5):
        for index in range(count):
            fail(table, index)
    pool = table.upstreams_by_pool[POOL]
    kept = sum(1 for upstream in pool if upstream.ejected_until is None)
    assert kept >= count / 2
    assert choose(table) is not None


def test_vm_slower_than_its_pool_is_ejected():
    table = create_table(4)
    pool = table.upstreams_by_pool[POOL]
    for _ in range(20):
        for upstream in pool:
            record_success(upstream, pool, 0.8 if upstream is pool[0] else 0.05, 0.0)
    assert pool[0].ejected_until is not None
    assert all(upstream.ejected_until is None for upstream in pool[1:])


def test_uniformly_slow_pool_ejects_no_vm():
    table = create_table(4)
    pool = table.upstreams_by_pool[POOL]
    for _ in range(20):
        for upstream in pool:
            record_success(upstream, pool, 2.0, 0.0)
    assert all(upstream.ejected_until is None for upstream in pool)


def test_own_zone_goes_first_and_another_zone_when_it_is_short():
    table = create_table(1)
    (own,) = table.upstreams_by_pool[POOL]
    (far,) = create_table(1, OTHER_ZONE).upstreams_by_pool[POOL]
    table.upstreams_by_pool[POOL] = [far, own]
    own.in_use = 7
    assert choose(table) is own
    own.in_use = 8
    assert choose(table) is far


@pytest.mark.parametrize(
    ("change", "now"),
    [({"credit": 0}, 0.0), ({"credit_until": 5.0}, 5.0), ({"leaving_since": 0.0}, 1.0)],
)
def test_vm_without_credit_or_leaving_gets_no_work(change, now):
    table = create_table(1)
    (upstream,) = table.upstreams_by_pool[POOL]
    for name, value in change.items():
        setattr(upstream, name, value)
    assert choose(table, now) is None


def create_request(*, repeatable: bool, deadline: float = 10.0) -> CallerRequest:
    fields = ("r", "p", "consent", POOL, "GET", "/", b"")
    return CallerRequest(*fields, 0.0, deadline, repeatable=repeatable)  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("repeatable", "not_run", "tokens", "attempts", "deadline", "allowed"),
    [
        (True, False, 1.0, 1, 10.0, True),
        (True, False, 0.9, 1, 10.0, False),
        (True, False, 1.0, 3, 10.0, False),
        (True, False, 1.0, 1, 1.0, False),
        (False, False, 9.0, 1, 10.0, False),
        (False, True, 0.0, 1, 10.0, True),
        (False, True, 0.0, 3, 10.0, False),
    ],
)
def test_retries_need_permission_budget_and_time(
    repeatable, not_run, tokens, attempts, deadline, allowed
):
    budget = retry.RetryBudget(tokens)
    request = create_request(repeatable=repeatable, deadline=deadline)
    decided = retry.may_retry(
        budget, request, attempts, 0.1, 1.0, certainly_not_run=not_run
    )
    assert decided is allowed
    spent = allowed and not not_run
    assert budget.tokens == tokens - spent


def test_retries_stay_within_their_part_of_the_successes():
    budget = retry.RetryBudget(0.0)
    request = create_request(repeatable=True)
    retries = 0
    for _ in range(1000):
        retry.add_retry_tokens(budget, 10.0)
        retries += retry.may_retry(
            budget, request, 1, 0.1, 0.0, certainly_not_run=False
        )
    assert retries == pytest.approx(100, abs=1)


def test_only_the_first_attempt_of_a_repeatable_request_times_out_early():
    pool = PoolQueue(POOL, service_seconds=0.1, service_spread=0.01)

    def wait(repeatable: bool, attempts: int) -> float:
        request = create_request(repeatable=repeatable)
        budget = retry.RetryBudget()
        return retry.choose_header_timeout(budget, request, pool, attempts, 0.0)

    assert wait(True, 0) == pytest.approx(0.25)
    assert wait(True, 1) == 10.0
    assert wait(False, 0) == 10.0


def list_vm(state: ListedState = ListedState.LIVE, pool: PoolId = POOL) -> VMList:
    vm = ListedVM(
        VMId("vm-0"), "10.0.0.0:80", pool, RackId("r"), ZONE, RegionId("c"), state
    )
    return VMList({vm.id: vm})


def apply_list(table: UpstreamTable, vm_list: VMList, at: float) -> Upstream:
    vm_list.read_at = at
    routing.update_upstreams(table, vm_list)
    return table.upstreams_by_id[VMId("vm-0")]


def test_leaving_signal_overrides_the_lagging_list_until_it_catches_up():
    table = UpstreamTable()
    apply_list(table, list_vm(), 0.0)
    assert leaving.record_leaving(table, VMId("vm-0"), 0.0, 10.0)
    assert not leaving.takes_new_work(apply_list(table, list_vm(), 20.0), 20.0)
    apply_list(table, list_vm(ListedState.LEAVING), 30.0)
    back = apply_list(table, list_vm(), 60.0)
    assert leaving.takes_new_work(back, 60.0)
    assert not leaving.record_leaving(table, VMId("vm-0"), 50.0, 60.0)
    assert leaving.takes_new_work(back, 60.0)


def test_moved_vm_gets_work_in_its_new_pool_despite_the_earlier_drain():
    table = UpstreamTable()
    apply_list(table, list_vm(), 0.0)
    leaving.record_leaving(table, VMId("vm-0"), 0.0, 10.0)
    moved = apply_list(table, list_vm(pool=PoolId("survey")), 15.0)
    leaving.record_leaving(table, VMId("vm-0"), 8.0, 16.0)
    assert leaving.takes_new_work(moved, 16.0)


def test_leaving_signals_alone_never_empty_a_pool():
    """A wave drains and reboots every VM of a pool between two reads of the list,
    which shows all as live throughout. Nothing cleared the leaving signals, and
    callers were refused for lack of an upstream although all VMs were live."""
    table = create_table(2)
    for number in range(2):
        leaving.record_leaving(table, VMId(f"vm-{number}"), 0.0, 10.0 + number)
    pool = table.upstreams_by_pool[POOL]
    leaving.restore_emptied_pool(pool, 14.0)
    assert choose(table, now=14.0) is None
    leaving.restore_emptied_pool(pool, 15.5)
    assert choose(table, now=15.5) is pool[0]


@pytest.mark.parametrize(
    ("state", "pool", "returned_ago", "takes"),
    [
        pytest.param(ListedState.LIVE, POOL, 3.0, True, id="back"),
        pytest.param(ListedState.LIVE, POOL, 12.0, False, id="drained again"),
        pytest.param(ListedState.LEAVING, POOL, 3.0, False, id="listed as leaving"),
        pytest.param(ListedState.LIVE, PoolId("survey"), 3.0, False, id="moved"),
    ],
)
def test_return_clears_older_leaving_signals(state, pool, returned_ago, takes):
    """A VM is drained and rebooted between two reads of the list, which shows it as
    live throughout. The entry VM that did so reports the return; without the report
    the others gave it no work until their leaving signals expired."""
    table = UpstreamTable()
    apply_list(table, list_vm(), 0.0)
    leaving.record_leaving(table, VMId("vm-0"), 0.0, 10.0)
    upstream = apply_list(table, list_vm(state), 15.0)
    assert (
        leaving.record_returned(table, VMId("vm-0"), pool, returned_ago, 20.0) is takes
    )
    assert leaving.takes_new_work(upstream, 20.0) is takes


def test_leaving_signals_from_before_a_return_are_ignored():
    table = UpstreamTable()
    apply_list(table, list_vm(), 0.0)
    leaving.record_returned(table, VMId("vm-0"), POOL, 0.0, 20.0)
    assert not leaving.record_leaving(table, VMId("vm-0"), 8.0, 21.0)
    assert leaving.record_leaving(table, VMId("vm-0"), 0.5, 21.0)
    assert leaving.list_returned(table, 22.0) == [
        (table.upstreams_by_id[VMId("vm-0")], 2.0)
    ]
    assert not leaving.list_returned(table, 20.0 + leaving.LEAVING_SIGNAL_SECONDS)


def test_repeated_reports_of_one_return_keep_its_time():
    """The delivery time of a report makes the return look newer than it is. Applied
    as a newer return, a repeated report would clear the leaving signal of a drain
    that began in between."""
    table = UpstreamTable()
    apply_list(table, list_vm(), 0.0)
    for reported_at in (20.0, 20.3, 20.6, 20.9):
        leaving.record_returned(table, VMId("vm-0"), POOL, 0.0, reported_at)
    assert leaving.record_leaving(table, VMId("vm-0"), 0.0, 20.5)
    assert not leaving.record_returned(table, VMId("vm-0"), POOL, 0.0, 20.9)
    assert leaving.record_returned(table, VMId("vm-0"), POOL, 0.0, 23.0)
