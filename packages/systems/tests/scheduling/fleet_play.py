"""Plays tasks on workers of uneven speed, with the decisions of a real controller."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from medlarspring_systems.scheduling.listings import apply_listing, list_ended_tasks
from medlarspring_systems.scheduling.repair import plan_repairs
from medlarspring_systems.scheduling.rounds import plan_round
from medlarspring_systems.scheduling.runs import confirm_run, drop_needless_runs
from medlarspring_tables.scheduling import EndedRow, RunEnd, RunningRow, RunState

from .conftest import NOW, POOL

if TYPE_CHECKING:
    from collections.abc import Callable

    from medlarspring_systems.scheduling.stragglers import Straggler
    from medlarspring_tables.scheduling import Run, Task, Worker

    from .conftest import Scene

TICK_SECONDS = 0.1
REPORT_TICKS = 5
"""Ticks between two reports of progress."""


@dataclass
class FleetPlay:
    """Runs tasks of a scene until they end; time passes in ticks."""

    scene: Scene
    measure_length: Callable[[Task], float]
    """Seconds that a task takes on a sound worker."""
    measure_delay: Callable[[Worker], float] = lambda worker: 1.0
    """How many times as long tasks take on a worker."""
    now: float = NOW
    stragglers: list[Straggler] = field(default_factory=list)
    ends: list[tuple[Run, RunEnd]] = field(default_factory=list)
    _ticks: int = 0
    _work: dict[Run, float] = field(default_factory=dict)
    _saved: dict[Task, float] = field(default_factory=dict)

    def play(self, seconds: float) -> None:
        for _ in range(round(seconds / TICK_SECONDS)):
            self.tick()

    def tick(self) -> None:
        self.now += TICK_SECONDS
        self._ticks += 1
        for worker in list(self.scene.tables.workers_by_id.values()):
            if not worker.unanswered_since:
                self._report(worker)
        repairs = plan_repairs(self.scene.tables, self.now)
        self.stragglers += repairs.stragglers
        for run, reason in repairs.stops:
            run.stopping, run.stop_reason = True, run.stop_reason or reason
        plan_round(self.scene.tables, POOL, self.now)
        self._begin_runs()
        self._check_runs()

    def _begin_runs(self) -> None:
        for worker in self.scene.tables.workers_by_id.values():
            for run in worker.runs.values():
                if run.state is RunState.INTENDED:
                    confirm_run(run, self.now)
                    resumed = self._saved.get(run.task, 0.0) if run.checkpoint else 0.0
                    self._work[run] = resumed

    def _report(self, worker: Worker) -> None:
        worker.answered_at = self.now
        rows, ended = [], []
        for run in list(worker.runs.values()):
            length = self.measure_length(run.task)
            self._work[run] += TICK_SECONDS / self.measure_delay(worker)
            done = self._work[run] >= length
            if done or run.stopping:
                end = RunEnd.DONE if done else RunEnd.STOPPED
                number = worker.last_end_number + len(ended) + 1
                saved = self._save(run)
                ended.append(EndedRow(number, run.task.id, run.number, end, saved))
                continue
            percent = int(100 * self._work[run] / length)
            if self._ticks % REPORT_TICKS:
                percent = run.percent
            row = RunningRow(run.task.id, run.number, self._save(run), percent)
            rows.append(row)
        outcome = apply_listing(
            self.scene.tables, worker, rows, ended, self.now, self.now
        )
        self.ends += outcome.ended
        for task in list_ended_tasks(outcome):
            for run in drop_needless_runs(self.scene.tables, task, self.now):
                run.stopping, run.stop_reason = True, "its task is done"

    def _save(self, run: Run) -> str:
        if not run.task.step.spec.checkpoints:
            return ""
        self._saved[run.task] = self._work[run]
        return f"at {self._work[run]:.1f}"

    def _check_runs(self) -> None:
        for worker in self.scene.tables.workers_by_id.values():
            assert worker.cpu_free >= 0
            for run in worker.runs.values():
                assert len(run.task.runs) <= 1 + run.task.step.spec.speculative


__all__ = ["FleetPlay"]
