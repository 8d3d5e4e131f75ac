"""Paths, headers and key prefixes of the platform's interfaces."""

from __future__ import annotations

CONFIG_VARIABLE = "MEDLARSPRING_CONFIG"
"""Environment variable with the path of the settings file."""

READY_PATH = "/api/readyz"
RUN_START_PATH = "/api/run-start"
RUN_STOP_PATH = "/api/run-stop"
HOLD_PATH = "/api/hold"
PACE_PATH = "/api/pace"
ADVISE_PATH = "/api/advise"
MACHINES_PATH = "/api/machines"
MACHINE_MOVE_PATH = "/api/machine-move"
MACHINE_UPKEEP_PATH = "/api/machine-upkeep"
KEY_PATH = "/api/kv-key"
RANGE_PATH = "/api/kv-range"
WATCH_PATH = "/api/kv-watch"
TXN_PATH = "/api/kv-txn"
LEASE_PATH = "/api/kv-lease"
KEEP_PATH = "/api/kv-keep/"
LEASE_END_PATH = "/api/kv-lease-end/"

EXPECTED_INSTANCE_HEADER = "X-Medlarspring-Expected-Instance"
HOLDER_HEADER = "X-Medlarspring-Lease-Holder"
FENCE_HEADER = "X-Medlarspring-Fencing-Token"
DEADLINE_HEADER = "X-Medlarspring-Deadline-Ms"

OPERATOR_PREFIX = "op/"
CONFIG_KEY = "op/config"
WAVE_PREFIX = "op/wave/"
WAVE_STATUS_PREFIX = "status/wave/"
WORKER_PREFIX = "servers/"

RACK_LABEL_PREFIX = "r"
"""A worker's labels are its kind and its rack; racks look like ``r1-3``."""

_OCTET = r"(25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])"
_PORT = (
    r"(6553[0-5]|655[0-2][0-9]|65[0-4][0-9]{2}|6[0-4][0-9]{3}"
    r"|[1-5][0-9]{4}|[1-9][0-9]{0,3})"
)
ADDRESS_PATTERN = rf"^({_OCTET}\.){{3}}{_OCTET}:{_PORT}\Z"
"""An IPv4 address and a port; host names are not supported."""
