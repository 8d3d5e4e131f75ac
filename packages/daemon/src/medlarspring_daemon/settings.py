"""Settings of the daemon: read from TOML and checked whole before any port opens."""

from __future__ import annotations

import ipaddress
import tomllib
from pathlib import Path
from typing import Annotated, Literal

from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    PositiveFloat,
    PositiveInt,
    ValidationError,
)
from returns.result import Failure, Result, Success

from medlarspring_tables import MedlarspringError


def _check_address(value: str) -> str:
    host, separator, port = value.rpartition(":")
    if not separator or not port.isdigit() or int(port) > 65535:
        raise ValueError("write it as IP:PORT, for example 10.0.0.7:8080")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        raise ValueError("name the host by its IP number, not by a name") from None
    return value


Address = Annotated[str, AfterValidator(_check_address)]
"""``ip:port``; port 0 in a ``listen`` key lets the kernel choose."""

Identifier = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9.-]{0,62}$")]
"""Lower-case letters, digits, dots and hyphens."""


TokenFile = Annotated[Path, Field(strict=False)]
"""Path of a file that holds one bearer token."""


class Section(BaseModel):
    """Base of all sections: unknown keys are faults, values are not coerced."""

    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)


class EntryVMSection(Section):
    """Who this entry VM is."""

    id: Identifier
    zone: Identifier
    region: Identifier


class CallerSection(Section):
    """The port that callers use, and its limits."""

    listen: Address
    max_body_bytes: PositiveInt = 1_048_576
    max_header_bytes: PositiveInt = 16_384
    max_connections: PositiveInt = 2_000
    max_waiting: PositiveInt = 2_000
    """Requests that may wait for a slot, over all partners."""
    idle_seconds: PositiveFloat = 60.0
    body_seconds: PositiveFloat = 10.0
    """Longest time a caller may take to send a request."""
    drain_seconds: PositiveFloat = 30.0
    """Longest time that shutdown waits for requests in flight."""


class OperatorSection(Section):
    """The port that operators use."""

    listen: Address
    token_file: TokenFile


class PeerSection(Section):
    """The port that the other entry VMs use."""

    listen: Address
    token_file: TokenFile


class StoreSection(Section):
    """The platform's key-value service."""

    endpoints: Annotated[tuple[Address, ...], Field(min_length=1, strict=False)]
    timeout_seconds: PositiveFloat = 2.0


class VMListSection(Section):
    """The platform's list of live and leaving VMs."""

    url: Annotated[str, Field(pattern=r"^http://[0-9.]+:[0-9]+/.*$")]
    poll_seconds: PositiveFloat = 5.0


class VMControlSection(Section):
    """The platform's control of VMs: drain, reboot, state."""

    url: Annotated[str, Field(pattern=r"^http://[0-9.]+:[0-9]+/.*$")]
    timeout_seconds: PositiveFloat = 2.0


class StatsdSection(Section):
    """Where metrics go."""

    address: Address


class LogSection(Section):
    """What is logged."""

    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"


class Settings(Section):
    """All settings of one daemon."""

    entry_vm: EntryVMSection
    caller: CallerSection
    operator: OperatorSection
    peer: PeerSection
    store: StoreSection
    vm_list: VMListSection
    vm_control: VMControlSection | None = None
    """Without it this entry VM does no maintenance and no moves."""
    statsd: StatsdSection | None = None
    log: LogSection = LogSection()


class SettingsFaults(MedlarspringError):
    """The settings cannot be used; lists every fault at once."""

    code = "settings"

    def __init__(self, faults: list[str]) -> None:
        super().__init__(faults)
        self.faults = faults

    def message(self) -> str:
        """Return one line a fault: file, key, found, wanted and remedy."""
        return "\n".join(self.faults)


def read_settings(path: Path) -> Result[Settings, SettingsFaults]:
    """Read and check a settings file; token files have to be readable too."""
    try:
        document = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        fault = f"{path}: cannot be read ({error.strerror}); name an existing file"
        return Failure(SettingsFaults([fault]))
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        fault = f"{path}: is not TOML ({error}); mend the named line"
        return Failure(SettingsFaults([fault]))
    try:
        settings = Settings.model_validate(document)
    except ValidationError as error:
        faults = [
            _describe_fault(path, ".".join(map(str, fault["loc"])), fault["msg"])
            for fault in error.errors()
        ]
        return Failure(SettingsFaults(faults))
    return Success(settings)


def _describe_fault(path: Path, key: str, reason: str) -> str:
    return f"{path}: {key}: {reason}"


__all__ = ["Settings", "SettingsFaults", "read_settings"]
