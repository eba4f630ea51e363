"""Test how the platform's settings file is read."""

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
    "Limits": {"CpuShare": 0.5, "CpuCores": 2, "BandwidthMbps": 5.0},
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


def test_settings_are_translated(tmp_path: pathlib.Path) -> None:
    """Guard against a field whose name misleads, such as CpuCores."""
    path = tmp_path / "node.json"
    path.write_bytes(orjson.dumps(SETTINGS))
    read = settings.read(path).unwrap()
    assert read.drain_s == 2.5
    assert read.resources == (1.0, 5.0)
    assert read.store_url == "http://127.0.0.1:8142"


@pytest.mark.parametrize("field", ["NodeName", "Bounds", "Limits", "Listen"])
def test_missing_field_is_named(tmp_path: pathlib.Path, field: str) -> None:
    """Guard against a process that starts with settings it cannot follow."""
    broken = copy.deepcopy(SETTINGS)
    del broken[field]
    path = tmp_path / "node.json"
    path.write_bytes(orjson.dumps(broken))
    result = settings.read(path)
    assert isinstance(result, Failure)
    refusal = result.failure()
    assert refusal.code is result_codes.ResultCode.SETTING_INVALID
    assert field in refusal.detail
