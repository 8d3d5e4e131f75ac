"""Starts, monitors, pauses and ends child processes of tests and of the demo."""

from __future__ import annotations

import ctypes
import os
import signal
import subprocess
import sys
import threading
import time
from collections import deque
from typing import IO, TYPE_CHECKING, Any

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence
    from pathlib import Path
    from types import TracebackType

LISTENING_EVENT = 1001
START_SECONDS = 30.0
END_SECONDS = 5.0
KEPT_LINES = 50_000
PR_SET_PDEATHSIG = 1

RECEIVED_AT = "received_at"

LogRecord = dict[str, Any]
"""One JSON line that a process wrote; ``received_at`` is monotonic time."""


class ProcessFailed(Exception):
    """A process ended or did not write the awaited line in time."""


class Process:
    """One child process; threads read its output as it is written."""

    def __init__(
        self, name: str, command: Sequence[str], env: Mapping[str, str] | None
    ) -> None:
        self.name = name
        self.command = list(command)
        self._changed = threading.Condition()
        self._lines: deque[str] = deque(maxlen=KEPT_LINES)
        self._records: deque[LogRecord] = deque(maxlen=KEPT_LINES)
        self._popen = subprocess.Popen(
            self.command,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            env={**os.environ, **(env or {})},
            preexec_fn=_set_parent_death_signal,
        )
        assert self._popen.stdout is not None
        assert self._popen.stderr is not None
        for stream in (self._popen.stdout, self._popen.stderr):
            threading.Thread(target=self._read, args=(stream,), daemon=True).start()

    @property
    def pid(self) -> int:
        """The process id."""
        return self._popen.pid

    @property
    def status(self) -> int | None:
        """The exit status; None while the process runs."""
        return self._popen.poll()

    def records(self, event: int | None = None) -> list[LogRecord]:
        """Return the JSON lines so far, optionally of one event only."""
        with self._changed:
            return [
                record
                for record in self._records
                if event is None or record.get("event") == event
            ]

    def output(self) -> str:
        """Return the newest ``KEPT_LINES`` lines that the process wrote."""
        with self._changed:
            return "\n".join(self._lines)

    def wait_for_record(
        self,
        matches: Callable[[LogRecord], bool],
        seconds: float = START_SECONDS,
    ) -> LogRecord:
        """Wait for a JSON line; fails with the output if it does not come."""
        deadline = time.monotonic() + seconds
        with self._changed:
            while True:
                for record in self._records:
                    if matches(record):
                        return record
                left = deadline - time.monotonic()
                if left <= 0 or self.status is not None:
                    break
                self._changed.wait(min(left, 0.2))
        raise ProcessFailed(
            f"{self.name} (status {self.status}) did not write the line in"
            f" {seconds} s; its output:\n{self.output()}"
        )

    def wait_until_listening(self, seconds: float = START_SECONDS) -> LogRecord:
        """Wait for the addresses of a daemon's open ports."""
        return self.wait_for_record(
            lambda record: record.get("event") == LISTENING_EVENT, seconds
        )

    def wait_for_announcement(self, seconds: float = START_SECONDS) -> LogRecord:
        """Wait for the addresses of a stand-in's open ports."""
        return self.wait_for_record(lambda record: "control" in record, seconds)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.status is None:
            self._popen.kill()
        self._popen.wait()

    def terminate(self) -> None:
        """Ask the process to shut down."""
        if self.status is None:
            self._popen.terminate()

    def pause(self) -> None:
        """Suspend the process with SIGSTOP."""
        self._popen.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a paused process with SIGCONT."""
        self._popen.send_signal(signal.SIGCONT)

    def wait(self, seconds: float = END_SECONDS) -> int:
        """Wait for the end and return the exit status."""
        return self._popen.wait(seconds)

    def _read(self, stream: IO[bytes]) -> None:
        for raw in stream:
            line = raw.decode(errors="replace").rstrip("\n")
            try:
                record = msgspec.json.decode(raw)
            except msgspec.DecodeError:
                record = None
            with self._changed:
                self._lines.append(line)
                if isinstance(record, dict):
                    record[RECEIVED_AT] = time.monotonic()
                    self._records.append(record)
                self._changed.notify_all()


class Processes:
    """All processes of one cluster; they end with it or with the parent process."""

    def __init__(self) -> None:
        self.by_name: dict[str, Process] = {}

    def __enter__(self) -> Processes:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.close()

    def start(
        self, name: str, command: Sequence[str], env: Mapping[str, str] | None = None
    ) -> Process:
        """Start a process after killing any earlier one of the same name."""
        former = self.by_name.get(name)
        if former is not None:
            former.kill()
        process = Process(name, command, env)
        self.by_name[name] = process
        return process

    def start_module(self, name: str, module: str, *arguments: str) -> Process:
        """Start ``python -m module``."""
        return self.start(name, [sys.executable, "-m", module, *arguments])

    def start_daemon(self, name: str, settings: Path) -> Process:
        """Start ``medlarspringd``."""
        return self.start_module(name, "medlarspring_daemon.main", str(settings))

    def close(self) -> None:
        """Kill all processes that still run."""
        for process in self.by_name.values():
            if process.status is None:
                process.resume()
                process.kill()


def _set_parent_death_signal() -> None:
    # A killed test run cannot clean up, so the kernel kills its children.
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


__all__ = ["RECEIVED_AT", "LogRecord", "Process", "ProcessFailed", "Processes"]
