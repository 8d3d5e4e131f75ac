from __future__ import annotations

from medlarspring_daemon.scheduling.job_record_writer import FINAL_VERSION
from medlarspring_daemon.scheduling.unrecorded_ends import UnrecordedEnds
from medlarspring_tables import JobId, PoolId, Revision
from medlarspring_tables.scheduling import (
    ActiveJob,
    JobSpec,
    QueueId,
    QueuePolicy,
    WorkerId,
)

FIRST, SECOND = WorkerId("i-1"), WorkerId("i-2")


def create_job(name: str) -> ActiveJob:
    queue = QueuePolicy(
        id=QueueId("q"),
        pool_id=PoolId("p"),
        max_attempts=3,
        stretch=1.5,
        allowance_ms=0,
        priority=0,
    )
    spec = JobSpec(payload=name, steps=())
    return ActiveJob(
        id=JobId(name),
        queue=queue,
        spec=spec,
        accepted_at_ms=0,
        job_revision=Revision(1),
        arrived_at=0.0,
    )


def test_workers_wait_for_the_record_of_their_job_only():
    ends = UnrecordedEnds()
    job, other = create_job("a"), create_job("b")
    ends.add_ends(FIRST, [(1, job), (2, None), (3, job)])
    ends.add_ends(SECOND, [(1, other)])
    assert list(ends.collect_waiting_workers(job)) == [FIRST]
    assert list(ends.collect_waiting_workers(job)) == []
    assert list(ends.collect_waiting_workers(other)) == [SECOND]


def test_worker_is_kept_until_the_record_holds_its_end():
    """
    A job's record is being written when a second worker lists an end of the same job.
    If the first write removes the job from the index, the second worker is not told
    once its end is recorded. Then it lists the end at each call until another comes.
    """
    ends = UnrecordedEnds()
    job = create_job("a")
    job.version, job.written_version = 2, 1
    ends.add_ends(FIRST, [(1, job)])
    ends.add_ends(SECOND, [(7, job)])
    assert set(ends.collect_waiting_workers(job)) == {FIRST, SECOND}
    job.written_version = 2
    assert set(ends.collect_waiting_workers(job)) == {FIRST, SECOND}
    assert list(ends.collect_waiting_workers(job)) == []


def test_job_is_dropped_once_its_final_record_is_written():
    ends = UnrecordedEnds()
    job = create_job("a")
    job.version = 5
    ends.add_ends(FIRST, [(1, job)])
    job.written_version = FINAL_VERSION
    assert list(ends.collect_waiting_workers(job)) == [FIRST]
    assert list(ends.collect_waiting_workers(job)) == []
