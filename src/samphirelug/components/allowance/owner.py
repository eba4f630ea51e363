"""Hand out the tokens of the teams that this host owns; no I/O.

Each team has a token bucket, from which tokens are deducted when they are
handed out. With them a host learns its fallback: a rate that it may use for a
while if it hears nothing more. The owner sets that rate aside from the time
at which the host may have begun to use it, whether or not it has.
"""

import collections
from collections.abc import Mapping
import math
from typing import NamedTuple

from samphirelug.components.allowance import const
from samphirelug.components.allowance import model


class Period(NamedTuple):
    """Hold the time in which a host may use its fallbacks."""

    from_s: float
    until_s: float


class HostLink:
    """Hold which answers a host may have got."""

    def __init__(self, *, now: float) -> None:
        self.number = 0
        self.answered_at_s = now
        # Records of the teams in the last answer.
        self.named: list[HostRecord] = []
        # Times at which the fallbacks begin and end by the last answer, and
        # by all answers that may be the last that the host has.
        self.last = self.possible = Period(now, now)

    def confirm(self, number: int) -> None:
        """Note the last answer that the host has."""
        if number != self.number:
            return
        self.possible = self.last
        for record in self.named:
            record.possible_per_s = record.last_per_s
            record.uses_from_s = record.last_uses_from_s

    def begin_answer(self, number: int, *, now: float) -> None:
        """Begin an answer, which keeps all fallbacks of the host."""
        self.number = number
        self.answered_at_s = now
        self.named = []
        self.last = Period(
            now + const.RESERVE_AFTER_S, now + const.SUCCESSION_S
        )
        from_s = self.last.from_s
        if now < self.possible.until_s:
            from_s = min(from_s, self.possible.from_s)
        self.possible = Period(from_s, self.last.until_s)


class HostRecord:
    """Hold what a host was granted of one team."""

    def __init__(self, *, link: HostLink, now: float) -> None:
        self.link = link
        # Rate of the fallback by the last answer with this team, and the
        # largest one that the host may have.
        self.last_per_s = 0.0
        self.possible_per_s = 0.0
        # Times from which the host uses it at once.
        self.last_uses_from_s = math.inf
        self.uses_from_s = math.inf
        self.granted_per_s = 0.0
        self.granted_at_s = now

    def add_granted(self, tokens: int, *, now: float) -> None:
        """Update the rate that was granted."""
        elapsed_s = now - self.granted_at_s
        self.granted_per_s *= math.exp(-elapsed_s / const.GRANTED_TAU_S)
        self.granted_per_s += tokens / const.GRANTED_TAU_S
        self.granted_at_s = now

    def name_fallback(self, per_s: float, *, uses_from_s: float) -> None:
        """Name a fallback, beside the one that the host has confirmed."""
        self.last_per_s = per_s
        self.last_uses_from_s = uses_from_s
        self.possible_per_s = max(per_s, self.possible_per_s)
        self.uses_from_s = min(uses_from_s, self.uses_from_s)
        self.link.named.append(self)

    def reserved(self, begin_s: float, end_s: float) -> float:
        """Return the requests that the host may admit in a time."""
        from_s, until_s = self.link.possible
        return self.possible_per_s * max(
            0.0,
            min(end_s, until_s) - max(begin_s, min(from_s, self.uses_from_s)),
        )

    def named_per_s(self, now: float) -> float:
        """Return the fallback that the host may have."""
        return self.possible_per_s if now < self.link.possible.until_s else 0.0


