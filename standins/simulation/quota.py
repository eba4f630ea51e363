"""Simulate entry hosts that share quota over a failing store and mesh.

Use is counted independently of the hosts: each dispatch occupies its units,
as a backend server would see it, until the request has actually ended and
the release delay of the key has passed.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Mapping
import itertools
import math
import random
from typing import Any
from typing import NamedTuple

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from samphirelug.components.admission import model as admission_model
from samphirelug.components.catalogue import view as catalogue_view
from samphirelug.components.peers import mesh as peers_mesh
from samphirelug.components.peers import model as peers_model
from samphirelug.components.quota import const
from samphirelug.components.quota import ledger as quota_ledger
from samphirelug.components.quota import limits
from samphirelug.components.quota import loans
from samphirelug.components.quota import model
from samphirelug.components.quota import seat_keeper
from samphirelug.components.store import model as store_model
from samphirelug.components.store import object_store
from samphirelug import core
from samphirelug.helpers import timer as timer_helper
from samphirelug import result_codes
from standins import builders

CODES = result_codes.ResultCode
STEP_S = 0.25
BULK_KEYS = ("link:tallinn>tartu", "link:tartu>tallinn")
SETTINGS = model.SeatSettings(
    lease_s=20.0, renew_interval_s=6.0, margin_s=1.0, retry_max_s=2.0
)


class OccupiedUnits(NamedTuple):
    """Represent units of one key that a dispatch occupies."""

    since_s: float
    until_s: float
    amount: int


class AppliedLimits(NamedTuple):
    """Represent the limits that a host applies until a time."""

    host: object
    until_s: float
    limits: Mapping[str, int]


def make_view(
    max_in_flight: int, shift_requests: int
) -> catalogue_view.CatalogueView:
    zones = ["tallinn-a", "tartu-a"]
    work = builders.make_work("status", work_class=core.WorkClass.STATUS)
    work["max_answer_bytes"] = 100
    entries = [
        builders.make_region(
            zone[:-2],
            max_in_flight=max_in_flight,
            shift_requests=shift_requests,
        )
        for zone in zones
    ]
    return catalogue_view.CatalogueView(
        entries=[
            *entries,
            builders.make_link("tallinn", "tartu", bytes_per_s=100_000),
            builders.make_service("filing", zones=zones, slots=4),
            work,
        ]
    )


class FakeCatalogue:
    """Provide a view in place of CatalogueState."""

    def __init__(self, view: catalogue_view.CatalogueView) -> None:
        self.view = view


class QuotaSimulation:
    """Simulate the clock, the stored objects, the hosts and the actual use."""

    def __init__(self, *, seed: int, settings: model.SeatSettings) -> None:
        self.settings = settings
        self.rng = random.Random(seed)
        self.timer = timer_helper.ManualTimerService(start_s=1000.0)
        self.objects: dict[str, store_model.StoredObject] = {}
        self.revision = 0
        self.store_available = True
        self.failure_rate = 0.0
        # Writes take effect this much later. From 1 s on, their callers have
        # timed out by then.
        self.write_delay_s = 0.0
        self.calls = 0
        self.writes = 0
        self.hosts: dict[str, Host] = {}
        self.sequence = itertools.count(1)
        self.view = make_view(7, 5)
        self.in_use: dict[str, list[OccupiedUnits]] = {}
        self.applied: list[AppliedLimits] = []
        self.dispatches = 0
        self.loans = 0
        self.unit_loans = 0
        # If not 0, each request needs this many bytes of a link and no other
        # units.
        self.bulk_bytes = 0
        self.peak_use: dict[str, float] = {}

    def draw_failure(self) -> bool:
        return self.rng.random() < self.failure_rate

    def record_limits(
        self, host: object, limit_amounts: Mapping[str, int]
    ) -> None:
        """Record that a host applies other limits from now on."""
        # It may use bundles that it has borrowed for up to LOAN_S more.
        end_s = self.timer.monotonic() + const.LOAN_S
        self.applied = [
            applied._replace(until_s=min(applied.until_s, end_s))
            if applied.host is host
            else applied
            for applied in self.applied
        ]
        if limit_amounts:
            self.applied.append(AppliedLimits(host, math.inf, limit_amounts))

    def record_dispatch(self, bundle: model.Bundle, end_s: float) -> None:
        """Count a dispatch whose request ends at end_s, and check limits.

        Requests dispatched since any point in time must not together use
        more than the highest limit that any host has applied since then.
        """
        now = self.timer.monotonic()
        quota_limits = limits.quota_limits(self.view)
        self.dispatches += 1
        for key, amount in bundle.units:
            until_s = end_s + quota_limits[key].release_delay_s
            occupied = [
                use for use in self.in_use.get(key, ()) if use.until_s > now
            ]
            occupied.append(OccupiedUnits(now, until_s, amount))
            self.in_use[key] = occupied
            total = 0
            for use in reversed(occupied):
                total += use.amount
                limit = max(
                    applied.limits.get(key, 0)
                    for applied in self.applied
                    if applied.until_s >= use.since_s
                )
                assert total <= limit, (now, key, total, limit)
            used_fraction = (
                sum(use.amount for use in occupied) / quota_limits[key].limit
            )
            self.peak_use[key] = max(
                self.peak_use.get(key, 0.0), used_fraction
            )

    def set_view(self, view: catalogue_view.CatalogueView) -> None:
        self.view = view
        for host in self.hosts.values():
            host.call_later(self.rng.random(), host.update_view)

    def start(self, name: str, zone: str) -> "Host":
        host = Host(sim=self, name=name, zone=zone)
        self.hosts[name] = host
        return host

    def hosts_in(self, region: str) -> frozenset[str]:
        return frozenset(
            host.name
            for host in self.hosts.values()
            if host.region == region and not host.dead
        )

    async def run(self, duration_s: float) -> None:
        """Advance all clocks in steps and generate load on every host."""
        for _ in range(int(duration_s / STEP_S)):
            self.timer.advance(STEP_S)
            for host in list(self.hosts.values()):
                if not host.paused and not host.dead:
                    host.timer.advance(
                        self.timer.monotonic() - host.timer.monotonic()
                    )
            for _ in range(6):
                await asyncio.sleep(0)
            for host in list(self.hosts.values()):
                if not host.paused and not host.dead:
                    host.generate_load()


class Host:
    """Run the quota components of one entry host."""

    def __init__(self, *, sim: QuotaSimulation, name: str, zone: str) -> None:
        self.sim = sim
        self.name = name
        self.region = zone[:-2]
        self.paused = False
        self.dead = False
        self.partitioned = False
        self.generating_load = False
        self.request_probability = 0.5
        self.orphan_probability = 0.1
        self.timer = timer_helper.ManualTimerService(
            start_s=sim.timer.monotonic()
        )
        self.catalogue = FakeCatalogue(sim.view)
        self.ledger = quota_ledger.QuotaLedger(timer=self.timer)
        # Like admission, dispatches as soon as units may be free.
        self.ledger.on_free.append(self.on_units_freed)
        self.mesh = FakeMesh(self)
        identity = builders.make_host(name, zone=zone)
        identity = identity._replace(
            incarnation=f"{name}-{next(sim.sequence)}"
        )
        self.borrower = loans.Borrower(
            ledger=self.ledger,
            mesh=self.mesh,
            timer=self.timer,
            host=identity,
        )
        self.identity = identity
        self.mesh.set_handler(peers_model.GrantRequest, self.grant)
        self.mesh.set_handler(peers_model.UnitRequest, self.grant_units)
        self.mesh.set_handler(
            peers_model.GrantReturn, loans.make_return_handler(self.ledger)
        )
        self.keeper = seat_keeper.SeatKeeper(
            store=FakeStore(self),
            ledger=self.ledger,
            timer=self.timer,
            rng=sim.rng,
            host=identity,
            catalogue=self.catalogue,
            hosts_of=sim.hosts_in,
            settings=sim.settings,
        )
        self.update_view()
        self.task = asyncio.get_running_loop().create_task(self.keeper.run())

    def update_view(self) -> None:
        if self.dead:
            return
        self.catalogue.view = self.sim.view
        quota_limits = limits.quota_limits(self.sim.view)
        self.ledger.set_limits(quota_limits)
        self.sim.record_limits(
            self, {key: limit.limit for key, limit in quota_limits.items()}
        )

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Run a callback by this host's timer, which stops during a pause."""
        self.timer.call_at(
            when_s=self.sim.timer.monotonic() + delay_s, callback=callback
        )

    def kill(self) -> None:
        self.dead = True
        self.task.cancel()
        self.sim.record_limits(self, {})

    def resume(self) -> None:
        """Resume after a pause, with a jump of the clock."""
        self.paused = False
        self.timer.now_s = self.sim.timer.monotonic()
        # Requests may be dispatched before any timer callback has run.
        self.generate_load()

    def on_units_freed(self) -> None:
        """Dispatch from within a ledger callback, but not recursively."""
        if self.generating_load or self.paused or self.dead:
            return
        self.generate_load()

    def generate_load(self) -> None:
        """Try to dispatch requests, guarded against recursion."""
        self.generating_load = True
        self.try_dispatches()
        self.generating_load = False

    def try_dispatches(self) -> None:
        """Try to dispatch up to four requests, with own or borrowed units."""
        if self.sim.bulk_bytes:
            self.try_bulk_dispatch()
            return
        rng = self.sim.rng
        for _ in range(4):
            if rng.random() >= self.request_probability:
                continue
            server = rng.choice(list(self.sim.view.servers.values()))
            home_region = rng.choice(["tallinn", "tartu"])
            bundle = self.make_bundle(server, self.region, home_region)
            hold = self.ledger.try_hold(bundle)
            if isinstance(hold, Success):
                self.dispatch(bundle, hold.unwrap(), None)
                continue
            region = rng.choice([self.region, server.zone.region])
            permit = self.borrower.try_acquire(
                work="status",
                region=region,
                home_region=home_region,
                body_bytes=20,
            )
            if permit is None:
                self.borrower.request_bundles(
                    work="status",
                    region=region,
                    home_region=home_region,
                    body_bytes=20,
                    count=2,
                )
            else:
                self.sim.loans += 1
                self.dispatch(permit.bundle, permit.hold_id, permit)

    def try_bulk_dispatch(self) -> None:
        """Try to dispatch one request that needs many bytes of a link."""
        amount = self.sim.bulk_bytes
        key = self.sim.rng.choice(BULK_KEYS)
        if self.sim.rng.random() >= self.request_probability:
            return
        bundle = model.Bundle("tartu", "s", (model.UnitAmount(key, amount),))
        hold = self.ledger.try_hold(bundle)
        if isinstance(hold, Success):
            self.dispatch(bundle, hold.unwrap(), None)
        else:
            self.borrower.request_units(key=key, needed=amount)

    def make_bundle(
        self, server: core.BackendServer, host_region: str, home_region: str
    ) -> model.Bundle:
        view = self.sim.view
        return limits.bundle_for(
            view=view,
            work=view.works["status"],
            server=server,
            host_region=host_region,
            home_region=home_region,
            body_bytes=20,
        )

    def dispatch(
        self,
        bundle: model.Bundle,
        hold_id: int,
        permit: admission_model.Permit | None,
    ) -> None:
        """Use units for a request; an orphaned one runs on at the server."""
        rng = self.sim.rng
        now = self.sim.timer.monotonic()
        orphaned = rng.random() < self.orphan_probability
        duration_s = rng.choice([0.3, 1.0, 4.0])
        deadline_s = now + (rng.uniform(20, 30) if orphaned else duration_s)
        end_s = deadline_s + 0.5 if orphaned else deadline_s
        self.sim.record_dispatch(bundle, end_s)
        if permit is not None:
            ended = admission_model.PermitEnd(
                "orphaned" if orphaned else "complete"
            )
            self.call_later(
                0.5 if orphaned else duration_s,
                lambda: self.borrower.end(
                    permit, ended=ended, deadline_at_s=deadline_s
                ),
            )
        elif orphaned:
            self.ledger.release_at(hold_id, end_s)
        else:
            self.call_later(duration_s, lambda: self.ledger.release(hold_id))

    async def grant(
        self,
        sender: str,  # noqa: ARG002
        message: peers_model.Message,
    ) -> peers_model.Message:
        """Lend the requested bundles as far as units are free."""
        assert isinstance(message, peers_model.GrantRequest)
        loan_id = f"{self.identity.incarnation}/{next(self.sim.sequence)}"
        lent: list[model.Bundle] = []
        view = self.sim.view
        duration_s = self.sim.rng.choice([0.5, 1.0]) * const.LOAN_S
        for server in view.servers_in(service="filing", region=message.region):
            bundle = self.make_bundle(
                server, message.host_region, message.home_region
            )
            if len(lent) < message.bundles_wanted and self.ledger.lend(
                bundle,
                loan_id=loan_id,
                bundle_number=len(lent) + 1,
                until_s=self.timer.monotonic() + duration_s,
            ):
                lent.append(bundle)
            elif not lent:
                for key, amount in bundle.units:
                    if key.startswith("link:"):
                        self.borrower.request_units(key=key, needed=amount)
        return peers_model.Grant(loan_id, tuple(lent), duration_s)

    async def grant_units(
        self,
        sender: str,  # noqa: ARG002
        message: peers_model.Message,
    ) -> peers_model.Message:
        """Lend the free units, up to the requested amounts."""
        assert isinstance(message, peers_model.UnitRequest)
        loan_id = f"{self.identity.incarnation}/{next(self.sim.sequence)}"
        units = tuple(
            model.UnitAmount(key, min(amount, self.ledger.free(key)))
            for key, amount in message.units
        )
        is_requesting = any(
            self.borrower.is_requesting_units(key) for key, _ in units
        )
        can_lend = all(unit.amount for unit in units) and not is_requesting
        lent = can_lend and self.ledger.lend(
            units,
            loan_id=loan_id,
            bundle_number=0,
            until_s=self.timer.monotonic() + const.LOAN_S,
        )
        self.sim.unit_loans += lent
        return peers_model.UnitGrant(
            loan_id, units if lent else (), const.LOAN_S
        )


