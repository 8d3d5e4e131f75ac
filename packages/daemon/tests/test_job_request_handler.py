from __future__ import annotations

import msgspec
import pytest

from medlarspring_adapters.clock import ManualClock
from medlarspring_adapters.job_api import CancelRequest, JobRequest, SubmitRequest
from medlarspring_adapters.job_store import JobStore
from medlarspring_bench.key_value_state import KeyValueState
from medlarspring_bench.memory_store import MemoryStore
from medlarspring_bench.silent_faults import create_unreadable_records
from medlarspring_daemon.jobs.request_handler import JobRequestHandler
from medlarspring_systems.job_records import put_partner, put_worker
from medlarspring_tables import (
    JobId,
    JobState,
    JobTables,
    PartnerId,
    PartnerUse,
    PoolId,
    RackId,
    Revision,
    Size,
    VMId,
    Worker,
    ZoneId,
)
from medlarspring_tables.audit import AuditRecord

POOL = PoolId("survey")
ORIGIN = "127.0.0.1 by entry-1"


def build_tables(pool_id: PoolId) -> JobTables:
    tables = JobTables()
    put_partner(tables, PartnerUse(PartnerId("north"), 1.0, Size(64, 64)))
    worker = Worker(VMId("v"), pool_id, RackId("r"), ZoneId("a"), Size(32, 64))
    put_worker(tables, worker)
    return tables


@pytest.fixture
def store() -> MemoryStore:
    return MemoryStore(KeyValueState(ManualClock()))


@pytest.fixture
def handler(store) -> JobRequestHandler:
    return JobRequestHandler(
        JobStore(store, create_unreadable_records()),
        ManualClock(),
        build_tables,
        lambda: Revision(7),
    )


def create_request(id: str, cpus: float = 1.0, partner: str = "north") -> JobRequest:
    return JobRequest(
        id=JobId(id),
        partner_id=PartnerId(partner),
        pool_id=POOL,
        declared=Size(cpus, 1),
        declared_seconds=1.0,
    )


def submission(*requests: JobRequest) -> SubmitRequest:
    return SubmitRequest(jobs=requests, operator="asha")


@pytest.mark.parametrize(
    ("again", "accepted", "repeated", "code"),
    [
        (create_request("a"), 0, 1, ""),
        (create_request("a", cpus=2.0), 0, 0, "job-id-taken"),
        (create_request("b"), 1, 0, ""),
        (create_request("b", cpus=48.0), 0, 0, "no-worker-large-enough"),
        (create_request("b", partner="nobody"), 0, 0, "partner-unknown"),
    ],
)
async def test_each_job_is_accepted_once_or_refused_with_the_reason(
    handler, again, accepted, repeated, code
):
    await handler.submit(submission(create_request("a")), ORIGIN)
    answer = await handler.submit(submission(again), ORIGIN)
    assert (len(answer.accepted), len(answer.repeated)) == (accepted, repeated)
    assert [refusal.code for refusal in answer.refused] == ([code] if code else [])


@pytest.mark.parametrize(
    ("fault", "outcome"), [("lose_replies", "repeated"), ("lose_requests", "refused")]
)
async def test_submitter_learns_the_outcome_after_a_lost_reply(
    handler, store, fault, outcome
):
    """
    The store's reply is lost, whether or not the record was written. The handler
    reads the record, so the submitter learns the outcome, and a retry does not
    report the submitter's own job as another job with the same id.
    """
    setattr(store.faults, fault, 1)
    answer = await handler.submit(submission(create_request("a")), ORIGIN)
    assert len(getattr(answer, outcome)) == 1
    again = await handler.submit(submission(create_request("a")), ORIGIN)
    assert len(again.accepted) + len(again.repeated) == 1


async def test_ten_thousand_cancellations_are_written_in_batches(handler, store):
    for start in range(0, 10_000, 1000):
        requests = [
            create_request(f"j{number:05}") for number in range(start, start + 1000)
        ]
        await handler.submit(submission(*requests), ORIGIN)
    store.calls_by_kind.clear()
    answer = await handler.cancel(CancelRequest(pool_id=POOL, operator="asha"), ORIGIN)
    assert (answer.unwrap().cancelled, answer.unwrap().remaining) == (10_000, 0)
    assert sum(store.calls_by_kind.values()) <= 10_000 / 63 + 3
    listed = await handler.list_jobs(POOL, None, JobState.CANCELLED)
    assert listed.unwrap().counts_by_state == {"cancelled": 10_000}


async def test_waiting_job_shows_its_reason_for_waiting(handler):
    await handler.submit(submission(create_request("a", cpus=30.0)), ORIGIN)
    view = (await handler.find_job(POOL, JobId("a"))).unwrap()
    assert "spare" in view.waits_for


async def test_submission_and_cancellation_are_on_the_audit_trail(handler, store):
    await handler.submit(submission(create_request("a"), create_request("b")), ORIGIN)
    await handler.cancel(CancelRequest(pool_id=POOL, operator="juma"), ORIGIN)
    entries = (await store.read_prefix("audit/000000000007-")).unwrap().entries
    records = [msgspec.json.decode(entry.value, type=AuditRecord) for entry in entries]
    found = {
        (record.action, record.operator, len(record.changes)) for record in records
    }
    assert found == {("job submit", "asha", 2), ("job cancel", "juma", 2)}
