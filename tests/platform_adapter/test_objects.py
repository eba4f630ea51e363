"""Test the translation of the platform's objects and settings."""

import copy
import pathlib
from typing import Any

import orjson
import pytest
from returns.result import Failure

from samphirelug.components.store import model as store_model
from samphirelug import result_codes
from samphirelug_platform import durations
from samphirelug_platform import objects
from samphirelug_platform import settings

SERVER: dict[str, Any] = {
    "Address": "10.128.0.9:8080",
    "born": 1786327788275,
    "Info": {
        "Service": "desk",
        "Version": "v1",
        "Zone": "a1",
        "MaxConcurrency": 3,
    },
    "Status": {"State": "ready", "Sequence": 4, "ColdRemaining": "1500ms"},
}
CONFIGURATION: dict[str, Any] = {
    "Version": "0000000c",
    "BaseVersion": "00000005",
    "Limits": {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 67108864,
        "HeaderTimeout": "3000ms",
        "IdleTimeout": "15s",
    },
    "Listeners": [
        {
            "Hostname": "portal.example",
            "Rules": [
                {
                    "Name": "r-1",
                    "Type": "unsafe",
                    "TargetLatency": "600ms",
                    "Priority": 1,
                    "SessionAffinity": True,
                    "Match": {"PathPrefix": "/filing/"},
                    "Action": {
                        "Service": "desk",
                        "Timeout": "1200ms",
                        "MaxAttempts": 2,
                        "AllowedRegions": ["a"],
                    },
                },
                {
                    "Name": "r-2",
                    "Type": "safe",
                    "TargetLatency": "400ms",
                    "Match": {"PathPrefix": "/status/"},
                    "Action": {
                        "TrafficSplit": [
                            {"Service": "desk", "Weight": 90},
                            {"Service": "ledger", "Weight": 10},
                        ],
                        "Timeout": "1s",
                        "MaxAttempts": 2,
                    },
                },
            ],
        }
    ],
    "Clusters": [
        {"Name": "desk", "HealthPath": "/h", "ColdPerS": 2.7},
        {"Name": "ledger", "ColdStart": "3s"},
    ],
}
DECODER = objects.PlatformDecoder(zones={"a1": "a"})


def changed(document: dict[str, Any], path: str, value: object) -> Any:
    """Return a copy with one field changed, or removed for None."""
    copied = copy.deepcopy(document)
    *parents, last = path.split(".")
    inner: Any = copied
    for part in parents:
        inner = inner[int(part) if part.isdigit() else part]
    if value is None:
        del inner[last]
    else:
        inner[last] = value
    return copied


def stored(value: Any) -> store_model.StoredObject:
    """Return a stored object."""
    return store_model.StoredObject("i-1", 7, value)


def test_server_is_translated() -> None:
    """Guard against a field of the wire taken for another."""
    server = DECODER.server(stored(SERVER), now=100.0).unwrap()
    assert server.instance_id == "i-1"
    assert server.started_unix_ms == 1786327788275
    assert server.zone == ("a1", "a")
    assert server.slots == 3
    assert not server.draining
    assert server.cold_until_s == 101.5


@pytest.mark.parametrize(
    ("path", "value"),
    [
        ("Status.State", "resting"),
        ("Status.State", None),
        ("Info.MaxConcurrency", "3"),
        ("Info.MaxConcurrency", 0),
        ("Info.Zone", "elsewhere"),
        ("Info", "desk"),
        ("Address", 17),
        ("Address", "10.0.0.1"),
        ("born", "soon"),
    ],
)
def test_entry_of_another_writer_names_no_server(
    path: str, value: object
) -> None:
    """Guard against requests to what is no server."""
    result = DECODER.server(stored(changed(SERVER, path, value)), now=0.0)
    assert isinstance(result, Failure)


def test_configuration_is_translated() -> None:
    """Guard against a field of the wire taken for another."""
    decoded = DECODER.configuration(stored(CONFIGURATION)).unwrap()
    assert decoded.version == 12
    assert decoded.limits.idle_timeout_s == 15.0
    filing, status = decoded.routes
    assert not filing.idempotent
    assert filing.allowed_regions == {"a"}
    assert filing.timeout_s == 1.2
    assert status.idempotent
    assert [target.weight for target in status.destinations] == [90, 10]
    assert decoded.services["desk"].cold_requests_per_s == 2.7


@pytest.mark.parametrize(
    ("path", "value"),
    [
        ("Version", "c"),
        ("Version", 12),
        ("Listeners", None),
        ("Listeners.0.Rules.0.Type", "odd"),
        ("Listeners.0.Rules.0.Action.Service", "unknown"),
        ("Listeners.0.Rules.0.Action.Timeout", "soon"),
        ("Listeners.0.Rules.1.Action.TrafficSplit.0.Weight", None),
    ],
)
def test_malformed_configuration_is_refused(path: str, value: object) -> None:
    """Guard against a cut-short configuration in force."""
    document = changed(CONFIGURATION, path, value)
    assert isinstance(DECODER.configuration(stored(document)), Failure)


def test_unknown_fields_are_ignored() -> None:
    """Guard against a new field that stops all changes."""
    document = changed(CONFIGURATION, "Listeners.0.Rules.0.New", 1)
    assert DECODER.configuration(stored(document)).unwrap().version == 12


def test_durations() -> None:
    """Guard against units taken for each other."""
    assert durations.parse("1500ms") == 1.5
    assert durations.parse("2.5s") == 2.5
    assert durations.render(2.0) == "2000ms"
    for text in ("5", "5m", "", "-1s", 5, None):
        with pytest.raises(ValueError, match="duration"):
            durations.parse(text)


def test_settings_name_the_field_that_is_wrong(tmp_path: pathlib.Path) -> None:
    """Guard against a start that fails without a reason."""
    path = tmp_path / "node.json"
    path.write_bytes(orjson.dumps({"NodeName": "h1"}))
    refusal = settings.read(path).failure()
    assert refusal.code is result_codes.ResultCode.SETTING_INVALID
    assert "PortRange" in refusal.detail
