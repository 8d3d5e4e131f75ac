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
BATCH_SECONDS = 0.025
"""Lines of this time are written together: 40 wake-ups and calls a second in place of
one a line, 800 a second at a turn's peak. A process that loses its power loses so much
of its log."""


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
        self._dropped_by_event: Counter[int] = Counter()

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
            self._dropped_by_event[event] += 1
            return False
        allowance.lines -= 1.0
        return True

    def record_dropped(self, event: int) -> None:
        """Count a line that was dropped elsewhere."""
        self._dropped_by_event[event] += 1

    def pop_dropped_counts(self) -> dict[int, int]:
        """Return and forget how many lines were left out, by event."""
        dropped_counts = dict(self._dropped_by_event)
        self._dropped_by_event.clear()
        return dropped_counts


class QueuedHandler(logging.Handler):
    """Hands lines to a thread that writes them; drops them when too many wait.

    The reader of the pipe may stop. Written by the event loop itself, the next
    line would then stop the whole process: no lease would be renewed any more.
    """

    def __init__(
        self,
        descriptor: int,
        drop: Callable[[int], None],
        pause: Callable[[Seconds], bool] | None = None,
    ) -> None:
        """Write to ``descriptor``; ``pause`` waits between writes, until it closes."""
        super().__init__()
        self._descriptor = descriptor
        self._drop = drop
        self._closing = threading.Event()
        self._pause = pause or self._closing.wait
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
        self._closing.set()
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
            self._pause(BATCH_SECONDS)
            lines, is_last = self._drain_queue()
            if not self._write(b"".join([line, *lines])) or is_last:
                return

    def _drain_queue(self) -> tuple[list[bytes], bool]:
        """Return the lines that wait, and whether nothing comes after them."""
        lines: list[bytes] = []
        while True:
            try:
                line = self._lines.get_nowait()
            except queue.Empty:
                return lines, False
            if line is None:
                return lines, True
            lines.append(line)

    def _write(self, data: bytes) -> bool:
        """Write all of it; tell whether anybody reads."""
        rest = memoryview(data)
        while rest:
            try:
                rest = rest[os.write(self._descriptor, rest) :]
            except OSError:
                # Nobody reads any more; there is nowhere to say so.
                return False
        return True


__all__ = ["LineLimiter", "QueuedHandler"]
