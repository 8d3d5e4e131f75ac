"""Steps for tests of scheduling."""

from __future__ import annotations

from medlarspring_tables.scheduling import StepSpec


def create_step(**changes: object) -> StepSpec:
    """Return a step of one small task, but for what a test changes."""
    values = {"count": 1, "cpu_millis": 2_000, "memory_mb": 1_000, "estimate_ms": 500}
    return StepSpec(**{**values, **changes})  # type: ignore[arg-type]
