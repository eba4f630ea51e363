"""Test reading the platform's settings file."""

import copy
import pathlib
from typing import Any

import orjson
import pytest
from returns.result import Failure

from samphirelug import result_codes
from samphirelug_platform import settings

SETTINGS: dict[str, Any] = {
    "NodeName": "front-a1-1",
    "Ip": "127.0.0.1",
    "Zone": "a1",
    "Region": "a",
    "Zones": {"a1": "a"},
    "Listen": {
        "Front": "127.0.0.1:8144",
        "Ready": "127.0.0.1:8140",
        "Directory": "127.0.0.1:8143",
    },
    "PortRange": [7660, 7675],
    "Limits": {
        "CpuShare": 0.5,
        "CpuCores": 2,
        "BandwidthMbps": 5.0,
        "MemoryMb": 300,
        "MaxFds": 4100,
    },
    "Bounds": {
        "Drain": "2500ms",
        "Grace": "6s",
        "RetryBudgetRatio": 0.2,
        "RetryBudgetSlack": 60,
        "BudgetWindow": "10s",
        "ttl_max": "5s",
    },
    "Platform": {"Address": "127.0.0.1:8142"},
    "FieldOfALaterVersion": {},
}


def test_settings_are_decoded(tmp_path: pathlib.Path) -> None:
    """Guard against misreading fields with misleading names.

    CpuCores is the speed of a core and not a number of cores.
    """
    path = tmp_path / "node.json"
    path.write_bytes(orjson.dumps(SETTINGS))
    host_settings = settings.read(path).unwrap()
    assert host_settings.drain_s == 2.5
    assert host_settings.resources == (1.0, 5.0, 300_000_000, 3900)
    assert host_settings.store_url == "http://127.0.0.1:8142"
    assert host_settings.revocation == (False, 5.0)


def test_revocation_is_decoded(tmp_path: pathlib.Path) -> None:
    """Guard against a host that accepts removed keys for longer."""
    changed = copy.deepcopy(SETTINGS)
    changed["Bounds"] |= {"StrictRevoke": True, "Revoke": "2500ms"}
    path = tmp_path / "node.json"
    path.write_bytes(orjson.dumps(changed))
    assert settings.read(path).unwrap().revocation == (True, 2.5)


@pytest.mark.parametrize("field", ["NodeName", "Bounds", "Limits", "Listen"])
def test_missing_field_is_reported_by_name(
    tmp_path: pathlib.Path, field: str
) -> None:
    """Guard against a start with incomplete settings."""
    incomplete = copy.deepcopy(SETTINGS)
    del incomplete[field]
    path = tmp_path / "node.json"
    path.write_bytes(orjson.dumps(incomplete))
    result = settings.read(path)
    assert isinstance(result, Failure)
    refusal = result.failure()
    assert refusal.code is result_codes.ResultCode.SETTING_INVALID
    assert field in refusal.detail
