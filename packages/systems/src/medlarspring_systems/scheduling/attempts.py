"""Attempts at one part of a system's work, whose failure must not cost the others."""

from __future__ import annotations

from typing import TYPE_CHECKING, ParamSpec

if TYPE_CHECKING:
    from collections.abc import Callable

P = ParamSpec("P")


def attempt(
    failures: list[Exception],
    work: Callable[P, object],
    *args: P.args,
    **kwargs: P.kwargs,
) -> bool:
    """Do ``work``, and add an exception to ``failures``; return whether it was done."""
    try:
        work(*args, **kwargs)
    except Exception as failure:
        failures.append(failure)
        return False
    return True


__all__ = ["attempt"]
