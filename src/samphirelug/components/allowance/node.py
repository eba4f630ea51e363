"""Combine owner, holder and witness of one host; no I/O."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import random

from samphirelug.components.allowance import const
from samphirelug.components.allowance import holder as allowance_holder
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
        self.owner = allowance_owner.AllowanceOwner(
            # Differs from that before a restart.
            generation=rng.getrandbits(31)
        )
        self.limits: dict[int, model.TeamLimit] = {}
        # Owners by partition; None while no host is known to serve.
        self.owners: tuple[str, ...] | None = None
        # While the whole system starts, there are no earlier owners.
        self.first_start = first_start
        self.started_at_s = now
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
        candidates: Sequence[str] = (),
        known: Iterable[fleet_model.HostInstance] | None,
        now: float,
    ) -> None:
        """Set the hosts that serve, and all known; None if these are not.

        Owners are chosen from the candidates, by default from all that serve.
        """
        names = list(serving)
        self.owners = (
            plan.assign_owners(names, candidates=candidates or names)
            if names
            else None
        )
        self.holder.owners = self.owners or ()
        if known is not None:
            self.holder.host_count = len(list(known))
            # Hosts out of touch may follow another owner. Each side hands out
            # its share, so that all together stay within the rate.
            share = len(names) / max(1, self.holder.host_count, len(names))
            self.owner.set_share(share, now=now)

    def tick(self, *, may_own: bool, now: float) -> list[model.Outgoing]:
        """Return the messages that are due."""
        self.owner.names_fallbacks = not self._is_starting(
            const.FIRST_START_NO_FALLBACK_S, now
        )
        self._update_owned(may_own, now)
        return self.ask(now=now)

    def _is_starting(self, within_s: float, now: float) -> bool:
        return self.first_start and now - self.started_at_s < within_s

    def ask(self, *, now: float) -> list[model.Outgoing]:
        """Return the questions for tokens that are due."""
        self.holder.forget_questions(now=now)
        if self.owners is None:
            return []
        due = []
        wants_by_owner = self.holder.due_wants(now=now)
        for owner in self.holder.owners_to_keep(now=now):
            wants_by_owner.setdefault(owner, [])
        for owner, wants in wants_by_owner.items():
            for index in range(0, max(1, len(wants)), const.MAX_ENTRIES):
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
            reply = self.owner.answer(sender, message, now=now)
        else:
            for stock in self.holder.receive(sender.name, message, now=now):
                self.on_change(stock)
        if reply is None:
            return []
        return [model.Outgoing(sender.name, reply)]

    def _update_owned(self, may_own: bool, now: float) -> None:
        """Begin with new partitions and end with lost ones."""
        owners = self.owners if may_own and self.owners is not None else ()
        # Limits change rarely; partitions without teams need no owner.
        wanted = {
            limit.partition
            for limit in self.limits.values()
            if owners and owners[limit.partition] == self.own.name
        }
        for partition in self.owner.owned.keys() - wanted:
            self.owner.drop(partition)
        for partition in wanted - self.owner.owned.keys():
            self.owner.take_over(
                partition,
                has_predecessor=not self._is_starting(
                    const.FIRST_START_S, now
                ),
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
