"""Simulate the allowances of teams over many hosts, in virtual time."""

import bisect
import collections
from collections.abc import Callable
from collections.abc import Sequence
import enum
from functools import partial
import heapq
import itertools
import random
from typing import NamedTuple

from samphirelug.components.allowance import const
from samphirelug.components.allowance import holder as allowance_holder
from samphirelug.components.allowance import io_datagrams
from samphirelug.components.allowance import model
from samphirelug.components.allowance import node as allowance_node
from samphirelug.components.fleet import model as fleet_model
from samphirelug.components.routing import model as routing_model
from samphirelug import core

# One-way delays, as in the laundry deployment.
ZONE_DELAY_S = 0.0002
REGION_DELAY_S = 0.0039
FAR_DELAY_S = 0.02
# Time after which hosts see that another one is lost, or back.
ABSENT_AFTER_S = 2.75
PRESENT_AFTER_S = 0.8
# IPv4 and UDP headers.
HEADER_BYTES = 28
ZONES = (
    ("a1", "a"),
    ("a2", "a"),
    ("b1", "b"),
    ("b2", "b"),
    ("c1", "c"),
    ("c2", "c"),
)
BOUNDS = model.AllowanceBounds(window_s=5.0, overage=0.1, slack=20.0)


class TeamCounts:
    """Count the requests of one team, with the times of those admitted."""

    def __init__(self) -> None:
        self.arrived = 0
        self.refused = 0
        self.spent_at_s: list[float] = []
        self.waits_s: list[float] = []

    def largest_window(self, window_s: float) -> int:
        """Return the most requests admitted in a window."""
        times = sorted(self.spent_at_s)
        first = largest = 0
        for index, at_s in enumerate(times):
            while times[first] <= at_s - window_s:
                first += 1
            largest = max(largest, index - first + 1)
        return largest

    def spent_between(self, begin_s: float, end_s: float) -> int:
        """Return the number of requests admitted in a time."""
        times = sorted(self.spent_at_s)
        return bisect.bisect(times, end_s) - bisect.bisect(times, begin_s)


class Waiting(NamedTuple):
    """Hold a request that waits for a token."""

    number: int
    arrived_at_s: float


