"""Interface for keys and formats of the platform's and the operator's records."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from medlarspring_tables import MedlarspringError

if TYPE_CHECKING:
    from returns.result import Result

    from medlarspring_tables import WaveId
    from medlarspring_tables.scheduling import OperatorConfig, WaveOrder, WorkerEntry


class RecordUnreadable(MedlarspringError):
    """A record of the platform or the operator can't be read."""

    code = "record-unreadable"

    def __init__(self, key: str, detail: str) -> None:
        super().__init__(key, detail)
        self.key = key
        self.detail = detail

    def message(self) -> str:
        """Return which record can't be read and what to do."""
        return (
            f"The record {self.key} can't be read ({self.detail}). The last readable"
            " one stays in force; correct the record or upgrade this entry VM."
        )


class FleetCodec(Protocol):
    """Keys and formats of the operator's and the workers' records."""

    operator_prefix: str
    """Prefix of all records that the operator writes."""
    worker_prefix: str
    """Prefix of the workers' entries."""

    def is_config(self, key: str) -> bool:
        """Return whether the key holds the configuration."""
        ...

    def is_wave(self, key: str) -> bool:
        """Return whether the key holds the order of a maintenance wave."""
        ...

    def decode_config(
        self, key: str, value: bytes
    ) -> Result[OperatorConfig, RecordUnreadable]:
        """Decode the operator's configuration."""
        ...

    def decode_wave(
        self, key: str, value: bytes
    ) -> Result[WaveOrder, RecordUnreadable]:
        """Decode the order of a wave."""
        ...

    def decode_worker(
        self, key: str, value: bytes
    ) -> Result[WorkerEntry, RecordUnreadable]:
        """Decode a worker's entry."""
        ...

    def encode_wave_status(
        self, wave_id: WaveId, *, complete: bool
    ) -> tuple[str, bytes]:
        """Return the key and value that report a wave's progress to the operator."""
        ...


__all__ = ["FleetCodec", "RecordUnreadable"]
