"""Combine owner, holder and witness of one host; no I/O."""

from collections.abc import Callable
from collections.abc import Iterable
import random

from samphirelug.components.allowance import const
from samphirelug.components.allowance import holder as allowance_holder
from samphirelug.components.allowance import lease
from samphirelug.components.allowance import model
from samphirelug.components.allowance import owner as allowance_owner
from samphirelug.components.allowance import plan
from samphirelug.components.fleet import model as fleet_model
from samphirelug.components.routing import model as routing_model


class AllowanceNode:
    """Process messages and ticks of one host."""

    def __init__(
        self,
        *,
        own: fleet_model.HostInstance,
        bounds: model.AllowanceBounds,
        rng: random.Random,
        first_start: bool,
        now: float,
    ) -> None:
        self.own = own
        self.own_id = model.HostId(own.name, own.incarnation)
        self.bounds = bounds
        self.holder = allowance_holder.AllowanceHolder(
            slack=bounds.slack, window_s=bounds.window_s, rng=rng
        )
        self.owner = allowance_owner.AllowanceOwner()
        self.witness = lease.Witness(started_at_s=now, first_start=first_start)
        self.leases = lease.LeaseHolder(
            stable_s=const.FIRST_START_STABLE_S
            if first_start
            else const.STABLE_S,
            first_number=rng.getrandbits(31),
        )
        self.limits: dict[int, model.TeamLimit] = {}
        # Owners by partition; None while no host is known to serve.
        self.owners: tuple[str, ...] | None = None
        # Times at which partitions were lost.
        self.lost_at_s: dict[int, float] = {}
        # Called with stocks that answers have changed.
        self.on_change: Callable[[allowance_holder.TeamStock], None] = (
            lambda _stock: None
        )

    def set_teams(
        self, teams: Iterable[routing_model.Team], *, now: float
    ) -> None:
        """Set the teams of the configuration in force."""
        limits = (model.make_limit(team, self.bounds) for team in teams)
        self.limits = {
            limit.key: limit for limit in limits if limit is not None
        }
        self.holder.set_limits(self.limits, now=now)
        self.owner.set_limits(self.limits, now=now)

    def set_hosts(
        self,
        *,
        serving: Iterable[str],
        known: Iterable[fleet_model.HostInstance] | None,
        now: float,
    ) -> None:
        """Set the hosts that serve, and all known; None if these are not."""
        names = list(serving)
        self.holder.serving = frozenset(names)
        self.owners = plan.assign_owners(names) if names else None
        self.holder.owners = self.owners or ()
        if known is not None:
            hosts = list(known)
            self.holder.host_count = len(hosts)
            self.leases.set_witnesses(plan.choose_witnesses(hosts), now=now)

    def tick(self, *, may_own: bool, now: float) -> list[model.Outgoing]:
        """Return the messages that are due."""
        wanted = 0
        if may_own and self.owners is not None:
            # An owner goes on until its successor is ready.
            wanted = self.leases.owned(now=now) & ~self.leases.contested()
            for limit in self.limits.values():
                if self.owners[limit.partition] == self.own.name:
                    wanted |= 1 << limit.partition
        due = self._deliver(self.leases.tick(wanted, now=now), now)
        self._update_owned(wanted, now)
        return due + self.ask(now=now)

    def ask(self, *, now: float) -> list[model.Outgoing]:
        """Return the questions for tokens that are due."""
        self.holder.forget_questions(now=now)
        if self.owners is None:
            return []
        due = []
        wants_by_owner = self.holder.due_wants(now=now)
        for owner, wants in wants_by_owner.items():
            for index in range(0, len(wants), const.MAX_ENTRIES):
                question = self.holder.ask(
                    owner, wants[index : index + const.MAX_ENTRIES], now=now
                )
                due.append(model.Outgoing(owner, question))
        return self._deliver(due, now)

    def receive(
        self, sender: model.HostId, message: model.Message, *, now: float
    ) -> list[model.Outgoing]:
        """Apply a message and return what to send for it."""
        reply: model.Message | None = None
        if isinstance(message, model.Ask):
            reply = self._answer(sender, message, now)
        elif isinstance(message, model.LeaseAsk):
            reply = self.witness.answer(sender, message, now=now)
        elif isinstance(message, model.LeaseAnswer):
            self.leases.receive(sender.name, message)
            self._update_owned(self.leases.wanted, now)
        else:
            for stock in self.holder.receive(sender.name, message, now=now):
                self.on_change(stock)
        if reply is None:
            return []
        return [model.Outgoing(sender.name, reply)]

    def _answer(
        self, sender: model.HostId, ask: model.Ask, now: float
    ) -> model.Answer | None:
        wants = [
            want
            for want in ask.wants
            if self.leases.owns(want.team % const.PARTITIONS, now=now)
        ]
        return self.owner.answer(sender, ask._replace(wants=wants), now=now)

    def _update_owned(self, wanted: int, now: float) -> None:
        """Begin with new partitions and end with lost ones."""
        for partition in list(self.owner.owned):
            if not self.leases.owns(partition, now=now):
                self.lost_at_s[partition] = now
                self.owner.drop(partition)
        for partition in lease.partitions_of(wanted):
            if partition in self.owner.owned or not (
                self.leases.owns(partition, now=now)
            ):
                continue
            lost_at_s = self.lost_at_s.get(partition, float("-inf"))
            waits = self.leases.had_owner(partition) or (
                now - lost_at_s < const.SUCCESSION_S
            )
            self.owner.take_over(
                partition,
                wait_s=const.SUCCESSION_S if waits else 0.0,
                now=now,
            )

    def _deliver(
        self, due: list[model.Outgoing], now: float
    ) -> list[model.Outgoing]:
        """Handle messages to this host itself; return the others."""
        others = []
        for outgoing in due:
            if outgoing.recipient != self.own.name:
                others.append(outgoing)
                continue
            replies = self.receive(self.own_id, outgoing.message, now=now)
            for reply in replies:
                self.receive(self.own_id, reply.message, now=now)
        return others