class TeamBucket:
    """Hold the tokens of one team."""

    def __init__(
        self, *, limit: model.TeamLimit, now: float, waits_until_s: float
    ) -> None:
        self.limit = limit
        self.tokens = 0.0
        self.refilled_at_s = now
        # Until then, hosts may use fallbacks named by another owner.
        self.waits_until_s = waits_until_s
        self.records: dict[model.HostId, HostRecord] = {}
        self.share = 1.0
        # Time at which the tokens promised to refused hosts are used up.
        self.promised_until_s = now
        # Tokens handed out or reserved in the last window, by their time.
        self.handed_out: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        self.handed_out_sum = 0.0

    def _record_handed_out(self, tokens: float, *, now: float) -> None:
        if tokens <= 0.0:
            return
        if (
            self.handed_out
            and now - self.handed_out[-1][0] < const.WINDOW_STEP_S
        ):
            at_s, earlier = self.handed_out.pop()
            self.handed_out.append((at_s, earlier + tokens))
        else:
            self.handed_out.append((now, tokens))
        self.handed_out_sum += tokens

    def _available(self, now: float) -> float:
        """Return the tokens that the bucket and the window leave."""
        oldest_s = now - self.limit.grant_window_s - const.WINDOW_STEP_S
        while self.handed_out and self.handed_out[0][0] <= oldest_s:
            self.handed_out_sum -= self.handed_out.popleft()[1]
        if not self.handed_out:
            self.handed_out_sum = 0.0
        room = self.limit.tokens_per_window * self.share - self.handed_out_sum
        return min(self.tokens, max(0.0, room))

    def set_limit(self, limit: model.TeamLimit, *, now: float) -> None:
        """Change the limit; a lower one binds at once."""
        if limit == self.limit:
            return
        self.refill(now=now)
        self.limit = limit
        self.tokens = min(self.tokens, limit.capacity)
        self.promised_until_s = now

    def set_share(self, share: float, *, now: float) -> None:
        """Set the ratio of the rate that this host hands out."""
        self.refill(now=now)
        self.share = share

    @property
    def rate_per_s(self) -> float:
        """Return the rate that this host hands out."""
        return self.limit.requests_per_s * self.share

    def refill(self, *, now: float) -> None:
        """Add the tokens of the time since the last call."""
        begin_s = self.refilled_at_s
        if now <= begin_s:
            return
        self.refilled_at_s = now
        rate = self.rate_per_s
        # While waiting, a fixed part is set aside for all fallbacks.
        waiting_s = max(0.0, min(now, self.waits_until_s) - begin_s)
        added = rate * (1.0 - const.FALLBACK_RATIO) * waiting_s
        begin_s += waiting_s
        if now > begin_s:
            reserved = sum(
                record.reserved(begin_s, now)
                for record in self.records.values()
                if record.possible_per_s
            )
            self._record_handed_out(reserved, now=now)
            refill_per_s = self.limit.refill_per_s * self.share
            added += max(0.0, refill_per_s * (now - begin_s) - reserved)
        self.tokens = min(self.limit.capacity, self.tokens + added)

    def grant(
        self,
        host: model.HostId,
        want: model.Want,
        *,
        link: HostLink,
        names_fallback: bool = True,
    ) -> model.Grant:
        """Return what a host gets in the answer that has begun."""
        now = link.answered_at_s
        self.refill(now=now)
        record = self.records.get(host)
        if record is None:
            record = self.records[host] = HostRecord(link=link, now=now)
        record.link = link
        if not want.tokens and not want.extra:
            # The host has given it up, whether or not it gets the answer.
            record.possible_per_s = 0.0
            record.uses_from_s = math.inf
            record.name_fallback(0.0, uses_from_s=math.inf)
            return model.Grant(want.team, 0, 0.0, False, 0.0)
        if now < self.waits_until_s and want.carried_per_s > 0.0:
            fallback_per_s = min(
                want.carried_per_s, self._unnamed_per_s(record, now=now)
            )
            record.name_fallback(fallback_per_s, uses_from_s=now)
            return model.Grant(
                want.team, 0, fallback_per_s, True, const.MIN_REFUSE_S
            )
        tokens = self._take(want.tokens, now=now)
        tokens += self._take_extra(want.extra, now=now)
        record.add_granted(tokens, now=now)
        fallback_per_s = 0.0
        if names_fallback:
            fallback_per_s = self._choose_fallback(record, now=now)
        record.name_fallback(fallback_per_s, uses_from_s=math.inf)
        refuse_s = 0.0
        if want.tokens and not tokens:
            refuse_s = self._promise(want.tokens, now=now)
        return model.Grant(want.team, tokens, fallback_per_s, False, refuse_s)

    def _take(self, wanted: int, *, now: float) -> int:
        """Deduct and return tokens, a part of them if they are scarce."""
        all_available = available = self._available(now)
        if wanted > available * const.MAX_TAKE_RATIO:
            available = max(1.0, available * const.MAX_TAKE_RATIO)
        tokens = min(wanted, math.floor(min(available, all_available)))
        self._deduct(tokens, now=now)
        return tokens

    def _deduct(self, tokens: int, *, now: float) -> None:
        self.tokens -= tokens
        self._record_handed_out(tokens, now=now)

    def _take_extra(self, wanted: int, *, now: float) -> int:
        """Deduct and return tokens if there are plenty."""
        available = self._available(now)
        plenty = available - const.PLENTY_RATIO * self.limit.capacity
        tokens = max(0, min(wanted, math.floor(plenty)))
        self._deduct(tokens, now=now)
        return tokens

    def _promise(self, wanted: int, *, now: float) -> float:
        """Return the time after which a host without tokens asks again.

        Hosts are told different times, so that each finds a token.
        """
        missing = max(0.0, 1.0 - self.tokens)
        rate = self.rate_per_s
        earliest_s = now + missing / rate
        at_s = max(earliest_s, self.promised_until_s)
        if at_s > now + const.MAX_REFUSE_S:
            at_s = min(earliest_s, now + const.MAX_REFUSE_S)
        self.promised_until_s = at_s + min(wanted, 2) / rate
        return max(const.MIN_REFUSE_S, at_s - now)

    def _choose_fallback(self, record: HostRecord, *, now: float) -> float:
        if not self.limit.has_fallback or now < self.waits_until_s:
            return 0.0
        rate_per_s = min(
            record.granted_per_s, self._unnamed_per_s(record, now=now)
        )
        return rate_per_s if rate_per_s >= const.FALLBACK_MIN_PER_S else 0.0

    def _unnamed_per_s(self, record: HostRecord, *, now: float) -> float:
        """Return the rate that no other host has as fallback."""
        named_per_s = sum(
            other.named_per_s(now)
            for other in self.records.values()
            if other is not record and other.possible_per_s
        )
        return max(
            0.0,
            self.rate_per_s * const.FALLBACK_RATIO - named_per_s,
        )

    def forget_hosts(self, *, now: float) -> None:
        """Remove the records of hosts that no longer ask."""
        self.refill(now=now)
        self.records = {
            host: record
            for host, record in self.records.items()
            if record.named_per_s(now)
            or now - record.granted_at_s < const.FORGET_HOST_S
        }


