"""How the platform spells what it and the operator keep in the store."""

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
        """Say which record and what to do."""
        return (
            f"The record {self.key} can't be read ({self.detail}). The last readable"
            " one stays in force; correct the record or upgrade this entry VM."
        )


class FleetCodec(Protocol):
    """Keys and formats of the operator's and the workers' records."""

    operator_prefix: str
    """Prefix of all that the operator writes."""
    worker_prefix: str
    """Prefix of the workers' entries."""

    def is_config(self, key: str) -> bool:
        """Tell whether the key holds the configuration."""
        ...

    def is_wave(self, key: str) -> bool:
        """Tell whether the key holds the order of a maintenance wave."""
        ...

    def decode_config(
        self, key: str, value: bytes
    ) -> Result[OperatorConfig, RecordUnreadable]:
        """Read the operator's configuration."""
        ...

    def decode_wave(
        self, key: str, value: bytes
    ) -> Result[WaveOrder, RecordUnreadable]:
        """Read the order of a wave."""
        ...

    def decode_worker(
        self, key: str, value: bytes
    ) -> Result[WorkerEntry, RecordUnreadable]:
        """Read a worker's entry."""
        ...

    def encode_wave_status(
        self, wave_id: WaveId, *, complete: bool
    ) -> tuple[str, bytes]:
        """Return key and value that tell the operator how far a wave is."""
        ...


__all__ = ["FleetCodec", "RecordUnreadable"]
