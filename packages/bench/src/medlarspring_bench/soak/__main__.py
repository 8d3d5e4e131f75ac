"""``python -m medlarspring_bench.soak``: runs soaks of several seeds concurrently."""

from __future__ import annotations

import argparse
import asyncio
import random
import sys
from pathlib import Path

import uvloop

from medlarspring_bench.soak.runner import SoakPlan, SoakResult, run_soak

DEFAULT_AT_ONCE = 4
"""Each soak has four processes, which use about half of a core together."""


def main() -> int:
    """Run the requested seeds; returns 1 if a soak failed."""
    arguments = _parse()
    seeds = list(range(arguments.first, arguments.first + arguments.count))
    if arguments.fresh:
        seeds = [random.SystemRandom().getrandbits(31) for _ in range(arguments.fresh)]
    plan = SoakPlan(fault_count=arguments.faults)
    results = uvloop.run(_run_all(seeds, plan, arguments.at_once, arguments.logs))
    failed = [result for result in results if not result.passed]
    print(f"{len(results)} soaks, {len(failed)} failed")
    return 1 if failed else 0


def _parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="medlarspring_bench.soak")
    parser.add_argument("--first", type=int, default=1, help="first seed")
    parser.add_argument("--count", type=int, default=4, help="number of seeds")
    parser.add_argument(
        "--fresh",
        type=int,
        default=0,
        help="number of random seeds, used instead of --first and --count",
    )
    parser.add_argument("--faults", type=int, default=6, help="faults in each soak")
    parser.add_argument("--at-once", type=int, default=DEFAULT_AT_ONCE)
    parser.add_argument("--logs", type=Path, help="folder for the logs of failed soaks")
    return parser.parse_args()


async def _run_all(
    seeds: list[int], plan: SoakPlan, at_once: int, logs: Path | None
) -> list[SoakResult]:
    free_slots = asyncio.Semaphore(at_once)

    async def run_seed(seed: int) -> SoakResult:
        async with free_slots:
            result = await run_soak(seed, plan)
        _print_result(result, logs)
        return result

    return await asyncio.gather(*(run_seed(seed) for seed in seeds))


def _print_result(result: SoakResult, logs: Path | None) -> None:
    state = "passed" if result.passed else "FAILED"
    print(f"seed {result.seed}: {state}, {result.accepted} jobs; {result.faults}")
    for breach in result.breaches[:10]:
        print(f"  {breach.rule} {breach.subject}: {breach.detail}")
    for line in result.unfinished[:10]:
        print(f"  unfinished {line}")
    sys.stdout.flush()
    if logs is None or result.passed:
        return
    logs.mkdir(parents=True, exist_ok=True)
    for number, (name, text) in enumerate(result.logs):
        path = logs / f"{result.seed}-{number}-{name}.log"
        path.write_text(text, encoding="utf-8")


if __name__ == "__main__":
    sys.exit(main())
