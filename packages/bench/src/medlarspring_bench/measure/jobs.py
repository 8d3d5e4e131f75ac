"""Measures jobs: waste from wrong sizes, urgent starts and placement cost.

Command: ``python -m medlarspring_bench.measure.jobs``
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from msgspec.structs import replace

from medlarspring_bench.job_pool_model import POOL_ID, ActualNeed, PoolModel
from medlarspring_tables import Job, JobId, JobUrgency, PartnerId, Size

if TYPE_CHECKING:
    import random

SEEDS = range(5)
POOL_WORKERS = 18
"""830 workers over 46 pools."""
TARGET_PARTNERS = 370
FACTORS = (0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0)
"""True use divided by declared use, one factor for each kind of job."""


def make_job(
    rng: random.Random, number: int, now: float, partners: int, cpus: float
) -> tuple[Job, ActualNeed]:
    """Return a job whose true need is its declared size times a factor.

    The factor depends on the partner and the kind of job.
    """
    partner = rng.randrange(partners)
    kind = rng.randrange(3)
    factor = FACTORS[(partner * 3 + kind) % len(FACTORS)]
    declared = Size(cpus, cpus * 2)
    need = Size(min(cpus * factor, 32.0), min(cpus * 2 * factor, 60.0))
    job = Job(
        id=JobId(f"job-{number:06}"),
        partner_id=PartnerId(f"partner-{partner:03}"),
        pool_id=POOL_ID,
        kind=f"kind-{kind}",
        declared=declared,
        declared_seconds=20.0,
        can_checkpoint=True,
        submitted_at=now,
    )
    return job, ActualNeed(need, rng.uniform(5.0, 40.0))


def measure_waste(seed: int, *, learn: bool) -> tuple[float, int, int]:
    """Return the useful fraction of CPU time, jobs done and memory kills."""
    model = PoolModel(seed, POOL_WORKERS, partners=8, learn=learn)
    number = 0
    for _ in range(2400):
        while model.count_waiting() < 200:
            cpus = model.rng.choice((0.5, 1.0, 2.0, 4.0, 8.0))
            model.submit(*make_job(model.rng, number, model.now, 8, cpus))
            number += 1
        model.step()
    figures = model.figures
    return figures.used_part(), figures.done, figures.memory_kills


def measure_urgent(seed: int) -> list[float]:
    """Return the sorted waits of urgent jobs on a full pool, in seconds."""
    model = PoolModel(seed, POOL_WORKERS, partners=8)
    number = 0
    for tick in range(2400):
        while model.count_waiting() < 100:
            cpus = model.rng.choice((2.0, 4.0, 8.0, 16.0))
            model.submit(*make_job(model.rng, number, model.now, 8, cpus))
            number += 1
        if tick > 240 and model.rng.random() < 0.1:
            job, need = make_job(model.rng, number, model.now, 8, 4.0)
            job = replace(job, urgency=JobUrgency.URGENT, kind="urgent")
            model.submit(job, ActualNeed(job.declared, need.seconds_left))
            number += 1
        model.step()
    return sorted(model.figures.urgent_waits)


def measure_tick(workers: int, partners: int, jobs: int) -> tuple[float, float]:
    """Return the milliseconds of a placement round with and without changes."""
    model = PoolModel(1, workers, partners)
    for number in range(jobs):
        cpus = model.rng.choice((2.0, 4.0, 8.0))
        model.submit(*make_job(model.rng, number, model.now, partners, cpus))
    for _ in range(20):
        model.step()
    busy = []
    idle = []
    for _ in range(40):
        model.run_workers()
        busy.append(_time_placement(model))
        idle.append(_time_placement(model))
    return sum(busy) / len(busy), sum(idle) / len(idle)


def _time_placement(model: PoolModel) -> float:
    started = time.perf_counter()
    model.place()
    return (time.perf_counter() - started) * 1000


def main() -> None:
    """Print all figures."""
    for learn in (False, True):
        rows = [measure_waste(seed, learn=learn) for seed in SEEDS]
        used = sum(row[0] for row in rows) / len(rows)
        done = sum(row[1] for row in rows)
        kills = sum(row[2] for row in rows)
        name = "sizes learnt" if learn else "sizes as declared"
        print(f"{name}: useful {used:.3f}, done {done}, memory kills {kills}")
    waits = sorted(wait for seed in SEEDS for wait in measure_urgent(seed))
    p99 = waits[int(len(waits) * 0.99)]
    print(f"urgent starts: {len(waits)}, p50 {waits[len(waits) // 2]:.2f} s,", end=" ")
    print(f"p99 {p99:.2f} s, worst {waits[-1]:.2f} s")
    sizes = ((8, 4, 500), (POOL_WORKERS, TARGET_PARTNERS, 2000), (830, 370, 20_000))
    for workers, partners, jobs in sizes:
        busy, idle = measure_tick(workers, partners, jobs)
        print(f"{workers} workers, {partners} partners, {jobs} jobs:", end=" ")
        print(f"round with news {busy:.2f} ms, without {idle:.2f} ms")


if __name__ == "__main__":
    started = time.perf_counter()
    main()
    print(f"took {time.perf_counter() - started:.1f} s")
