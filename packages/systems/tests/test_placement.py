from __future__ import annotations

import pytest

from medlarspring_systems.job_admission import (
    NoWorkerLargeEnough,
    PartnerUnknown,
    PoolEmpty,
    QuotaTooSmall,
    check_job,
)
from medlarspring_systems.job_lifecycle import (
    AttemptEnd,
    cancel_job,
    confirm_running,
    end_attempt,
    plan_drain_stops,
)
from medlarspring_systems.job_records import put_job, put_partner, put_worker
from medlarspring_systems.placement import explain_waiting, place_jobs
from medlarspring_systems.placement_rules import Blocked
from medlarspring_systems.preemption import plan_preemptions
from medlarspring_tables import (
    AttemptState,
    Job,
    JobId,
    JobState,
    JobTables,
    JobUrgency,
    PartnerId,
    PartnerUse,
    PoolId,
    RackId,
    Size,
    VMId,
    Worker,
    ZoneId,
)

WORKER_SIZE = Size(32.0, 64.0, 1)
AMPLE_QUOTA = Size(1000.0, 2000.0, 100)


def make_job(id: str, partner: str = "north", cpus: float = 8.0, **fields) -> Job:
    fields.setdefault("declared", Size(cpus, cpus * 2, 0))
    fields.setdefault("submitted_at", 0.0)
    return Job(
        id=JobId(id),
        partner_id=PartnerId(partner),
        pool_id=PoolId("survey"),
        kind="corridor",
        declared_seconds=60.0,
        **fields,
    )


def make_tables(
    workers: int = 4, partners: tuple[str, ...] = ("north", "south"), **weights: float
) -> JobTables:
    tables = JobTables()
    for name in partners:
        partner = PartnerUse(PartnerId(name), weights.get(name, 1.0), AMPLE_QUOTA)
        put_partner(tables, partner)
    for number in range(workers):
        put_worker(
            tables,
            Worker(
                VMId(f"vm-{number}"),
                PoolId("survey"),
                RackId(f"rack-{number // 4}"),
                ZoneId("a"),
                WORKER_SIZE,
            ),
        )
    return tables


def run_until_confirmed(tables: JobTables, now: float = 0.0) -> list[Job]:
    jobs = [start.job for start in place_jobs(tables, now, 1000)]
    for job in jobs:
        confirm_running(tables, job.id, job.attempt.number)
    return jobs


def fail_everywhere(tables: JobTables, job_id: str, now: float = 0.0) -> Job:
    for _ in range(20):
        place_jobs(tables, now, 100)
        job = tables.jobs_by_id[JobId(job_id)]
        if job.attempt is None:
            return job
        end_attempt(tables, job.id, job.attempt.number, AttemptEnd.FAILED, now)
    return tables.jobs_by_id[JobId(job_id)]


@pytest.mark.parametrize(
    ("job", "workers", "error"),
    [
        (make_job("j", cpus=64.0), 4, NoWorkerLargeEnough),
        (make_job("j", declared=Size(1, 1, 2)), 4, NoWorkerLargeEnough),
        (make_job("j", cpus=5000.0), 4, QuotaTooSmall),
        (make_job("j", partner="nobody"), 4, PartnerUnknown),
        (make_job("j"), 0, PoolEmpty),
    ],
)
def test_job_that_can_never_run_is_refused_with_the_remedy(job, workers, error):
    refusal = check_job(make_tables(workers), job).failure()
    assert type(refusal) is error
    assert "medlarspring" in refusal.message() or "Submit" in refusal.message()


def test_two_partners_get_capacity_by_weight():
    tables = make_tables(workers=4, south=3.0)
    tables.spare_percent = 0.0
    for number in range(32):
        put_job(tables, make_job(f"n{number:02}", "north"))
        put_job(tables, make_job(f"s{number:02}", "south"))
    run_until_confirmed(tables)
    held = {key: use.held.cpus for key, use in tables.partners_by_id.items()}
    assert held == {"north": 32.0, "south": 96.0}


