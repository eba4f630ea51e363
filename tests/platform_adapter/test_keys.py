"""Test that keys in a configuration get no further than the adapter."""

import asyncio
import copy
import io
import logging
from typing import Any

import orjson
import pytest
from returns.result import Failure

from samphirelug.components.fleet import consumers
from samphirelug.components.following import frames
from samphirelug.components.routing import table
from samphirelug.components.store import feed
from samphirelug.components.store import model as store_model
from samphirelug.components.store import view as store_view
from samphirelug.helpers import credentials
from samphirelug.helpers import logging as logging_helper
from samphirelug.helpers import timer as timer_helper
from samphirelug_platform import objects
from tests.platform_adapter import test_objects
from tests.platform_adapter import test_store

KIND = feed.ObjectKind.CONFIGURATION
KEY = "kite-4f1e07-and-more"
TEAM = {"Name": "kites", "ApiKeys": [KEY]}
VALID: dict[str, Any] = test_objects.with_field(
    test_objects.CONFIGURATION, "Tenants", [TEAM]
)


def changed(**fields: object) -> dict[str, Any]:
    """Return the valid configuration with other fields."""
    return copy.deepcopy(VALID) | fields


# Whether these are refused does not matter here; the key must stay hidden.
ODD = [
    VALID,
    changed(Version="none"),
    changed(Listeners=7),
    changed(Tenants={"kites": KEY}),
    changed(Tenants=KEY),
    changed(Tenants=[KEY]),
    changed(Tenants=[[KEY]]),
    changed(Tenants=[{"Name": "kites", "ApiKeys": KEY}]),
    changed(Tenants=[{"Name": "kites", "ApiKeys": {KEY: 1}}]),
    changed(Tenants=[{"Name": "kites", "ApiKeys": [[KEY]]}]),
    changed(Tenants=[{"Name": "kites", "ApiKeys": [KEY * 20]}]),
    changed(Tenants=[{"Name": "kites", "apikeys": [KEY]}]),
    changed(Tenants=[{"Name": "kites", "Key": KEY}]),
    changed(Tenants=[{"Name": "kites", KEY: None, "ApiKeys": []}]),
    changed(Tenants=[{"Name": {"x": KEY}, "Priority": [KEY]}]),
    changed(Tenants=[{"Name": "kites", "AllowedRegions": [[KEY]]}]),
    changed(Tenants=[TEAM, TEAM | {"Name": "other"}]),
    changed(Tenants=[TEAM, TEAM]),
    changed(tenants=[TEAM], Tenants=None),
    changed(api_keys=[KEY]),
    changed(Clusters=[{"Name": "desk", "More": [{"API-Key": KEY}]}]),
    changed(Limits={"ApiKeys": {"x": KEY}}),
    {"Tenants": [TEAM]},
    changed(Padding="x" * 3_000_000),
]
# Objects and pages that hold a key and cannot be validated.
BROKEN = [
    b'{"Spec":%s}' % orjson.dumps(VALID),
    b'{"Metadata":%s,"Spec":{}}' % orjson.dumps(VALID),
    orjson.dumps(KEY),
    b'{"Metadata":{"Name":"main"},"Spec":{"ApiKeys":["%s\xff"]}}'
    % KEY.encode(),
]


class Follower:
    """Apply configurations of the store, and of another host."""

    def __init__(self) -> None:
        self.state = table.ConfigurationState()
        self.view = store_view.ObjectView(
            kind=KIND,
            consumer=consumers.ConfigurationConsumer(
                state=self.state,
                decoder=objects.PlatformDecoder(zones={}),
                timer=timer_helper.ManualTimerService(),
            ),
        )

    def read(self, *stored: bytes) -> None:
        """Apply a list of objects of the store."""
        client = test_store.make_store(test_store.page(*stored))
        listing: store_model.Listing = asyncio.run(client.list(KIND)).unwrap()
        revision = self.view.revision + 1
        self.view.replace_all(listing._replace(revision=revision), grace_s=0.0)

    def frame(self) -> bytes:
        """Return the frame that a host sends to one that follows it."""
        return frames.encode(
            frames.make_update(KIND, self.view.since(0), grace_s=0.0)
        )


