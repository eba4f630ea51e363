"""Test the decoding of the platform's objects, durations and settings."""

import copy
import pathlib
from typing import Any

import orjson
import pytest
from returns.result import Failure

from samphirelug.components.routing import model as routing_model
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
    "Tenants": [
        {
            "Name": "large",
            "ApiKeys": ["d1" * 16],
            "Priority": 1,
            "RatePerS": 40,
            "Burst": 80,
            "AllowedRegions": ["a"],
        },
        {"Name": "small", "ApiKeys": ["d2" * 16], "Burst": None},
    ],
    "Listeners": [
        {
            "Hostname": "portal.example",
            "Rules": [
                {
                    "Name": "r-1",
                    "Type": "upload",
                    "Public": True,
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


def with_field(document: dict[str, Any], path: str, value: object) -> Any:
    """Return a copy with one field replaced, or removed if value is None."""
    copy_of_document = copy.deepcopy(document)
    *parents, last = path.split(".")
    parent: Any = copy_of_document
    for part in parents:
        parent = parent[int(part) if part.isdigit() else part]
    if value is None:
        del parent[last]
    else:
        parent[last] = value
    return copy_of_document


def stored_object(value: Any) -> store_model.StoredObject:
    """Return a stored object with a key and a revision."""
    return store_model.StoredObject("i-1", 7, value)


def test_server_is_decoded() -> None:
    """Guard against a field that is decoded as another one."""
    server = DECODER.server(stored_object(SERVER), now=100.0).unwrap()
    assert server.instance_id == "i-1"
    assert server.started_unix_ms == 1786327788275
    assert server.zone == ("a1", "a")
    assert server.slots == 3
    assert not server.draining
    assert server.cold_until_s == 101.5
    assert server.report_number == 4


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
        ("Status.Sequence", "4"),
        ("Status.Sequence", -1),
    ],
)
def test_object_that_is_no_server_entry_is_rejected(
    path: str, value: object
) -> None:
    """Guard against requests to an address of another program's object."""
    result = DECODER.server(
        stored_object(with_field(SERVER, path, value)), now=0.0
    )
    assert isinstance(result, Failure)


def test_configuration_is_decoded() -> None:
    """Guard against a field that is decoded as another one."""
    decoded = DECODER.configuration(stored_object(CONFIGURATION)).unwrap()
    assert decoded.version == 12
    assert decoded.limits.idle_timeout_s == 15.0
    filing, status = decoded.routes
    assert filing.kind is routing_model.RouteKind.UPLOAD
    assert not filing.idempotent
    assert filing.is_public
    assert not status.is_public
    large, small = decoded.teams
    assert large == routing_model.Team(
        "large", frozenset(("d1" * 16,)), 1, frozenset(("a",)), 40, 80
    )
    assert small == routing_model.Team("small", frozenset(("d2" * 16,)))
    assert filing.allowed_regions == {"a"}
    assert filing.timeout_s == 1.2
    assert status.idempotent
    assert [destination.weight for destination in status.destinations] == [
        90,
        10,
    ]
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
        ("Tenants", {}),
        ("Tenants.0.Name", "two\r\nlines"),
        ("Tenants.0.ApiKeys", ["d1" * 16, None]),
        ("Tenants.0.ApiKeys", ["a key that was not replaced"]),
        ("Tenants.0.ApiKeys", ["d2" * 16]),
        ("Tenants.0.Name", "small"),
        ("Tenants.0.RatePerS", -1),
        ("Tenants.0.Burst", "many"),
    ],
)
def test_malformed_configuration_is_rejected(path: str, value: object) -> None:
    """Guard against an incomplete configuration that is put in force."""
    document = with_field(CONFIGURATION, path, value)
    assert isinstance(DECODER.configuration(stored_object(document)), Failure)


def test_unknown_fields_are_ignored() -> None:
    """Guard against rejecting configurations that have new fields."""
    document = with_field(CONFIGURATION, "Listeners.0.Rules.0.New", 1)
    assert (
        DECODER.configuration(stored_object(document)).unwrap().version == 12
    )


def test_durations_are_parsed_and_formatted() -> None:
    """Guard against confusing units, and against malformed durations."""
    assert durations.parse("1500ms") == 1.5
    assert durations.parse("2.5s") == 2.5
    assert durations.render(2.0) == "2000ms"
    for text in ("5", "5m", "", "-1s", 5, None):
        with pytest.raises(ValueError, match="duration"):
            durations.parse(text)


def test_invalid_settings_name_the_field(tmp_path: pathlib.Path) -> None:
    """Guard against a failed start that does not name the wrong field."""
    path = tmp_path / "node.json"
    path.write_bytes(orjson.dumps({"NodeName": "h1"}))
    refusal = settings.read(path).failure()
    assert refusal.code is result_codes.ResultCode.SETTING_INVALID
    assert "PortRange" in refusal.detail


@pytest.mark.parametrize(
    "address",
    [
        "10.1.0.5:99999",
        "10.1.0.5:0",
        "10.1.0.5:",
        "10.1.0.5",
        "10.1.0.5:8 0",
        "10.1.0.5:\u0661",
        "server.example:80",
        "[::1]:80",
        "10.1.0:80",
        ":80",
        7,
    ],
)
def test_server_with_an_unusable_address_is_rejected(address: object) -> None:
    """Guard against requests that fail in this process or block it.

    Opening a connection to port 99999 raised an error that nothing handled,
    and a host name is looked up on the event loop.
    """
    document = with_field(SERVER, "Address", address)
    assert isinstance(
        DECODER.server(stored_object(document), now=0.0), Failure
    )
