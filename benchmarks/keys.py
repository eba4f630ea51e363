"""Measure what a configuration with many keys takes until it is in force.

PYTHONPATH=platform python -m benchmarks.keys [--teams 2000]
[--keys-per-team 10]. The bound is 4 s and 20 MB for 20,000 keys.
"""

import asyncio
from collections.abc import Callable
import gc
import pathlib
import secrets
import statistics
import time
import tracemalloc

import orjson
import typer

from samphirelug.components.fleet import consumers
from samphirelug.components.following import frames
from samphirelug.components.metrics import forwarding as forwarding_metrics
from samphirelug.components.routing import table
from samphirelug.components.store import feed
from samphirelug.components.store import io_transport
from samphirelug.components.store import view as store_view
from samphirelug.helpers import credentials
from samphirelug.helpers import timer as timer_helper
from samphirelug_platform import objects
from samphirelug_platform import store

KIND = feed.ObjectKind.CONFIGURATION
KEY_BYTES = 24
REPEATS = 7
LOOKUPS = 100_000


class _OneAnswer(io_transport.StoreTransport):
    def __init__(self, body: bytes) -> None:
        self.body = body
        self.timeouts = io_transport.StoreTimeouts()

    async def call(
        self,
        method: str,
        path: str,
        *,
        timeout_s: float,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> io_transport.Reply | io_transport.NoReply:
        """Return the same answer to each call."""
        del method, path, timeout_s, body, headers
        return io_transport.Reply(200, self.body)


class Host:
    """Apply configurations as an entry host does."""

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

    def read(self, body: bytes) -> None:
        """Put the configuration in a list of the store in force."""
        client = store.PlatformStore(
            transport=_OneAnswer(body),
            metrics=forwarding_metrics.ForwardingMetrics(),
            timer=timer_helper.ManualTimerService(),
        )
        listing = asyncio.run(client.list(KIND)).unwrap()
        self.view.replace_all(listing, grace_s=0.0)

    def frame(self) -> bytes:
        """Return the frame for a host that follows this one."""
        update = frames.make_update(KIND, self.view.since(0), grace_s=0.0)
        return frames.encode(update)

    def receive(self, frame: bytes) -> None:
        """Put the configuration in the frame of another host in force."""
        update = frames.decode(frame)
        assert isinstance(update, frames.Update)
        frames.apply_update(update, self.view)


def make_page(teams: int, keys_per_team: int, version: int) -> bytes:
    """Return the store's list with one configuration."""
    rule = {
        "Name": "r",
        "Type": "safe",
        "TargetLatency": "400ms",
        "Match": {"PathPrefix": "/"},
        "Action": {"Service": "desk", "Timeout": "1s", "MaxAttempts": 2},
    }
    spec = {
        "Version": f"{version:08x}",
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 67108864,
            "HeaderTimeout": "3s",
            "IdleTimeout": "15s",
        },
        "Listeners": [{"Hostname": "portal.example", "Rules": [rule]}],
        "Clusters": [{"Name": "desk"}],
    }
    # Built from small parts: memory that a large document leaves free would
    # hide what the host takes.
    return b'{"items":[{"Metadata":%s,"Spec":%s,"Tenants":[%s]}}],%s}' % (
        orjson.dumps({"Name": "main", "Revision": version}),
        orjson.dumps(spec)[:-1],
        b",".join(make_team(number, keys_per_team) for number in range(teams)),
        b'"HasMore":false,"AsOf":%d' % version,
    )


def make_team(number: int, keys: int) -> bytes:
    """Return a team in a configuration of the store."""
    return orjson.dumps(
        {
            "Name": f"team-{number}",
            "ApiKeys": [secrets.token_urlsafe(KEY_BYTES) for _ in range(keys)],
            "Priority": number % 3,
            "RatePerS": 40,
            "Burst": 80,
            "AllowedRegions": ["colombo", "kandy"],
        }
    )


def seconds(action: Callable[[], object]) -> list[float]:
    """Return the durations of some calls."""
    durations = []
    for _ in range(REPEATS):
        started_s = time.perf_counter()
        action()
        durations.append(time.perf_counter() - started_s)
    return durations


def report_time(title: str, durations: list[float]) -> None:
    """Print the median and the longest duration."""
    print(
        f"{title}: median {statistics.median(durations):.3f} s,"
        f" longest {max(durations):.3f} s"
    )


def highest_resident_mb(action: Callable[[], object]) -> float:
    """Return by how much the process grows at most while a call runs."""
    gc.collect()
    # Sets the highest resident memory to the present one.
    pathlib.Path("/proc/self/clear_refs").write_text("5")
    before_mb = _highest_resident_mb()
    action()
    return _highest_resident_mb() - before_mb


def _highest_resident_mb() -> float:
    status = pathlib.Path("/proc/self/status").read_text()
    return int(status.split("VmHWM:")[1].split()[0]) * 1024 / 1e6


def highest_traced_mb(action: Callable[[], object]) -> float:
    """Return the memory that Python objects take at most during a call."""
    gc.collect()
    tracemalloc.reset_peak()
    before, _ = tracemalloc.get_traced_memory()
    action()
    return (tracemalloc.get_traced_memory()[1] - before) / 1e6


def main(teams: int = 2000, keys_per_team: int = 10) -> None:
    """Measure memory first, since later steps leave memory in use."""
    page = make_page(teams, keys_per_team, 1)
    next_page = make_page(teams, keys_per_team, 2)
    print(f"{teams} teams, {teams * keys_per_team} keys, {len(page)} bytes")
    Host().read(make_page(1, 1, 1))
    host = Host()
    first_mb = highest_resident_mb(lambda: host.read(page))
    second_mb = highest_resident_mb(lambda: host.read(next_page))
    print(
        f"resident memory at its highest: first version +{first_mb:.1f} MB,"
        f" then one that replaces it +{second_mb:.1f} MB"
    )
    assert host.state.version == 2
    frame = host.frame()
    tracemalloc.start()
    traced = Host()
    first_mb = highest_traced_mb(lambda: traced.read(page))
    kept_mb = tracemalloc.get_traced_memory()[0] / 1e6
    second_mb = highest_traced_mb(lambda: traced.read(next_page))
    tracemalloc.stop()
    print(
        f"Python objects at their highest: first version +{first_mb:.1f} MB,"
        f" of which {kept_mb:.1f} MB stay; then one that replaces it"
        f" +{second_mb:.1f} MB"
    )
    report_time("from the store", seconds(lambda: Host().read(page)))
    report_time(
        f"from a host, frame of {len(frame)} bytes",
        seconds(lambda: Host().receive(frame)),
    )
    route_table = host.state.table
    assert route_table is not None
    (route,) = route_table.configuration.routes
    key = secrets.token_urlsafe(KEY_BYTES).encode()
    started_s = time.perf_counter()
    for _ in range(LOOKUPS):
        route_table.credentials.authenticate(
            route, path="/", key_digest=credentials.digest(key)
        )
    took_s = time.perf_counter() - started_s
    print(f"digest and look-up of a key: {took_s / LOOKUPS * 1e6:.2f} us")


if __name__ == "__main__":
    typer.run(main)
