"""Hand out the tokens of the teams that this host owns; no I/O.

Each team has a token bucket, from which tokens are deducted when they are
handed out. With them a host learns its fallback: a rate that it may use for a
while if it hears nothing more. The owner sets that rate aside from the time
at which the host may have begun to use it, whether or not it has.
"""

from collections.abc import Mapping
import math
from typing import NamedTuple

from samphirelug.components.allowance import const
from samphirelug.components.allowance import model


class Fallback(NamedTuple):
    """Hold a rate and the time in which a host may use it."""

    per_s: float
    from_s: float
    until_s: float


NO_FALLBACK = Fallback(0.0, 0.0, float("-inf"))


class HostRecord:
    """Hold what a host was granted of one team."""

    def __init__(self, *, now: float) -> None:
        # Number of the last answer with this team, and its fallback.
        self.number = 0
        self.last = NO_FALLBACK
        # Covers each fallback that the host may have, since it may not have
        # got the last answer.
        self.reserved = NO_FALLBACK
        self.granted_per_s = 0.0
        self.granted_at_s = now

    def add_granted(self, tokens: int, *, now: float) -> None:
        """Update the rate that was granted."""
        elapsed_s = now - self.granted_at_s
        self.granted_per_s *= math.exp(-elapsed_s / const.GRANTED_TAU_S)
        self.granted_per_s += tokens / const.GRANTED_TAU_S
        self.granted_at_s = now

    def confirm(self, number: int) -> None:
        """Note the last answer that the host has."""
        if number == self.number:
            self.reserved = self.last

    def set_fallback(self, per_s: float, *, from_s: float, now: float) -> None:
        """Name a fallback, beside the one that the host has confirmed."""
        self.last = Fallback(
            per_s, from_s, now + const.FALLBACK_AFTER_S + const.FALLBACK_S
        )
        if self.reserved.until_s > now and self.reserved.per_s:
            self.reserved = Fallback(
                max(per_s, self.reserved.per_s),
                min(from_s, self.reserved.from_s),
                self.last.until_s if per_s else self.reserved.until_s,
            )
        else:
            self.reserved = self.last

    def give_up_fallback(self) -> None:
        """Note that the host will not use its fallback."""
        self.last = self.reserved = NO_FALLBACK


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
        # Time at which the tokens promised to refused hosts are used up.
        self.promised_until_s = now

    def set_limit(self, limit: model.TeamLimit, *, now: float) -> None:
        """Change the limit; a lower one binds at once."""
        if limit == self.limit:
            return
        self.refill(now=now)
        self.limit = limit
        self.tokens = min(self.tokens, limit.capacity)
        self.promised_until_s = now

    def refill(self, *, now: float) -> None:
        """Add the tokens of the time since the last call."""
        begin_s = self.refilled_at_s
        if now <= begin_s:
            return
        self.refilled_at_s = now
        rate = self.limit.requests_per_s
        # While waiting, a fixed part is set aside for all fallbacks.
        waiting_s = max(0.0, min(now, self.waits_until_s) - begin_s)
        added = rate * (1.0 - const.FALLBACK_RATIO) * waiting_s
        begin_s += waiting_s
        if now > begin_s:
            reserved = sum(
                record.reserved.per_s
                * max(
                    0.0,
                    min(now, record.reserved.until_s)
                    - max(begin_s, record.reserved.from_s),
                )
                for record in self.records.values()
                if record.reserved.per_s
            )
            added += max(0.0, rate * (now - begin_s) - reserved)
        self.tokens = min(self.limit.capacity, self.tokens + added)

    def grant(
        self, host: model.HostId, want: model.Want, *, number: int, now: float
    ) -> model.Grant:
        """Return what a host gets."""
        self.refill(now=now)
        record = self.records.get(host)
        if record is None:
            record = self.records[host] = HostRecord(now=now)
        record.confirm(want.confirmed)
        record.number = number
        if not want.tokens:
            record.give_up_fallback()
            return model.Grant(want.team, 0, 0.0, False, 0.0)
        if now < self.waits_until_s and want.carried_per_s > 0.0:
            return self._extend_fallback(record, want, now=now)
        tokens = self._take(want.tokens)
        record.add_granted(tokens, now=now)
        fallback_per_s = self._choose_fallback(record, now=now)
        record.set_fallback(
            fallback_per_s, from_s=now + const.RESERVE_AFTER_S, now=now
        )
        refuse_s = 0.0
        if not tokens:
            refuse_s = self._promise(want.tokens, now=now)
        return model.Grant(want.team, tokens, fallback_per_s, False, refuse_s)

    def _extend_fallback(
        self, record: HostRecord, want: model.Want, *, now: float
    ) -> model.Grant:
        """Let a host go on with the fallback that it has."""
        fallback_per_s = min(
            want.carried_per_s, self._unnamed_per_s(record, now=now)
        )
        record.set_fallback(fallback_per_s, from_s=now, now=now)
        return model.Grant(want.team, 0, fallback_per_s, True, 0.0)

    def _take(self, wanted: int) -> int:
        """Deduct and return tokens, a part of them if they are scarce."""
        available = self.tokens
        if wanted > available * const.MAX_TAKE_RATIO:
            available = max(1.0, available * const.MAX_TAKE_RATIO)
        tokens = min(wanted, math.floor(min(available, self.tokens)))
        self.tokens -= tokens
        return tokens

    def _promise(self, wanted: int, *, now: float) -> float:
        """Return the time after which a host without tokens asks again.

        Hosts are told different times, so that each finds a token.
        """
        missing = max(0.0, 1.0 - self.tokens)
        rate = self.limit.requests_per_s
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
            other.reserved.per_s
            for other in self.records.values()
            if other is not record and other.reserved.until_s > now
        )
        return max(
            0.0,
            self.limit.requests_per_s * const.FALLBACK_RATIO - named_per_s,
        )

    def forget_hosts(self, *, now: float) -> None:
        """Remove the records of hosts that no longer ask."""
        self.refill(now=now)
        self.records = {
            host: record
            for host, record in self.records.items()
            if now < record.reserved.until_s
            or now - record.granted_at_s < const.FORGET_HOST_S
        }


