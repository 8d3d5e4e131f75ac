from __future__ import annotations

import pytest

from medlarspring_bench.history import (
    Arrival,
    Attempt,
    AttemptOutcome,
    Call,
    History,
    Holding,
    JobRun,
    Leaving,
    Membership,
    PoolSample,
    TableInForce,
    UpstreamRun,
)
from medlarspring_bench.history_checker import Kind, find_violations


def answered(id_: str, at: float = 0.0, of: str = "", digest: str = "d") -> Attempt:
    return Attempt(
        id_,
        at,
        at + 1,
        AttemptOutcome.ANSWERED,
        200,
        answered_id=of or id_,
        answered_digest=digest,
    )


def attempt_with(id_: str, outcome: AttemptOutcome, at: float = 0.0) -> Attempt:
    return Attempt(id_, at, at + 1, outcome)


def run(
    id_: str, start: float = 0.1, key: str = "", vm: str = "v", end: float = 0.0
) -> UpstreamRun:
    return UpstreamRun(vm, id_, "p", key, start, end or start + 0.5)


def call(*attempts: Attempt, key: str = "", repeatable: bool = False) -> Call:
    return Call("c", "p", repeatable, "d", key, list(attempts))


CLEAN = {
    "answer": History([call(answered("r"))], [run("r")]),
    "read repeated after a reset": History(
        [
            call(
                attempt_with("r1", AttemptOutcome.RESET),
                answered("r2", 2),
                repeatable=True,
            )
        ],
        [run("r1"), run("r2", 2)],
    ),
    "payment repeated, run once, answered by its record": History(
        [
            call(
                attempt_with("r1", AttemptOutcome.UNKNOWN),
                answered("r2", 2, of="r1"),
                key="k",
            )
        ],
        [run("r1", key="k")],
    ),
    "one key sent twice at once, both get its one answer": History(
        [
            call(answered("r1"), key="k"),
            call(answered("r2", of="r1"), key="k"),
        ],
        [run("r1", key="k")],
    ),
    "refused, then run": History(
        [call(attempt_with("r1", AttemptOutcome.NOT_RUN), answered("r2", 2), key="k")],
        [run("r2", 2.1, key="k")],
    ),
    "refused and never run": History([call(attempt_with("r", AttemptOutcome.NOT_RUN))]),
    "run with an unknown end": History(
        [call(attempt_with("r", AttemptOutcome.UNKNOWN))], [run("r")]
    ),
    "slots used in turn": History(
        runs=[run("a", 0, end=1), run("b", 1, end=2)], slots_by_vm={"v": 1}
    ),
    "work soon after the start of leaving, and after the return": History(
        runs=[run("a", 2.5), run("b", 21)], leavings=[Leaving("v", 0, 20)]
    ),
    "leaving VM that nobody tried for a while": History(
        arrivals=[Arrival("v", "q", 3.7), Arrival("v", "r", 4.5)],
        leavings=[Leaving("v", 0)],
    ),
    "budget just held": History(pool_samples=[PoolSample("p", 1, 6, 6)]),
    "move": History(
        memberships=[Membership("v", "a", 0, 5), Membership("v", "b", 5, 9)]
    ),
    "restarted daemon reads the same table": History(
        tables=[TableInForce("e", 1, 4), TableInForce("e", 2, 4)]
    ),
    "second attempt after the first": History(
        job_runs=[JobRun("j", "v", 1, 0, 5), JobRun("j", "w", 2, 5, 9)]
    ),
    "holder follows holder": History(
        holdings=[Holding("p", "e1", 0, 5), Holding("p", "e2", 5, 9)]
    ),
}

