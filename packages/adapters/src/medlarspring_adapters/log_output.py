"""Log lines that are bounded in number and never block the process."""

from __future__ import annotations

import logging
import os
import queue
import threading
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from medlarspring_adapters.clock import Clock
    from medlarspring_tables import Seconds

LINES_PER_SECOND = 400.0
"""Of one event; a controller of 600 tasks a second stays below it on average, and
a line takes 25 microseconds, so that each event takes 1% of a core at most."""
BURST_LINES = 1_200.0
MAX_WAITING_LINES = 5_000
"""Lines that wait for a reader that has stopped; about 2 MB."""
CLOSE_SECONDS = 0.5


@dataclass(slots=True)
class Allowance:
    """Lines that one event may still write, refilled over time."""

    lines: float
    at: Seconds


class LineLimiter:
    """Bounds the lines of each event, and counts what was left out."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._allowances_by_event: dict[int, Allowance] = {}
        self._left_out_by_event: Counter[int] = Counter()

    def may_write(self, event: int) -> bool:
        """Use up one line of an event; tell whether there was one."""
        now = self._clock.now()
        allowance = self._allowances_by_event.get(event)
        if allowance is None:
            allowance = Allowance(BURST_LINES, now)
            self._allowances_by_event[event] = allowance
        gained = (now - allowance.at) * LINES_PER_SECOND
        allowance.lines = min(allowance.lines + gained, BURST_LINES)
        allowance.at = now
        if allowance.lines < 1.0:
            self._left_out_by_event[event] += 1
            return False
        allowance.lines -= 1.0
        return True

    def note_left_out(self, event: int) -> None:
        """Count a line that was dropped elsewhere."""
        self._left_out_by_event[event] += 1

    def take_left_out(self) -> dict[int, int]:
        """Return and forget how many lines were left out, by event."""
        left_out = dict(self._left_out_by_event)
        self._left_out_by_event.clear()
        return left_out


class QueuedHandler(logging.Handler):
    """Hands lines to a thread that writes them; drops them when too many wait.

    The reader of the pipe may stop. Written by the event loop itself, the next
    line would then stop the whole process: no lease would be renewed any more.
    """

    def __init__(self, descriptor: int, drop: Callable[[int], None]) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._drop = drop
        self._lines: queue.Queue[bytes | None] = queue.Queue(MAX_WAITING_LINES)
        self._thread = threading.Thread(
            target=self._write_forever, name="log", daemon=True
        )
        self._thread.start()

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a line without waiting."""
        line = self.format(record).encode() + b"\n"
        try:
            self._lines.put_nowait(line)
        except queue.Full:
            self._drop(getattr(record, "event", 0))

    def close(self) -> None:
        """Write what waits, for a moment at most."""
        try:
            self._lines.put(None, timeout=CLOSE_SECONDS)
        except queue.Full:
            # The reader has stopped; the rest is lost with the process.
            super().close()
            return
        self._thread.join(CLOSE_SECONDS)
        super().close()

    def _write_forever(self) -> None:
        while (line := self._lines.get()) is not None:
            rest = memoryview(line)
            while rest:
                try:
                    rest = rest[os.write(self._descriptor, rest) :]
                except OSError:
                    # Nobody reads any more; there is nowhere to say so.
                    return


__all__ = ["LineLimiter", "QueuedHandler"]