class AllowanceOwner:
    """Hold the buckets of the teams that this host owns."""

    def __init__(self) -> None:
        self.limits: Mapping[int, model.TeamLimit] = {}
        # Owned partitions, with the time until which hosts may use fallbacks
        # named by another owner.
        self.owned: dict[int, float] = {}
        self.buckets: dict[int, TeamBucket] = {}
        # Number of the last question that was answered, by host.
        self.last_asks: dict[model.HostId, tuple[int, float]] = {}
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

    def take_over(self, partition: int, *, wait_s: float, now: float) -> None:
        """Begin with empty buckets."""
        self.owned[partition] = now + wait_s
        self._add_buckets(now)

    def drop(self, partition: int) -> None:
        """Forget the buckets of a partition that is no longer owned."""
        del self.owned[partition]
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
                waits_until_s=waits_until_s if limit.has_fallback else now,
            )

    def answer(
        self, host: model.HostId, ask: model.Ask, *, now: float
    ) -> model.Answer | None:
        """Return the answer to a host; None if it has got one.

        Teams of other owners are left out.
        """
        last = self.last_asks.get(host)
        if last is not None and ask.number <= last[0]:
            # A datagram may arrive twice or late.
            return None
        self.last_asks[host] = (ask.number, now)
        self._forget_hosts(now)
        grants = [
            self.buckets[want.team].grant(
                host, want, number=ask.number, now=now
            )
            for want in ask.wants
            if want.team in self.buckets
        ]
        return model.Answer(ask.number, grants)

    def _forget_hosts(self, now: float) -> None:
        if now - self.forgot_at_s < const.FORGET_INTERVAL_S:
            return
        self.forgot_at_s = now
        self.last_asks = {
            host: last
            for host, last in self.last_asks.items()
            if now - last[1] < const.FORGET_HOST_S
        }
        for bucket in self.buckets.values():
            bucket.forget_hosts(now=now)
