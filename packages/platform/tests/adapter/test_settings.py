"""Tests reading of the settings file that the platform writes."""

from __future__ import annotations

import pytest
from returns.pipeline import is_successful

from medlarspring_platform.settings import parse_settings

NEEDED = {
    "node": "entry-1",
    "zone": "zone-a",
    "listen.frontend": "10.1.0.9:8624",
    "listen.readiness": "10.1.0.9:8622",
    "ip": "10.1.0.9",
    "portRange": "7060,7075",
    "platform.address": "10.200.1.7:8621",
}


def write(**changes: str) -> str:
    values = {**NEEDED, **{key.replace("__", "."): v for key, v in changes.items()}}
    return "\n".join(f"{key}={value}" for key, value in values.items())


def test_settings_are_read_with_their_units():
    text = write(
        bounds__leaseMs="2500",
        bounds__graceS="7",
        limits__cpuShare="0.5",
        limits__cores="2",
        brand__new="ignored",
    )
    settings = parse_settings("node.conf", text).unwrap()
    assert settings.inner_port == 7060
    assert settings.cores == 1.0
    assert settings.limits.vm_lease == 2.5
    assert settings.limits.grace == 7.0


@pytest.mark.parametrize("missing", sorted(NEEDED))
def test_missing_line_is_named(missing: str):
    text = "\n".join(
        line for line in write().splitlines() if not line.startswith(f"{missing}=")
    )
    found = parse_settings("node.conf", text)
    assert not is_successful(found)
    assert missing in found.failure().message()


@pytest.mark.parametrize(
    "text",
    [write(portRange="many"), write(bounds__leaseMs="soon"), ""],
    ids=["port", "bound", "empty"],
)
def test_unusable_settings_say_what_to_do(text: str):
    message = parse_settings("node.conf", text).failure().message()
    assert "node.conf" in message
    assert "MEDLARSPRING_CONFIG" in message