class World:
    """Hold hosts, teams and faults."""

    def __init__(
        self,
        *,
        hosts: int,
        teams: Sequence[routing_model.Team],
        seed: int = 1,
        bounds: model.AllowanceBounds = BOUNDS,
        loss: float = 0.0,
        first_start: bool = True,
        jitter_s: float = 0.002,
    ) -> None:
        self.rng = random.Random(seed)
        self.bounds = bounds
        self.loss = loss
        self.jitter_s = jitter_s
        self.now_s = 100.0
        self.teams = {team.name: team for team in teams}
        self.keys = {
            limit.key: limit.name
            for limit in (model.make_limit(team, bounds) for team in teams)
            if limit is not None
        }
        self.counts = {team.name: TeamCounts() for team in teams}
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.sequence = itertools.count()
        # Hosts that do not run, and hosts that stand still until a time.
        self.killed: set[str] = set()
        self.frozen: dict[str, float] = {}
        # Pairs of sender and receiver between which messages are lost.
        self.cut: collections.Counter[tuple[str, str]] = collections.Counter()
        self.datagrams = 0
        self.sent_bytes = 0
        self.received: dict[str, int] = {}
        zones = [core.AvailabilityZone(*zone) for zone in ZONES]
        self.instances = {
            f"h{number}": fleet_model.HostInstance(
                f"h{number}",
                "1",
                zones[number % len(zones)],
                "127.0.0.1:1",
                "127.0.0.1:2",
            )
            for number in range(hosts)
        }
        self.hosts: dict[str, SimulatedHost] = {}
        for name in self.instances:
            self.start(name, first_start=first_start)
        for host in self.hosts.values():
            host.see(self.hosts)

    def schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        """Run an action later."""
        heapq.heappush(
            self.events, (self.now_s + delay_s, next(self.sequence), action)
        )

    def run(self, seconds: float) -> None:
        """Advance the clock."""
        end_s = self.now_s + seconds
        while self.events and self.events[0][0] <= end_s:
            at_s, _, action = heapq.heappop(self.events)
            self.now_s = max(self.now_s, at_s)
            action()
        self.now_s = end_s

    def start(self, name: str, *, first_start: bool = False) -> None:
        """Start a host, without what it knew before."""
        host = SimulatedHost(
            self.instances[name], world=self, first_start=first_start
        )
        self.hosts[name] = host
        self.killed.discard(name)
        host.node.set_teams(self.teams.values(), now=self.now_s)
        host.see([other for other in self.hosts if other not in self.killed])
        self.schedule(self.rng.uniform(0.0, const.TICK_S), host.tick)

    def restart(self, name: str) -> None:
        """Start a host again under the same name."""
        instance = self.instances[name]
        self.instances[name] = instance._replace(
            incarnation=f"{instance.incarnation}+"
        )
        self.start(name)

    def kill(self, name: str) -> None:
        """End a host."""
        self.killed.add(name)

    def freeze(self, name: str, seconds: float) -> None:
        """Stop a host for a time."""
        self.frozen[name] = self.now_s + seconds

    def observe_all(self, names: Sequence[str]) -> None:
        """Let the running hosts know which hosts serve."""
        for host in self.hosts.values():
            if host.name not in self.killed:
                host.see(names)

    def set_teams(self, teams: Sequence[routing_model.Team]) -> None:
        """Put a configuration in force on all hosts within two seconds."""
        self.teams = {team.name: team for team in teams}
        for host in self.hosts.values():
            self.schedule(
                self.rng.uniform(0.0, 2.0),
                lambda host=host: host.node.set_teams(  # type: ignore[misc]
                    self.teams.values(), now=self.now_s
                ),
            )

    def send(self, sender: str, outgoing: model.Outgoing) -> None:
        """Deliver a datagram after a delay, or lose it."""
        data = io_datagrams.encode(
            self.hosts[sender].node.own_id, outgoing.message
        )
        assert len(data) <= const.MAX_DATAGRAM_BYTES
        self.datagrams += 1
        self.sent_bytes += len(data) + HEADER_BYTES
        recipient = outgoing.recipient
        if self.rng.random() < self.loss or self.cut[sender, recipient]:
            return
        self.received[recipient] = self.received.get(recipient, 0) + 1
        self.schedule(
            self._delay_s(sender, recipient)
            + self.rng.uniform(0.0, self.jitter_s),
            lambda: self._deliver(recipient, data),
        )

    def _delay_s(self, sender: str, recipient: str) -> float:
        first = self.instances[sender].zone
        second = self.instances[recipient].zone
        if first == second:
            return ZONE_DELAY_S
        if first.region == second.region:
            return REGION_DELAY_S
        return FAR_DELAY_S

    def _deliver(self, recipient: str, data: bytes) -> None:
        if recipient in self.killed:
            return
        wakes_at_s = self.frozen.get(recipient, 0.0)
        if wakes_at_s > self.now_s:
            self.schedule(
                wakes_at_s - self.now_s,
                lambda: self._deliver(recipient, data),
            )
            return
        self.hosts[recipient].receive(data)

    def largest_excess(self) -> float:
        """Return the largest ratio of admitted requests to the bound."""
        bounds = self.bounds
        return max(
            count.largest_window(bounds.window_s)
            / (
                (
                    self.teams[name].requests_per_s * bounds.window_s
                    + self.teams[name].burst
                )
                * (1.0 + bounds.overage)
                + bounds.slack
            )
            for name, count in self.counts.items()
        )


