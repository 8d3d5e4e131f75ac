"""Tests decoding of the operator's and the workers' records."""

from __future__ import annotations

import json

import pytest
from returns.pipeline import is_successful

from medlarspring_platform.operator_records import PlatformCodec
from medlarspring_systems.credentials import digest_credential
from medlarspring_tables import PartnerId, PoolId, VMId, WaveId
from medlarspring_tables.scheduling import (
    OperatorConfig,
    QueueId,
    Resources,
    WorkerCondition,
)

CODEC = PlatformCodec()


def test_configuration_names_queues_and_pools():
    config = CODEC.decode_config(
        "op/config",
        json.dumps(
            {
                "version": 9,
                "routes": [
                    {
                        "name": "r-1",
                        "host": "h.example",
                        "prefix": "/q/",
                        "service": "s-1",
                        "maxAttempts": 4,
                        "stretch": 1.6,
                        "targetDurationMs": 600,
                        "hint": {"decideMs": 5, "periodMs": 2, "validMs": 900},
                        "unknown": True,
                    }
                ],
                "services": [
                    {"name": "s-1", "rejectsOverload": False},
                    {"name": "s-2", "standby": True},
                ],
            }
        ).encode(),
    ).unwrap()
    queue = config.queues_by_id[QueueId("r-1")]
    assert (queue.pool_id, queue.max_attempts, queue.allowance_ms) == ("s-1", 4, 600)
    assert queue.advice is not None
    assert queue.advice.per_worker_ms == 2
    assert not config.pools_by_id[PoolId("s-1")].enforces_resources
    assert config.pools_by_id[PoolId("s-2")].standby


def decode_config(**fields: object) -> OperatorConfig:
    value = json.dumps({"version": 9, **fields}).encode()
    return CODEC.decode_config("op/config", value).unwrap()


def test_configuration_names_partners_and_public_routes():
    config = decode_config(
        routes=[
            {"name": "r-1", "prefix": "/a/", "public": True},
            {"name": "r-2", "prefix": "/b/", "public": False},
            {"name": "r-3", "prefix": "/c/"},
        ],
        tenants=[
            {
                "name": "t-1",
                "apiKeys": ["secret-1", "secret-2"],
                "priority": 1,
                "weight": 60,
                "maxCount": {"cpu": 4_000, "memMb": 9_000, "gpu": 0},
            },
            {"name": "t-2", "apiKeys": []},
        ],
    )
    assert [route.public for route in config.routes] == [True, False, False]
    assert config.requires_credentials
    first = config.partners_by_id[PartnerId("t-1")]
    assert (first.weight, first.quota) == (60.0, Resources(4_000, 9_000, 0))
    assert first.credentials_sha256[1] == digest_credential("secret-2")
    assert config.partners_by_id[PartnerId("t-2")].quota == Resources()
    assert "secret" not in repr(config)


@pytest.mark.parametrize(
    ("fields", "weight"),
    [({}, 1.0), ({"weight": None}, 1.0), ({"weight": 0}, 1.0), ({"weight": -3}, 1.0)],
)
def test_unusable_weight_does_not_keep_a_configuration_out_of_force(
    fields: dict[str, object], weight: float
):
    config = decode_config(tenants=[{"name": "t-1", **fields}, {"name": "t-2"}])
    assert config.partners_by_id[PartnerId("t-1")].weight == weight


@pytest.mark.parametrize(("fields", "required"), [({}, False), ({"tenants": []}, True)])
def test_only_a_configuration_with_partners_requires_credentials(
    fields: dict[str, object], required: bool
):
    assert decode_config(**fields).requires_credentials is required


def test_keys_are_not_in_the_message_of_an_unreadable_configuration():
    tenants = [{"name": "t-1", "apiKeys": ["secret-1"], "weight": "heavy"}]
    value = json.dumps({"version": 9, "tenants": tenants}).encode()
    fault = CODEC.decode_config("op/config", value).failure()
    assert "secret" not in fault.message()


def test_wave_order_and_its_status():
    value = {"wave": 3, "machines": ["m-1"], "deadlineS": 25, "maxCount": 2}
    order = CODEC.decode_wave("op/wave/3", json.dumps(value).encode()).unwrap()
    assert (order.id, order.vm_ids, order.max_at_once) == ("3", (VMId("m-1"),), 2)
    key, status = CODEC.encode_wave_status(WaveId("3"), complete=True)
    assert key == "status/wave/3"
    assert json.loads(status) == {"wave": 3, "state": "complete"}


@pytest.mark.parametrize(
    ("state", "condition"),
    [("ready", WorkerCondition.READY), ("draining", WorkerCondition.DRAINING)],
)
def test_worker_entry_names_its_rack(state: str, condition: WorkerCondition):
    value = {
        "service": "s-1",
        "address": "10.0.0.1:80",
        "zone": "z-1",
        "state": state,
        "capacity": {"cpu": 32_000, "memMb": 65_536},
        "labels": ["a", "r1-3"],
        "machineId": "m-1",
        "born": 1_774_442_565_332,
    }
    entry = CODEC.decode_worker("servers/i-1", json.dumps(value).encode()).unwrap()
    assert (entry.id, entry.rack_id, entry.condition) == ("i-1", "r1-3", condition)
    assert entry.born_ms == 1_774_442_565_332


@pytest.mark.parametrize("value", [b"", b"[]", b'{"version": "new"}', b"\xff"])
def test_unreadable_record_is_named(value: bytes):
    for decode in (CODEC.decode_config, CODEC.decode_wave, CODEC.decode_worker):
        found = decode("op/config", value)
        assert not is_successful(found)
        assert "op/config" in found.failure().message()