class FakeMesh(peers_mesh.PeerMesh):
    """Deliver, delay, repeat or lose messages between simulated hosts."""

    def __init__(self, host: Host) -> None:
        self.host = host
        self.handlers: dict[type, peers_mesh.Handler] = {}

    def live_peers(self) -> tuple[peers_model.PeerView, ...]:
        peers = [
            peer
            for peer in self.host.sim.hosts.values()
            if peer is not self.host and not peer.dead
        ]
        return tuple(map(self.make_peer_view, peers))

    def make_peer_view(self, peer: Host) -> peers_model.PeerView:
        heartbeat = peers_model.Heartbeat(
            host=peer.identity,
            state=core.EntryHostState.SERVING,
            clock_ms=0,
            catalogue_revision=0,
            headroom=tuple(
                peers_model.RegionHeadroom(
                    region,
                    "filing",
                    peer.ledger.free(limits.region_key(region)),
                    0,
                )
                for region in ("tallinn", "tartu")
            ),
            queued=(0, 0, 0),
            wait_s=(0.0, 0.0, 0.0),
            sightings=(),
        )
        return peers_model.PeerView(
            heartbeat, self.host.timer.monotonic(), True
        )

    def deliver(
        self,
        name: str,
        message: peers_model.Message,
        on_answer: Callable[[peers_model.Message | None], None],
    ) -> None:
        sim = self.host.sim
        peer = sim.hosts.get(name)
        if (
            peer is None
            or self.host.partitioned
            or peer.partitioned
            or sim.draw_failure()
        ):
            return
        handler = peer.mesh.handlers[type(message)]

        async def handle() -> None:
            on_answer(await handler(self.host.name, message))

        delay_s = sim.rng.choice(
            [0.0, 0.3, 3.0 if sim.draw_failure() else 0.1]
        )
        peer.call_later(delay_s, lambda: start_task(handle()))
        if sim.draw_failure() and isinstance(message, peers_model.GrantReturn):
            peer.call_later(delay_s + 5.0, lambda: start_task(handle()))

    async def request(
        self, host: str, message: peers_model.Message, *, timeout_s: float
    ) -> Result[peers_model.Message, result_codes.Refusal]:
        answers: list[peers_model.Message | None] = []
        sim = self.host.sim
        self.deliver(
            host,
            message,
            lambda answer: (
                None if sim.draw_failure() else answers.append(answer)
            ),
        )
        end_s = self.host.timer.monotonic() + timeout_s
        while not answers and self.host.timer.monotonic() < end_s:
            await self.host.timer.sleep(STEP_S)
        if answers and answers[0] is not None:
            return Success(answers[0])
        return Failure(result_codes.Refusal(CODES.PEER_UNREACHABLE, ""))

    def send(self, host: str, message: peers_model.Message) -> None:
        self.deliver(host, message, lambda _: None)

    def broadcast(self, message: peers_model.Message) -> None:
        raise NotImplementedError

    def set_handler(self, kind: type, handler: peers_mesh.Handler) -> None:
        self.handlers[kind] = handler