def test_partner_never_holds_more_than_its_quota():
    tables = make_tables()
    tables.partners_by_id[PartnerId("north")].quota = Size(20.0, 100.0, 0)
    for number in range(5):
        put_job(tables, make_job(f"j{number}"))
    assert len(run_until_confirmed(tables)) == 2
    waiting = tables.jobs_by_id[JobId("j4")]
    assert explain_waiting(tables, waiting, 0.0) is Blocked.QUOTA


def test_work_that_is_not_preemptible_stays_out_of_the_spare():
    tables = make_tables(workers=4)
    tables.spare_percent = 25.0
    for number in range(16):
        put_job(tables, make_job(f"firm{number:02}"))
    assert len(run_until_confirmed(tables)) == 12
    for number in range(16):
        put_job(tables, make_job(f"soft{number:02}", "south", can_checkpoint=True))
    assert len(run_until_confirmed(tables)) == 4


def test_urgent_job_on_a_full_pool_preempts_one_attempt():
    """
    The pool is full of preemptible work when an urgent job is submitted. One
    attempt is stopped and its worker is reserved for the urgent job, so another
    job submitted meanwhile does not get the freed capacity.
    """
    tables = make_tables(workers=2)
    for number in range(8):
        put_job(tables, make_job(f"soft{number}", can_checkpoint=True))
    run_until_confirmed(tables)
    urgent = make_job("urgent", "south", urgency=JobUrgency.URGENT, submitted_at=5.0)
    put_job(tables, urgent)
    assert place_jobs(tables, 5.0, 10) == []
    (stop,) = plan_preemptions(tables, 5.0)
    assert plan_preemptions(tables, 5.2) == []
    put_job(tables, make_job("rival", "south", submitted_at=1.0))
    ended = stop.job.attempt
    end_attempt(tables, stop.job.id, ended.number, AttemptEnd.CHECKPOINTED, 6.0)
    (start,) = place_jobs(tables, 6.0, 10)
    assert start.job.id == "urgent"
    assert tables.jobs_by_id[stop.job.id].state is JobState.WAITING


def test_bulk_job_starts_although_newer_jobs_keep_coming():
    """
    Normal jobs arrive faster than one worker runs them. Without a bound on
    overtaking, the bulk job would wait forever. With it, the bulk job starts
    before all jobs submitted more than ten minutes later.
    """
    tables = make_tables(workers=1)
    tables.spare_percent = 0.0
    put_job(tables, make_job("bulk", cpus=32.0, urgency=JobUrgency.BULK))
    for minute in range(1, 40):
        now = minute * 60.0
        for name in ("a", "b"):
            job = make_job(f"{name}{minute}", cpus=32.0, submitted_at=now)
            put_job(tables, job)
        (start,) = place_jobs(tables, now, 10)
        if start.job.id == "bulk":
            return
        assert start.job.submitted_at <= 600.0
        number = start.job.attempt.number
        end_attempt(tables, start.job.id, number, AttemptEnd.SUCCEEDED, now)
    pytest.fail("the bulk job never started")


@pytest.mark.parametrize("spare_percent", [0.0, 10.0, 40.0])
def test_large_job_gets_a_worker_though_small_ones_keep_coming(spare_percent):
    """
    Small jobs use all capacity that becomes free, so a job as large as a worker
    never fits. After two minutes one worker is reserved for it and empties.
    """
    tables = make_tables(workers=2)
    tables.spare_percent = spare_percent
    for number in range(8):
        put_job(tables, make_job(f"s{number:03}"))
    running = run_until_confirmed(tables)
    put_job(tables, make_job("large", "south", cpus=32.0))
    for second in range(1, 400):
        if running:
            oldest = running.pop(0)
            number = oldest.attempt.number
            end_attempt(tables, oldest.id, number, AttemptEnd.SUCCEEDED, second)
        put_job(tables, make_job(f"t{second:03}", submitted_at=float(second)))
        running += run_until_confirmed(tables, float(second))
        if any(job.id == "large" for job in running):
            return
    pytest.fail("the large job never started")


