"""Agree on one owner of each partition by the promises of witnesses.

A host owns a partition while a majority of the witnesses has promised it.
A promise ends by itself, on the owner's clock before that of the witness. So
there is never a second owner, also when hosts are cut off from each other.
"""

from collections.abc import Iterator
from typing import NamedTuple

from samphirelug.components.allowance import const
from samphirelug.components.allowance import model


def partitions_of(mask: int) -> Iterator[int]:
    """Yield the numbers of the bits that are set."""
    while mask:
        lowest = mask & -mask
        yield lowest.bit_length() - 1
        mask ^= lowest


class Witness:
    """Promise each partition to one host at a time."""

    def __init__(self, *, started_at_s: float, first_start: bool) -> None:
        # Promises made before a restart are not known. Until the first time
        # they may last, until the second their owners' grants.
        self.silent_until_s = self.knows_from_s = float("-inf")
        if not first_start:
            self.silent_until_s = (
                started_at_s + const.LEASE_S + const.LEASE_MARGIN_S
            )
            self.knows_from_s = self.silent_until_s + const.SUCCESSION_S
        # Host and end of the promise, by partition.
        self.promises: dict[int, tuple[model.HostId, float]] = {}
        # End of the promise before that one, by partition.
        self.previous: dict[int, float] = {}
        # Last time at which a host asked for what another one has.
        self.contested_at_s: dict[int, float] = {}
        # Number and time of the last question, by host.
        self.last_asks: dict[model.HostId, tuple[int, float]] = {}

    def answer(
        self, host: model.HostId, ask: model.LeaseAsk, *, now: float
    ) -> model.LeaseAnswer:
        """Return which of the partitions are promised to a host."""
        last = self.last_asks.get(host)
        if last is not None and ask.number <= last[0]:
            # An overtaken question may release what was promised since.
            return model.LeaseAnswer(ask.number, 0, 0, 0)
        self._forget_asks(now)
        self.last_asks[host] = (ask.number, now)
        for partition in partitions_of(ask.released):
            promise = self.promises.get(partition)
            if promise is not None and promise[0] == host:
                self.promises[partition] = (host, min(promise[1], now))
        promised = recent = contested = 0
        if now < self.silent_until_s:
            return model.LeaseAnswer(ask.number, 0, 0, 0)
        for partition in partitions_of(ask.partitions):
            promise = self.promises.get(partition)
            if promise is not None and promise[1] <= now:
                self.previous[partition] = promise[1]
            elif promise is not None and promise[0] != host:
                self.contested_at_s[partition] = now
                continue
            until_s = now + const.LEASE_S + const.LEASE_MARGIN_S
            self.promises[partition] = (host, until_s)
            promised |= 1 << partition
            ended_at_s = self.previous.get(partition, float("-inf"))
            if now < max(ended_at_s + const.SUCCESSION_S, self.knows_from_s):
                recent |= 1 << partition
            contested_at_s = self.contested_at_s.get(partition, float("-inf"))
            if now - contested_at_s < const.CONTESTED_S:
                contested |= 1 << partition
        return model.LeaseAnswer(ask.number, promised, recent, contested)

    def _forget_asks(self, now: float) -> None:
        if len(self.last_asks) > const.MAX_OWNERS:
            self.last_asks = {
                host: last
                for host, last in self.last_asks.items()
                if now - last[1] < const.FORGET_HOST_S
            }


class Promise(NamedTuple):
    """Hold what a witness promised to this host."""

    partitions: int
    # Partitions that had another owner shortly before.
    recent: int
    contested: int
    until_s: float


class LeaseHolder:
    """Collect the promises that make this host an owner."""

    def __init__(self, *, stable_s: float, first_number: int) -> None:
        self.stable_s = stable_s
        self.witnesses: tuple[str, ...] = ()
        self.changed_at_s = float("-inf")
        self.number = first_number
        # Promises by witness.
        self.promises: dict[str, Promise] = {}
        # Times at which open questions were sent, by their numbers.
        self.sent: dict[int, tuple[str, float]] = {}
        # End of ownership, by partition.
        self.owned_until_s: dict[int, float] = {}
        self.asked_at_s = float("-inf")
        self.wanted = 0

    def set_witnesses(self, witnesses: tuple[str, ...], *, now: float) -> None:
        """Set the witnesses; promises of others no longer count."""
        if witnesses == self.witnesses:
            return
        self.witnesses = witnesses
        self.changed_at_s = now
        self.promises = {
            name: promise
            for name, promise in self.promises.items()
            if name in witnesses
        }
        self._count()

    def owns(self, partition: int, *, now: float) -> bool:
        """Return whether this host owns a partition now."""
        return now < self.owned_until_s.get(partition, float("-inf"))

    def tick(self, wanted: int, *, now: float) -> list[model.Outgoing]:
        """Return the questions to witnesses that are due."""
        released = self.wanted & ~wanted
        if released:
            self._release(released)
        self.wanted = wanted
        held = not wanted & ~self.owned(now=now)
        interval_s = const.LEASE_INTERVAL_S if held else const.LEASE_RETRY_S
        if not released and (not wanted or now - self.asked_at_s < interval_s):
            return []
        if now - self.changed_at_s < self.stable_s:
            # Only what is owned already is kept.
            wanted &= self.owned(now=now)
            if not wanted and not released:
                return []
        self.asked_at_s = now
        self.sent = {
            number: sent
            for number, sent in self.sent.items()
            if now - sent[1] < const.ANSWER_WITHIN_S
        }
        due = []
        for name in self.witnesses:
            self.number += 1
            self.sent[self.number] = (name, now)
            ask = model.LeaseAsk(self.number, wanted, released)
            due.append(model.Outgoing(name, ask))
        return due

    def receive(self, sender: str, answer: model.LeaseAnswer) -> None:
        """Apply the promise of a witness."""
        sent = self.sent.pop(answer.number, None)
        if sent is None or sent[0] != sender or sender not in self.witnesses:
            return
        # What was released meanwhile does not count.
        partitions = answer.partitions & self.wanted
        self.promises[sender] = Promise(
            partitions,
            answer.recent,
            answer.contested,
            sent[1] + const.LEASE_S,
        )
        self._count()

    def contested(self) -> int:
        """Return the owned partitions that another host has asked for."""
        mask = 0
        for promise in self.promises.values():
            mask |= promise.partitions & promise.contested
        return mask

    def owned(self, *, now: float) -> int:
        """Return the partitions that this host owns now."""
        mask = 0
        for partition, until_s in self.owned_until_s.items():
            if now < until_s:
                mask |= 1 << partition
        return mask

    def had_owner(self, partition: int) -> bool:
        """Return whether a partition had another owner shortly before."""
        return any(
            promise.partitions & promise.recent & 1 << partition
            for promise in self.promises.values()
        )

    def _release(self, released: int) -> None:
        # Answers on their way may promise what is given back here.
        self.sent.clear()
        self.promises = {
            name: promise._replace(partitions=promise.partitions & ~released)
            for name, promise in self.promises.items()
        }
        self._count()

    def _count(self) -> None:
        """Compute until when a majority has promised each partition."""
        majority = len(self.witnesses) // 2 + 1
        ends: dict[int, list[float]] = {}
        for promise in self.promises.values():
            for partition in partitions_of(promise.partitions):
                ends.setdefault(partition, []).append(promise.until_s)
        self.owned_until_s = {
            partition: sorted(values, reverse=True)[majority - 1]
            for partition, values in ends.items()
            if len(values) >= majority
        }