TASKS: set[asyncio.Task[None]] = set()


def start_task(work: Coroutine[Any, Any, None]) -> None:
    task = asyncio.get_running_loop().create_task(work)
    TASKS.add(task)
    task.add_done_callback(TASKS.discard)


class FakeStore(object_store.ObjectStore):
    """Apply store calls late or never, and lose answers."""

    def __init__(self, host: Host) -> None:
        self.host = host

    async def call(
        self,
        action: Callable[
            [], Result[store_model.StoredObject, result_codes.Refusal]
        ],
        *,
        extra_delay_s: float = 0.0,
    ) -> Result[store_model.StoredObject, result_codes.Refusal]:
        sim = self.host.sim
        sim.calls += 1
        if not sim.store_available:
            await self.host.timer.sleep(STEP_S)
            return self.refuse(CODES.STORE_UNAVAILABLE)
        answers: list[
            Result[store_model.StoredObject, result_codes.Refusal]
        ] = []
        delay_s = sim.rng.random() * STEP_S + extra_delay_s
        if sim.draw_failure():
            # May take effect long after the caller has timed out.
            delay_s = sim.rng.uniform(1.0, 8.0)
        if not sim.draw_failure():
            sim.timer.call_at(
                when_s=sim.timer.monotonic() + delay_s,
                callback=lambda: answers.append(action()),
            )
        answer_lost = sim.draw_failure()
        end_s = self.host.timer.monotonic() + 1.0
        while not answers and self.host.timer.monotonic() < end_s:
            await self.host.timer.sleep(STEP_S)
        return (
            self.refuse(CODES.STORE_OUTCOME_UNKNOWN)
            if (answer_lost or not answers)
            else answers[0]
        )

    def refuse(
        self, code: result_codes.ResultCode
    ) -> Result[store_model.StoredObject, result_codes.Refusal]:
        return Failure(result_codes.Refusal(code, ""))

    async def get(
        self, key: str
    ) -> Result[store_model.StoredObject, result_codes.Refusal]:
        def action() -> Result[store_model.StoredObject, result_codes.Refusal]:
            found = self.host.sim.objects.get(key)
            if found is None:
                return self.refuse(CODES.OBJECT_NOT_FOUND)
            return Success(found)

        return await self.call(action)

    async def put(
        self, key: str, value: Mapping[str, Any], *, expected_revision: int
    ) -> Result[store_model.StoredObject, result_codes.Refusal]:
        def action() -> Result[store_model.StoredObject, result_codes.Refusal]:
            sim = self.host.sim
            found = sim.objects.get(key)
            if (found.revision if found else 0) != expected_revision:
                return self.refuse(CODES.STORE_CONFLICT)
            sim.revision += 1
            sim.writes += 1
            stored = store_model.StoredObject(key, sim.revision, value)
            sim.objects[key] = stored
            return Success(stored)

        return await self.call(
            action, extra_delay_s=self.host.sim.write_delay_s
        )

    async def list(
        self, prefix: str
    ) -> Result[store_model.Listing, result_codes.Refusal]:
        raise NotImplementedError

    async def watch(
        self, prefix: str, *, after: int, timeout_s: float
    ) -> Result[store_model.Listing, result_codes.Refusal]:
        raise NotImplementedError