def test_worker_that_fails_everything_is_quarantined_on_different_jobs():
    tables = make_tables(workers=4)
    faulty = tables.workers_by_id[VMId("vm-0")]
    for number in range(12):
        put_job(tables, make_job(f"j{number:02}"))
    for _ in range(6):
        for start in place_jobs(tables, 10.0, 100):
            end = AttemptEnd.SUCCEEDED
            if start.job.attempt.vm_id == faulty.id:
                end = AttemptEnd.FAILED
            end_attempt(tables, start.job.id, start.job.attempt.number, end, 10.0)
    assert faulty.quarantined_until > 10.0
    assert all(job.state is JobState.DONE for job in tables.jobs_by_id.values())


def test_job_that_fails_everywhere_is_failed_without_quarantining_workers():
    """
    One job fails on every worker. After three workers the job itself is failed
    with that reason, and its failures no longer count against the workers.
    """
    tables = make_tables(workers=6)
    put_job(tables, make_job("poison"))
    job = fail_everywhere(tables, "poison")
    assert job.state is JobState.FAILED
    assert "3 different workers" in job.reason
    assert not any(worker.failed_job_ids for worker in tables.workers_by_id.values())
    assert not any(worker.quarantine_count for worker in tables.workers_by_id.values())


def test_late_report_of_an_earlier_attempt_is_ignored():
    """
    An attempt is lost, the job runs on another worker, and then the first worker
    reports its end. Applying that report would release the second worker.
    """
    tables = make_tables()
    put_job(tables, make_job("j"))
    (first,) = run_until_confirmed(tables)
    end_attempt(tables, first.id, 1, AttemptEnd.LOST, 1.0)
    (second,) = run_until_confirmed(tables, 2.0)
    assert end_attempt(tables, first.id, 1, AttemptEnd.SUCCEEDED, 3.0) is None
    assert tables.jobs_by_id[second.id].attempt.number == 2


def test_cancelled_job_waits_for_the_worker_to_stop():
    tables = make_tables()
    put_job(tables, make_job("running"))
    run_until_confirmed(tables)
    put_job(tables, make_job("waiting"))
    for id in ("waiting", "running"):
        put_job(tables, cancel_job(tables.jobs_by_id[JobId(id)], "by operator", 0.0))
    assert tables.jobs_by_id[JobId("waiting")].state is JobState.CANCELLED
    running = tables.jobs_by_id[JobId("running")]
    assert running.attempt.state is AttemptState.STOPPING
    assert tables.held.cpus == 8.0
    end_attempt(tables, JobId("running"), 1, AttemptEnd.STOPPED, 1.0)
    assert tables.jobs_by_id[JobId("running")].state is JobState.CANCELLED
    assert tables.held.cpus == 0.0
    assert place_jobs(tables, 1.0, 10) == []


def test_drained_worker_checkpoints_preemptible_attempts():
    tables = make_tables(workers=1)
    tables.spare_percent = 0.0
    put_job(tables, make_job("soft", can_checkpoint=True))
    put_job(tables, make_job("firm"))
    run_until_confirmed(tables)
    tables.workers_by_id[VMId("vm-0")].accepts_work = False
    assert [stop.job.id for stop in plan_drain_stops(tables)] == ["soft"]
    assert plan_drain_stops(tables) == []


def test_sizes_are_estimated_from_observed_use():
    tables = make_tables(workers=4)
    tables.spare_percent = 0.0
    for number in range(16):
        put_job(tables, make_job(f"j{number:02}"))
    for job in run_until_confirmed(tables):
        number = job.attempt.number
        used = Size(0.8, 1.6)
        end_attempt(tables, job.id, number, AttemptEnd.SUCCEEDED, 9.0, peak=used)
    for number in range(400):
        put_job(tables, make_job(f"k{number:03}", submitted_at=10.0))
    assert len(run_until_confirmed(tables, 10.0)) > 100


def test_large_job_gets_its_quota_although_its_partner_submits_small_ones():
    """
    The quota fits four small jobs or one large one, and small jobs keep coming.
    Once the large job has waited two minutes, none of them may overtake it.
    """
    tables = make_tables()
    tables.partners_by_id[PartnerId("north")].quota = Size(32.0, 64.0, 0)
    for number in range(4):
        put_job(tables, make_job(f"s{number:03}"))
    running = run_until_confirmed(tables)
    put_job(tables, make_job("large", cpus=32.0))
    for second in range(1, 400):
        if running:
            oldest = running.pop(0)
            number = oldest.attempt.number
            end_attempt(tables, oldest.id, number, AttemptEnd.SUCCEEDED, second)
        put_job(tables, make_job(f"t{second:03}", submitted_at=float(second)))
        running += run_until_confirmed(tables, float(second))
        if any(job.id == "large" for job in running):
            return
    pytest.fail("the large job never started")