def entry(spec: dict[str, Any]) -> bytes:
    """Return the JSON of the configuration's object."""
    return test_store.entry("main", orjson.dumps(spec))


def log_lines(monkeypatch: pytest.MonkeyPatch) -> io.StringIO:
    """Return what a process logs from now on, at all levels."""
    lines = io.StringIO()
    root = logging.getLogger()
    monkeypatch.setattr(root, "handlers", root.handlers)
    monkeypatch.setattr(root, "level", root.level)
    logging_helper.configure(
        level="DEBUG", entry_host="h", handler=logging.StreamHandler(lines)
    )
    return lines


@pytest.mark.parametrize(
    "stored", [*map(entry, ODD), *BROKEN], ids=test_store.short_id
)
def test_key_is_neither_logged_nor_relayed(
    stored: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against keys in logs, errors and frames."""
    lines = log_lines(monkeypatch)
    follower = Follower()
    follower.read(stored)
    assert KEY not in lines.getvalue()
    assert KEY.encode() not in follower.frame()
    assert KEY not in repr(follower.view.objects)
    for item in follower.view.objects.values():
        decoded = objects.PlatformDecoder(zones={}).configuration(item)
        assert KEY not in repr(decoded)


def test_page_that_is_no_list_hides_its_keys() -> None:
    """Guard against keys in the reason why the store seems lost."""
    body = orjson.dumps({"items": {"ApiKeys": [KEY]}, "AsOf": KEY})
    client = test_store.make_store(body, body)
    result = asyncio.run(client.list(KIND))
    assert isinstance(result, Failure)
    assert KEY not in result.failure().detail
    watched = asyncio.run(client.watch(KIND, after=1, timeout_s=1.0))
    assert isinstance(watched, Failure)
    assert KEY not in watched.failure().detail


def test_digests_of_keys_are_in_force_at_hosts_that_follow() -> None:
    """Guard against keys that are known to the readers of the store only."""
    reader, follower = Follower(), Follower()
    reader.read(entry(VALID))
    update = frames.decode(reader.frame())
    assert isinstance(update, frames.Update)
    assert frames.apply_update(update, follower.view)
    for each in (reader, follower):
        assert each.state.configuration is not None
        (team,) = each.state.configuration.teams
        assert team.key_digests == {credentials.digest(KEY.encode())}


@pytest.mark.parametrize(
    ("spec", "detail"),
    [
        (changed(Tenants=[TEAM, TEAM | {"Name": "b"}]), "kites and b hold"),
        (changed(Tenants=[{"Name": "b", "ApiKeys": [""]}]), "ApiKeys.0: "),
        (changed(Tenants=[{"Name": "b", "ApiKeys": "k"}]), "0.ApiKeys: "),
        (changed(Tenants=[KEY]), "Tenants.0"),
        (changed(Tenants=KEY), "Tenants: "),
        (changed(Version="fffffffg"), "Version: "),
    ],
)
def test_unusable_version_leaves_the_one_in_force(
    spec: dict[str, Any], detail: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against a host that is out of use after an operator's mistake."""
    lines = log_lines(monkeypatch)
    starting, serving = Follower(), Follower()
    serving.read(entry(VALID))
    for each in (starting, serving):
        each.read(entry({"Version": "0000000d"} | spec))
    assert serving.state.version == 12
    refused, kept = [
        line for line in lines.getvalue().splitlines() if '"detail"' in line
    ]
    assert "none is in force, so that this host is not ready" in refused
    assert "keeping the one in force" in kept
    for line in (refused, kept):
        assert detail in line
        assert '"level": "ERROR"' in line
    serving.read(entry(changed(Version="0000000e")))
    assert serving.state.version == 14
