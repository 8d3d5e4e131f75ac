"""Counts the calls that a stand-in receives, as the platform's services do."""

from __future__ import annotations

from collections import Counter, deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from medlarspring_adapters.clock import Clock

RETENTION_SECONDS = 600


class CallCounts:
    """Numbers of calls by kind, by client and by second."""

    def __init__(self, clock: Clock) -> None:
        self.by_kind: Counter[str] = Counter()
        self.by_client: Counter[str] = Counter()
        self.open_watches = 0
        self._clock = clock
        self._by_second: deque[tuple[int, Counter[str]]] = deque(
            maxlen=RETENTION_SECONDS
        )

    def count(self, kind: str, client: str) -> None:
        """Count one call."""
        self.by_kind[kind] += 1
        self.by_client[client] += 1
        second = int(self._clock.now())
        if not self._by_second or self._by_second[-1][0] != second:
            self._by_second.append((second, Counter()))
        self._by_second[-1][1][kind] += 1

    def summary(self) -> dict[str, object]:
        """Return all counts and, for each kind, its highest number in one second."""
        peak_by_kind: Counter[str] = Counter()
        for _, counts in self._by_second:
            peak_by_kind |= counts
        return {
            "by_kind": self.by_kind,
            "by_client": self.by_client,
            "peak_per_second_by_kind": peak_by_kind,
            "open_watches": self.open_watches,
        }


__all__ = ["CallCounts"]