class AllowanceOwner:
    """Hold the buckets of the teams that this host owns."""

    def __init__(self, *, generation: int) -> None:
        self.limits: Mapping[int, model.TeamLimit] = {}
        # Owned partitions, with the time until which hosts may use fallbacks
        # named by another owner.
        self.owned: dict[int, float] = {}
        self.buckets: dict[int, TeamBucket] = {}
        # Changes when a partition is lost.
        self.generation = generation
        # Ratio of the rates that this host hands out.
        self.share = 1.0
        # Whether hosts get fallbacks.
        self.names_fallbacks = True
        self.links: dict[model.HostId, HostLink] = {}
        self.forgot_at_s = float("-inf")

    def set_limits(
        self, limits: Mapping[int, model.TeamLimit], *, now: float
    ) -> None:
        """Set the limits of all teams."""
        self.limits = limits
        for key, bucket in list(self.buckets.items()):
            if key not in limits:
                del self.buckets[key]
            else:
                bucket.set_limit(limits[key], now=now)
        self._add_buckets(now)

    def set_share(self, share: float, *, now: float) -> None:
        """Set the ratio of the rates that this host hands out."""
        self.share = share
        for bucket in self.buckets.values():
            bucket.set_share(share, now=now)

    def take_over(
        self, partition: int, *, has_predecessor: bool, now: float
    ) -> None:
        """Begin with empty buckets."""
        wait_s = const.HANDOVER_S
        if has_predecessor:
            wait_s += const.SUCCESSION_S
        self.owned[partition] = now + wait_s
        self._add_buckets(now)

    def drop(self, partition: int) -> None:
        """Forget the buckets of a partition that is no longer owned."""
        del self.owned[partition]
        self.generation += 1
        self.buckets = {
            key: bucket
            for key, bucket in self.buckets.items()
            if bucket.limit.partition != partition
        }

    def _add_buckets(self, now: float) -> None:
        for key, limit in self.limits.items():
            waits_until_s = self.owned.get(limit.partition)
            if waits_until_s is None or key in self.buckets:
                continue
            self.buckets[key] = TeamBucket(
                limit=limit,
                now=now,
                waits_until_s=waits_until_s
                if limit.has_fallback
                else min(waits_until_s, now + const.HANDOVER_S),
            )
            self.buckets[key].share = self.share

    def answer(
        self, host: model.HostId, ask: model.Ask, *, now: float
    ) -> model.Answer | None:
        """Return the answer to a host; None if it has got one.

        Teams of other owners are left out.
        """
        link = self.links.get(host)
        if link is None:
            link = self.links[host] = HostLink(now=now)
        elif ask.number <= link.number:
            # A datagram may arrive twice or late.
            return None
        self._forget_hosts(now)
        if now > link.possible.from_s or any(
            now > record.uses_from_s for record in link.named
        ):
            # What was set aside until now must not change.
            for bucket in self.buckets.values():
                bucket.refill(now=now)
        link.confirm(ask.confirmed)
        link.begin_answer(ask.number, now=now)
        grants = [
            self.buckets[want.team].grant(
                host, want, link=link, names_fallback=self.names_fallbacks
            )
            for want in ask.wants
            if want.team in self.buckets
        ]
        return model.Answer(ask.number, self.generation, grants)

    def _forget_hosts(self, now: float) -> None:
        if now - self.forgot_at_s < const.FORGET_INTERVAL_S:
            return
        self.forgot_at_s = now
        self.links = {
            host: link
            for host, link in self.links.items()
            if now - link.answered_at_s < const.FORGET_HOST_S
        }
        for bucket in self.buckets.values():
            bucket.forget_hosts(now=now)
