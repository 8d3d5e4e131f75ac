"""Applies the entries of a prefix one by one, so that one fault costs one entry."""

from __future__ import annotations

from typing import TYPE_CHECKING, ParamSpec

from medlarspring_tables import MedlarspringError

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

MAX_NAMED_KEYS = 10
"""Most keys that the message names."""

Arguments = ParamSpec("Arguments")


class EntriesNotApplied(MedlarspringError):
    """A listener has applied all entries of a listing or batch but these."""

    code = "entries-not-applied"

    def __init__(self, errors_by_key: Mapping[str, Exception]) -> None:
        super().__init__(errors_by_key)
        self.errors_by_key = errors_by_key

    def message(self) -> str:
        """Return what failed and what to do."""
        named = ", ".join(list(self.errors_by_key)[:MAX_NAMED_KEYS])
        return (
            f"{len(self.errors_by_key)} entries could not be applied ({named})."
            " All others are in force; correct or remove these entries."
        )


class EntryAttempts:
    """Runs one call for each entry and goes on after those that raise."""

    def __init__(self) -> None:
        self.errors_by_key: dict[str, Exception] = {}

    def run(
        self,
        key: str,
        apply: Callable[Arguments, object],
        *args: Arguments.args,
        **kwargs: Arguments.kwargs,
    ) -> None:
        """Apply one entry; a failure is kept for ``raise_failed``."""
        try:
            apply(*args, **kwargs)
        except Exception as error:  # noqa: BLE001
            self.errors_by_key[key] = error

    def raise_failed(self) -> None:
        """Raise ``EntriesNotApplied`` if any entry could not be applied."""
        if self.errors_by_key:
            raise EntriesNotApplied(self.errors_by_key) from next(
                iter(self.errors_by_key.values())
            )


__all__ = ["EntriesNotApplied", "EntryAttempts"]
