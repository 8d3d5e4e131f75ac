"""Rate-limited log output that never blocks the process."""

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
"""Limit for each event; a controller of 600 tasks a second stays below it on average,
and each event takes less than 1% of a core."""
BURST_LINES = 1_200.0
MAX_WAITING_LINES = 5_000
"""Lines queued while the reader does not read; about 2 MB."""
CLOSE_SECONDS = 0.5
BATCH_SECONDS = 0.025
"""Lines of this period are written together: 40 wake-ups and system calls a second
instead of one per line, which is 800 a second at the peak of a burst. The lines of
this period are lost if the machine loses power."""


@dataclass(slots=True)
class Allowance:
    """Token bucket of one event: lines that it may still write, refilled over time."""

    lines: float
    at: Seconds


class LineLimiter:
    """Limits the rate of each event's lines and counts dropped lines."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._allowances_by_event: dict[int, Allowance] = {}
        self._dropped_by_event: Counter[int] = Counter()

    def may_write(self, event: int) -> bool:
        """Use one line of an event's allowance; return whether one was left."""
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
        """Return and reset the number of dropped lines by event."""
        dropped_counts = dict(self._dropped_by_event)
        self._dropped_by_event.clear()
        return dropped_counts


class QueuedHandler(logging.Handler):
    """Queues lines for a writer thread and drops them when the queue is full.

    The reader of the pipe may stop reading. If the event loop wrote the lines, the
    next one would then block the whole process, and no lease would be renewed.
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
        self._lines: queue.SimpleQueue[bytes | None] = queue.SimpleQueue()
        self._thread = threading.Thread(
            target=self._write_forever, name="log", daemon=True
        )
        self._thread.start()

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a record's line without waiting."""
        line = self.format(record).encode() + b"\n"
        self.put(line, getattr(record, "event", 0))

    def put(self, line: bytes, event: int) -> None:
        """Queue a line of an event without waiting; drop it if the queue is full."""
        if self._lines.qsize() >= MAX_WAITING_LINES:
            self._drop(event)
            return
        self._lines.put(line)

    def close(self) -> None:
        """Write the queued lines, waiting for a bounded time."""
        self._closing.set()
        self._lines.put(None)
        # If the reader has stopped, the remaining lines are lost.
        self._thread.join(CLOSE_SECONDS)
        super().close()

    def _write_forever(self) -> None:
        while (line := self._lines.get()) is not None:
            self._pause(BATCH_SECONDS)
            lines, is_last = self._drain_queue()
            if not self._write(b"".join([line, *lines])) or is_last:
                return

    def _drain_queue(self) -> tuple[list[bytes], bool]:
        """Return the queued lines and whether they are the last ones."""
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
        """Write all data; return False if the descriptor can't be written to."""
        rest = memoryview(data)
        while rest:
            try:
                rest = rest[os.write(self._descriptor, rest) :]
            except OSError:
                # The reader has closed the pipe, so the error can't be logged.
                return False
        return True


__all__ = ["LineLimiter", "QueuedHandler"]