class SimulatedHost:
    """Run the node of one host with the requests of its callers."""

    def __init__(
        self,
        instance: fleet_model.HostInstance,
        *,
        world: World,
        first_start: bool,
    ) -> None:
        self.name = instance.name
        self.world = world
        self.node = allowance_node.AllowanceNode(
            own=instance,
            bounds=world.bounds,
            rng=random.Random(world.rng.random()),
            first_start=first_start,
            now=world.now_s,
        )
        self.node.on_change = self._wake
        self.waiting: dict[str, list[Waiting]] = {}
        self.may_own = True
        self.ask_scheduled = False

    @property
    def _is_gone(self) -> bool:
        return (
            self.world.hosts[self.name] is not self
            or self.name in self.world.killed
        )

    def see(self, serving: Sequence[str] | dict[str, "SimulatedHost"]) -> None:
        """Set the hosts that this one believes to serve."""
        self.node.set_hosts(
            serving=serving,
            known=self.world.instances.values(),
            now=self.world.now_s,
        )

    def tick(self) -> None:
        """Send what is due."""
        if self._is_gone:
            return
        wakes_at_s = self.world.frozen.get(self.name, 0.0)
        if wakes_at_s > self.world.now_s:
            self.world.schedule(wakes_at_s - self.world.now_s, self.tick)
            return
        self.world.schedule(const.TICK_S, self.tick)
        self._send(self.node.tick(may_own=self.may_own, now=self.world.now_s))

    def receive(self, data: bytes) -> None:
        """Process a datagram."""
        sender, message = io_datagrams.decode(data)
        self._send(self.node.receive(sender, message, now=self.world.now_s))

    def request(self, team: str) -> None:
        """Handle a request of a caller."""
        world = self.world
        if self._is_gone or world.frozen.get(self.name, 0.0) > world.now_s:
            return
        counts = world.counts[team]
        counts.arrived += 1
        limit = model.make_limit(world.teams[team], world.bounds)
        assert limit is not None
        stock = self.node.holder.add_request(limit.key, now=world.now_s)
        if self.node.holder.try_take(stock, now=world.now_s) is not None:
            counts.spent_at_s.append(world.now_s)
            return
        verdict = self.node.holder.judge(stock, now=world.now_s)
        if verdict is allowance_holder.Verdict.REFUSE:
            counts.refused += 1
            return
        item = Waiting(next(world.sequence), world.now_s)
        self.waiting.setdefault(team, []).append(item)
        stock.waiting += 1
        self._ask_soon()
        world.schedule(
            const.MAX_WAIT_S, lambda: self._give_up(team, stock, item)
        )

    def _ask_soon(self) -> None:
        if not self.ask_scheduled:
            self.ask_scheduled = True
            self.world.schedule(0.0, self._ask)

    def _ask(self) -> None:
        self.ask_scheduled = False
        if not self._is_gone:
            self._send(self.node.ask(now=self.world.now_s))

    def _give_up(
        self, team: str, stock: allowance_holder.TeamStock, item: Waiting
    ) -> None:
        if item not in self.waiting[team] or self._is_gone:
            return
        self.waiting[team].remove(item)
        stock.waiting -= 1
        counts = self.world.counts[team]
        now = self.world.now_s
        if (
            self.world.frozen.get(self.name, 0.0) <= now
            and self.node.holder.try_take(stock, now=now) is not None
        ):
            counts.spent_at_s.append(now)
        else:
            counts.refused += 1

    def _wake(self, stock: allowance_holder.TeamStock) -> None:
        team = stock.limit.name
        waiting = self.waiting.get(team, [])
        counts = self.world.counts[team]
        now = self.world.now_s
        while waiting:
            if self.node.holder.try_take(stock, now=now) is None:
                break
            item = waiting.pop(0)
            stock.waiting -= 1
            counts.spent_at_s.append(now)
            counts.waits_s.append(now - item.arrived_at_s)
        if now < stock.refuse_until_s:
            stock.waiting -= len(waiting)
            counts.refused += len(waiting)
            waiting.clear()
        elif waiting:
            self._ask_soon()

    def _send(self, due: list[model.Outgoing]) -> None:
        for outgoing in due:
            self.world.send(self.name, outgoing)


class PoissonLoad:
    """Send the requests of a team to hosts chosen at random."""

    def __init__(
        self,
        *,
        world: World,
        team: str,
        requests_per_s: float,
        hosts: Sequence[str],
    ) -> None:
        self.world = world
        self.team = team
        self.requests_per_s = requests_per_s
        self.hosts = list(hosts)
        self._schedule()

    def _schedule(self) -> None:
        self.world.schedule(
            self.world.rng.expovariate(max(1e-3, self.requests_per_s)),
            self._arrive,
        )

    def _arrive(self) -> None:
        name = self.world.rng.choice(self.hosts)
        self.world.hosts[name].request(self.team)
        self._schedule()


