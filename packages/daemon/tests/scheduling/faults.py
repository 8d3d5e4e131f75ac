"""Exceptions raised in place of the functions of a controller."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable

    import pytest


class Fault:
    """Lets calls of one function raise while ``calls_left`` is 1 or more."""

    def __init__(
        self,
        patch: pytest.MonkeyPatch,
        owner: Any,
        name: str,
        *,
        concerns: Callable[..., bool] = lambda *_, **__: True,
    ) -> None:
        self.calls_left = 0.0
        called = getattr(owner, name)

        def call(*args: Any, **options: Any) -> Any:
            if self.calls_left >= 1 and concerns(*args, **options):
                self.calls_left -= 1
                raise RuntimeError("injected")
            return called(*args, **options)

        patch.setattr(owner, name, call)


def count_calls(
    patch: pytest.MonkeyPatch, owner: Any, name: str
) -> list[tuple[Any, ...]]:
    """Return a list to which each call of a function adds its arguments."""
    calls: list[tuple[Any, ...]] = []
    called = getattr(owner, name)

    def call(*args: Any, **options: Any) -> Any:
        calls.append(args)
        return called(*args, **options)

    patch.setattr(owner, name, call)
    return calls