@pytest.mark.parametrize(
    ("partner_of_soft", "stops"), [("south", ["soft0"]), ("north", [])]
)
def test_partner_over_its_share_preempts_only_its_own_work(partner_of_soft, stops):
    """
    South holds three of four workers with work that is not preemptible and
    submits an urgent job. It may preempt its own work, but preempting north's
    would use north's share.
    """
    tables = make_tables(workers=4)
    tables.spare_percent = 0.0
    for number in range(3):
        put_job(tables, make_job(f"firm{number}", "south", cpus=32.0))
    run_until_confirmed(tables)
    put_job(tables, make_job("soft0", partner_of_soft, cpus=32.0, can_checkpoint=True))
    run_until_confirmed(tables)
    put_job(tables, make_job("now", "south", urgency=JobUrgency.URGENT))
    assert place_jobs(tables, 1.0, 10) == []
    assert [stop.job.id for stop in plan_preemptions(tables, 1.0)] == stops


def test_job_that_ran_out_of_memory_gets_more_at_its_next_attempt():
    """
    The job declares a tenth of the memory that it needs. Placed again at the same
    size, it would run out of memory on every worker it starts on.
    """
    tables = make_tables()
    put_job(tables, make_job("j", declared=Size(1, 4)))
    sizes = []
    for _ in range(3):
        (job,) = run_until_confirmed(tables)
        sizes.append(job.attempt.size.memory_gb)
        peak = Size(1, job.attempt.size.memory_gb)
        number = job.attempt.number
        end = AttemptEnd.OUT_OF_MEMORY
        end_attempt(tables, job.id, number, end, 1.0, peak=peak)
    assert sizes == [4, 8, 16]
    assert not any(worker.failed_job_ids for worker in tables.workers_by_id.values())


def test_work_that_can_only_be_throttled_stays_out_of_the_spare():
    """
    Nothing throttles running work yet, so spare capacity that it held could not
    be reclaimed when urgent work arrives.
    """
    tables = make_tables(workers=4)
    tables.spare_percent = 25.0
    for number in range(16):
        put_job(tables, make_job(f"j{number:02}", can_throttle=True))
    assert len(run_until_confirmed(tables)) == 12


def place_until_idle(tables: JobTables, seconds: int) -> set[str]:
    """Place jobs once a second; return the ids of those that started."""
    started: set[str] = set()
    for now in range(seconds):
        started |= {start.job.id for start in place_jobs(tables, 10.0 + now, 50)}
    return started


@pytest.mark.parametrize("waiting", [8, 200])
def test_jobs_without_a_worker_do_not_keep_others_of_their_partner_waiting(waiting):
    """Guards against jobs that wait beside idle processors, behind some that can't run.

    All accelerators are in use; the small job needs none.
    """
    tables = make_tables(workers=4)
    for number in range(4 + waiting):
        needs_one = make_job(f"accelerated-{number}", declared=Size(1.0, 2.0, 1))
        put_job(tables, needs_one)
    assert len(place_jobs(tables, 0.0, 50)) == 4
    put_job(tables, make_job("small", cpus=1.0, submitted_at=1.0))
    assert place_until_idle(tables, 30) == {"small"}


def test_job_beyond_its_partners_whole_quota_does_not_block_the_others():
    """Guards against a partner whose jobs all wait once its quota was lowered."""
    tables = make_tables(workers=4)
    put_job(tables, make_job("large", cpus=16.0))
    put_job(tables, make_job("small", cpus=2.0, submitted_at=1.0))
    lowered = PartnerUse(id=PartnerId("north"), weight=1.0, quota=Size(8.0, 64.0, 0))
    put_partner(tables, lowered)
    assert {start.job.id for start in place_jobs(tables, 1_000.0, 50)} == {"small"}
