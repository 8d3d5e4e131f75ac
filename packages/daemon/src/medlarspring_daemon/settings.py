"""Settings of the daemon, read from TOML and validated before any port opens."""

from __future__ import annotations

import ipaddress
import tomllib
from pathlib import Path
from typing import Annotated, Any, Literal

from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    ValidationError,
)
from returns.result import Failure, Result, Success

from medlarspring_daemon.settings_errors import (
    ExpectedValue,
    SettingsError,
    check_token,
    describe_errors,
)


def _check_address(value: str) -> str:
    host, _, port = value.rpartition(":")
    if not port.isdecimal() or int(port) > 65_535:
        raise ValueError("not IP:PORT")
    ipaddress.ip_address(host.strip("[]"))
    return value


def _check_not_empty(value: tuple[str, ...]) -> tuple[str, ...]:
    if not value:
        raise ValueError("empty")
    return value


Address = Annotated[
    str,
    AfterValidator(_check_address),
    ExpectedValue("IP:PORT with an IP number, for example 10.0.0.7:8080"),
]
"""``ip:port``; port 0 in a ``listen`` key lets the kernel choose."""

Identifier = Annotated[
    str,
    Field(pattern=r"^[a-z0-9][a-z0-9.-]{0,62}$"),
    ExpectedValue("at most 63 lower-case letters, digits, dots and hyphens"),
]

TokenFile = Annotated[
    Path,
    Field(strict=False),
    ExpectedValue("the path of a file that holds one token"),
]
"""Path of a file that holds one bearer token; relative to the settings file."""

Url = Annotated[
    str,
    Field(pattern=r"^http://(\[[0-9a-f:]+\]|[0-9.]+):[0-9]+(/\S*)?$"),
    ExpectedValue("http://IP:PORT/PATH with an IP number"),
]

Count = Annotated[int, Field(gt=0), ExpectedValue("a whole number above 0")]
Duration = Annotated[
    float, Field(gt=0, allow_inf_nan=False), ExpectedValue("seconds, a number above 0")
]
Level = Annotated[
    Literal["DEBUG", "INFO", "WARNING", "ERROR"],
    ExpectedValue("DEBUG, INFO, WARNING or ERROR"),
]


class Section(BaseModel):
    """Base of all sections; unknown keys are errors and values are not coerced."""

    model_config = ConfigDict(
        extra="forbid", frozen=True, strict=True, use_attribute_docstrings=True
    )


class EntryVMSection(Section):
    """Identity and location of this entry VM."""

    id: Identifier
    """Its id in the platform's VM list."""
    zone: Identifier
    """Its availability zone."""
    region: Identifier
    """Its region."""


class CallerSection(Section):
    """The port that callers use, and its limits."""

    listen: Address
    """Where callers, or the platform's balancer, connect."""
    max_body_bytes: Count = 1_048_576
    """Largest body of a request; a service's own limit may be smaller."""
    max_header_bytes: Count = 16_384
    """Largest size of all headers of a request."""
    max_connections: Count = 2_000
    """Connections open at once."""
    max_waiting: Count = 2_000
    """Requests that may wait for a slot, over all partners."""
    idle_seconds: Duration = 60.0
    """Longest time that a connection may stay open without a request."""
    body_seconds: Duration = 10.0
    """Longest time a caller may take to send a request."""
    drain_seconds: Duration = 30.0
    """Longest time that shutdown waits for requests in flight."""


class OperatorSection(Section):
    """The port that operators use."""

    listen: Address
    """Where ``medlarspring`` connects."""
    token_file: TokenFile
    """File with the token that operators show."""


class PeerSection(Section):
    """The port that the other entry VMs use."""

    listen: Address
    """Where the other entry VMs connect."""
    token_file: TokenFile
    """File with the token that all entry VMs share."""


class StoreSection(Section):
    """The platform's key-value service."""

    endpoints: Annotated[
        tuple[Address, ...],
        Field(strict=False),
        AfterValidator(_check_not_empty),
        ExpectedValue("a list of at least one IP:PORT"),
    ]
    """Its addresses, tried in turn."""
    timeout_seconds: Duration = 2.0
    """Longest time for one call."""


class VMListSection(Section):
    """The platform's list of live and leaving VMs."""

    url: Url
    """Where the list is read."""
    poll_seconds: Duration = 5.0
    """Time between two reads."""


class VMControlSection(Section):
    """The platform's control of VMs: drain, reboot, state."""

    url: Url
    """Where the control answers."""
    timeout_seconds: Duration = 2.0
    """Longest time for one call."""


class StatsdSection(Section):
    """Destination of the metrics."""

    address: Address
    """UDP address of the statsd daemon."""


class LogSection(Section):
    """Options of the log."""

    level: Level = "INFO"
    """Least severe level that is written."""


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
    """Without it no metrics are sent."""
    log: LogSection = LogSection()


def read_settings(path: Path) -> Result[Settings, SettingsError]:
    """Read and validate a settings file and the token files that it names."""
    try:
        document = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        reason = f"{path}: can't be read ({error.strerror}); name an existing file"
        return Failure(SettingsError([reason]))
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        reason = f"{path}: is not TOML ({error}); correct the named line"
        return Failure(SettingsError([reason]))
    _resolve_token_files(path, document)
    faults: list[str] = []
    settings: Settings | None = None
    try:
        settings = Settings.model_validate(document)
    except ValidationError as error:
        faults.extend(describe_errors(path, Settings, error))
    faults.extend(_check_token_files(path, document))
    faults.extend(_check_listens_differ(path, document))
    if settings is None or faults:
        return Failure(SettingsError(faults))
    return Success(settings)


def _resolve_token_files(path: Path, document: dict[str, Any]) -> None:
    for name in ("operator", "peer"):
        section = document.get(name)
        if isinstance(section, dict) and isinstance(section.get("token_file"), str):
            section["token_file"] = str(path.parent / section["token_file"])


def _check_token_files(path: Path, document: dict[str, Any]) -> list[str]:
    faults = []
    for name in ("operator", "peer"):
        section = document.get(name)
        if isinstance(section, dict) and isinstance(section.get("token_file"), str):
            fault = check_token(Path(section["token_file"]))
            faults += [f"{path}: {name}.token_file: {fault}"] if fault else []
    return faults


def _check_listens_differ(path: Path, document: dict[str, Any]) -> list[str]:
    faults = []
    sections_by_address: dict[str, str] = {}
    for name in ("caller", "operator", "peer"):
        section = document.get(name)
        address = section.get("listen") if isinstance(section, dict) else None
        if not isinstance(address, str) or address.endswith(":0"):
            continue
        first = sections_by_address.setdefault(address, name)
        if first != name:
            faults.append(
                f"{path}: {name}.listen: found {address!r}, which is {first}.listen"
                " too, wanted an address of its own; change the port of one"
            )
    return faults


__all__ = ["Section", "Settings", "SettingsError", "read_settings"]