FAULTY = [
    (Kind.LOST, "no end", History([call(attempt_with("r", AttemptOutcome.NOTHING))])),
    (Kind.LOST, "no attempt", History([call()])),
    (Kind.LOST, "answer without a run", History([call(answered("r"))])),
    (
        Kind.LOST,
        "answer without a run of the key",
        History([call(answered("r"), key="k")]),
    ),
    (
        Kind.DOUBLED,
        "one request id twice",
        History([call(answered("r"))], [run("r"), run("r", 2)]),
    ),
    (
        Kind.DOUBLED,
        "one key twice under two request ids",
        History(
            [
                call(
                    attempt_with("r1", AttemptOutcome.UNKNOWN),
                    answered("r2", 2),
                    key="k",
                )
            ],
            [run("r1", key="k"), run("r2", 2, key="k")],
        ),
    ),
    (
        Kind.DOUBLED,
        "unsafe request without a key repeated",
        History(
            [call(attempt_with("r1", AttemptOutcome.RESET), answered("r2", 2))],
            [run("r1"), run("r2", 2)],
        ),
    ),
    (
        Kind.CUT,
        "half an answer",
        History([call(attempt_with("r", AttemptOutcome.CUT))], [run("r")]),
    ),
    (
        Kind.MIXED,
        "another's answer",
        History([call(answered("r", of="other"))], [run("r")]),
    ),
    (
        Kind.MIXED,
        "answer to another body",
        History([call(answered("r", digest="other"))], [run("r")]),
    ),
    (
        Kind.MIXED,
        "the answer of another key",
        History(
            [call(answered("r1"), key="k"), call(answered("r2", of="r1"), key="l")],
            [run("r1", key="k"), run("r2", key="l")],
        ),
    ),
    (
        Kind.FALSELY_REFUSED,
        "refused as not run, but ran",
        History([call(attempt_with("r", AttemptOutcome.NOT_RUN))], [run("r")]),
    ),
    (
        Kind.FALSELY_REFUSED,
        "a key that ran is refused as not run",
        History(
            [
                call(
                    attempt_with("r1", AttemptOutcome.UNKNOWN),
                    attempt_with("r2", AttemptOutcome.NOT_RUN, 2),
                    key="k",
                )
            ],
            [run("r1", key="k")],
        ),
    ),
    (
        Kind.SLOTS_OVER,
        "two at once in one slot",
        History(runs=[run("a", 0, end=2), run("b", 1, end=3)], slots_by_vm={"v": 1}),
    ),
    (
        Kind.SLOTS_OVER,
        "a run that never ends keeps its slot",
        History(
            runs=[UpstreamRun("v", "a", "p", "", 0, 0), run("b", 50)],
            slots_by_vm={"v": 1},
        ),
    ),
    (
        Kind.WORK_AFTER_LEAVING,
        "run",
        History(runs=[run("r", 3.5)], leavings=[Leaving("v", 0)]),
    ),
    (
        Kind.WORK_AFTER_LEAVING,
        "attempt that the VM refused",
        History(
            arrivals=[Arrival("v", "q", 0.4), Arrival("v", "r", 3.5)],
            leavings=[Leaving("v", 0)],
        ),
    ),
    (
        Kind.WORK_AFTER_LEAVING,
        "run after a late first refusal",
        History(
            arrivals=[Arrival("v", "q", 3.7), Arrival("v", "r", 4.0)],
            runs=[run("r", 4.0)],
            leavings=[Leaving("v", 0)],
        ),
    ),
    (
        Kind.WORK_AFTER_LEAVING,
        "attempt long after a late first refusal",
        History(
            arrivals=[Arrival("v", "q", 3.7), Arrival("v", "r", 6.8)],
            leavings=[Leaving("v", 0)],
        ),
    ),
    (Kind.BUDGET_BROKEN, "", History(pool_samples=[PoolSample("p", 1, 5, 6)])),
    (
        Kind.VM_IN_TWO_POOLS,
        "",
        History(memberships=[Membership("v", "a", 0, 5), Membership("v", "b", 4, 9)]),
    ),
    (
        Kind.TABLE_REVERTED,
        "",
        History(tables=[TableInForce("e", 1, 4), TableInForce("e", 2, 3)]),
    ),
    (
        Kind.JOB_RAN_TWICE_AT_ONCE,
        "",
        History(job_runs=[JobRun("j", "v", 1, 0, 5), JobRun("j", "w", 2, 4, 9)]),
    ),
    (
        Kind.HOLDERS_OVERLAP,
        "",
        History(holdings=[Holding("p", "e1", 0, 5), Holding("p", "e2", 4, 9)]),
    ),
]


@pytest.mark.parametrize("history", CLEAN.values(), ids=CLEAN.keys())
def test_kept_promises_are_no_breach(history: History):
    assert find_violations(history) == []


@pytest.mark.parametrize(
    ("kind", "history"),
    [
        pytest.param(kind, history, id=f"{kind.value} {note}")
        for kind, note, history in FAULTY
    ],
)
def test_each_fault_is_found(kind: Kind, history: History):
    assert {violation.kind for violation in find_violations(history)} == {kind}


def test_every_kind_of_breach_has_a_faulty_history():
    assert {kind for kind, _, _ in FAULTY} == set(Kind)