class FaultKind(enum.StrEnum):
    """Represent what goes wrong with hosts."""

    KILL = "kill"
    RESTART = "restart"
    FREEZE = "freeze"
    SPLIT = "split"
    # Only what a host sends is lost.
    MUTE = "mute"
    # One host is cut off from some of the others.
    PARTIAL = "partial"


class Fault(NamedTuple):
    """Hold a fault and its time."""

    kind: FaultKind
    at_s: float
    lasts_s: float
    # Selects the hosts that it concerns.
    choice: int


class FaultRun:
    """Run hosts with faults, under demand above all limits."""

    def __init__(
        self,
        *,
        hosts: int,
        teams: Sequence[routing_model.Team],
        faults: Sequence[Fault],
        seed: int,
        load: float = 2.0,
        loss: float = 0.02,
        first_start: bool = True,
    ) -> None:
        self.world = World(
            hosts=hosts,
            teams=teams,
            seed=seed,
            loss=loss,
            first_start=first_start,
            jitter_s=0.01,
        )
        for team in teams:
            PoissonLoad(
                world=self.world,
                team=team.name,
                requests_per_s=load * team.requests_per_s,
                hosts=list(self.world.instances),
            )
        for fault in faults:
            self.world.schedule(fault.at_s, partial(self._begin, fault))

    def run(self, seconds: float) -> float:
        """Return the largest ratio of a window to its bound."""
        self.world.run(seconds)
        return self.world.largest_excess()

    def _begin(self, fault: Fault) -> None:
        world = self.world
        names = list(world.instances)
        name = names[fault.choice % len(names)]
        if fault.kind in (FaultKind.KILL, FaultKind.RESTART):
            if name in world.killed:
                return
            world.kill(name)
            self._update_views(ABSENT_AFTER_S)
            if fault.kind is FaultKind.RESTART:
                world.schedule(fault.lasts_s, partial(self._restart, name))
        elif fault.kind is FaultKind.FREEZE:
            world.freeze(name, fault.lasts_s)
            self._update_views(ABSENT_AFTER_S)
            world.schedule(
                fault.lasts_s, partial(self._update_views, PRESENT_AFTER_S)
            )
        else:
            group = {name}
            if fault.kind is FaultKind.SPLIT:
                group = {
                    other
                    for index, other in enumerate(names)
                    if fault.choice >> index & 1
                }
            cut = {
                pair
                for first in group
                for second in set(names) - group
                for pair in ((first, second), (second, first))
                if fault.kind is FaultKind.SPLIT or pair[0] == first
            }
            if fault.kind is FaultKind.PARTIAL:
                cut = {
                    pair
                    for index, other in enumerate(names)
                    if fault.choice >> index & 1 and other != name
                    for pair in ((name, other), (other, name))
                }
            world.cut.update(cut)
            self._update_views(ABSENT_AFTER_S)
            world.schedule(fault.lasts_s, partial(self._mend, cut))

    def _restart(self, name: str) -> None:
        self.world.restart(name)
        self._update_views(PRESENT_AFTER_S)

    def _mend(self, cut: set[tuple[str, str]]) -> None:
        self.world.cut.subtract(cut)
        self._update_views(PRESENT_AFTER_S)

    def _update_views(self, after_s: float) -> None:
        """Let each host learn of changes, at a time of its own."""
        for name in self.world.instances:
            self.world.schedule(
                after_s * self.world.rng.uniform(0.7, 1.0),
                partial(self._update_view, name),
            )

    def _update_view(self, name: str) -> None:
        """Let a host see those from which it hears."""
        world = self.world
        if name in world.killed:
            return
        if world.frozen.get(name, 0.0) > world.now_s:
            world.schedule(
                world.frozen[name] - world.now_s,
                partial(self._update_view, name),
            )
            return
        world.hosts[name].see(
            [
                other
                for other in world.instances
                if other == name
                or (
                    other not in world.killed
                    and world.frozen.get(other, 0.0) <= world.now_s
                    and not world.cut[other, name]
                )
            ]
        )
