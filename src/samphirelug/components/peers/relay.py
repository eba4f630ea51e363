"""Pass sightings and zone summaries between zones; no input or output.

Used above the size of the full mesh. A sighting floods the watchers' graph
once: its origin and sequence stop loops. A zone's lowest position is a pair
(epoch, revision) that is merged by its maximum, so duplicates and reordering
change nothing; a position that falls needs a summary with a higher epoch.
Positions pass between the zones' first watchers (the carriers) only, since
they are most of the bytes; all other hosts are told the fleet's lowest.
"""

from collections.abc import Iterable
from collections.abc import Iterator
import itertools
from typing import Any
from typing import NamedTuple
from typing import TypeVar

import cbor2
import xxhash

from samphirelug.components.peers import const
from samphirelug.components.peers import model
from samphirelug import core

# Map, field names and frame header of a Relayed message without items.
_MESSAGE_BYTES = 100
# A zone's short id and epoch, and its part of the group's revision.
_POSITION_BYTES = 16

_Key = TypeVar("_Key")
_Item = TypeVar("_Item")


class Position(NamedTuple):
    """Order the reports on a zone's lowest position."""

    epoch: int
    revision: int


class KnownZone(NamedTuple):
    """Hold a zone's latest summary and when it came."""

    summary: model.ZoneSummary
    received_at_s: float


class ZoneStatus(NamedTuple):
    """Describe another zone as this host knows."""

    summary: model.ZoneSummary
    lowest_revision: int
    age_s: float


class Outgoing(NamedTuple):
    """Pair a message with the peer that it goes to."""

    peer: str
    message: model.Relayed


def zone_id(zone: str) -> int:
    """Return the short id that stands for a zone in position reports."""
    return xxhash.xxh32_intdigest(zone.encode())


class _Outbox:
    """Hold what waits for one peer."""

    def __init__(self, *, carrier: bool) -> None:
        self.carrier = carrier
        self.sightings: dict[tuple[str, int], model.RelayedSighting] = {}
        self.positions: dict[int, Position] = {}
        self.summaries: dict[str, model.ZoneSummary] = {}
        self.lowest = 0
        self.highest = 0


class Relay:
    """Decide what a host passes on to which peer."""

    def __init__(self, *, own: core.EntryHost) -> None:
        self.own = own
        self.origin = f"{own.name}/{own.incarnation}"
        self.watcher = False
        self.carrier = False
        self.outboxes: dict[str, _Outbox] = {}
        self.zones: dict[str, KnownZone] = {}
        self.positions: dict[int, Position] = {}
        self.lowest_heard = 0
        self.highest = 0
        self.dropped = 0
        self._sequence = itertools.count()
        self._seen: dict[tuple[str, int], float] = {}
        self._last_passed: dict[str, tuple[model.Sighting, float]] = {}
        self._behind_since: dict[str, float] = {}
        self._summary_at_s = float("-inf")
        self._tokens_at_s: float | None = None
        self._messages_left = 0.0
        self._bytes_left = 0.0
        self._next_peer = 0

    def set_peers(
        self,
        *,
        watcher: bool,
        carrier: bool,
        carriers: Iterable[str],
        others: Iterable[str],
    ) -> None:
        """Set the role and the connected peers that take relayed messages.

        Carriers are first watchers; others are further watchers, and the
        zone's hosts that are not watchers. A new peer gets all summaries
        that are known.
        """
        self.watcher = watcher
        self.carrier = carrier
        wanted = dict.fromkeys(others, False) | dict.fromkeys(carriers, True)
        for name in self.outboxes.keys() - wanted.keys():
            del self.outboxes[name]
        for name, is_carrier in wanted.items():
            box = self.outboxes.get(name)
            if box is None or box.carrier is not is_carrier:
                box = self.outboxes[name] = _Outbox(carrier=is_carrier)
                if watcher:
                    box.summaries.update(
                        (zone, known.summary)
                        for zone, known in self.zones.items()
                    )
                if carrier and is_carrier:
                    box.positions.update(self.positions)

    def originate(self, sighting: model.Sighting, *, now: float) -> None:
        """Send a sighting of this host to all."""
        relayed = model.RelayedSighting(
            self.origin, next(self._sequence), sighting
        )
        self._see(relayed, now)
        self._pass_on(relayed, sender=None, now=now)

    def heard(
        self, heartbeat: model.Heartbeat, *, now: float
    ) -> tuple[model.Sighting, ...]:
        """Take in a heartbeat; return its sightings that are new here.

        A watcher passes on those of its own zone's hosts. That replaces
        what was lost when a connection failed.
        """
        self.highest = max(self.highest, heartbeat.catalogue_revision)
        new = tuple(
            sighting
            for sighting in heartbeat.sightings
            if self._is_news(sighting, now, const.SIGHTING_MEMORY_S)
        )
        own_zone = heartbeat.host.zone.name == self.own.zone.name
        for sighting in new:
            if self.watcher and own_zone:
                self.originate(sighting, now=now)
            else:
                self._last_passed[sighting.server] = (sighting, now)
        return new

    def receive(
        self, sender: str, message: model.Relayed, *, now: float
    ) -> tuple[model.Sighting, ...]:
        """Take in a peer's message; return the sightings new to this host."""
        self.highest = max(self.highest, message.highest_revision)
        # Only carriers know it, and others send 0.
        self.lowest_heard = message.lowest_revision or self.lowest_heard
        box = self.outboxes.get(sender)
        new = []
        for relayed in message.sightings:
            key = (relayed.origin, relayed.sequence)
            if box is not None:
                box.sightings.pop(key, None)
            if key in self._seen:
                continue
            self._see(relayed, now)
            if self._is_news(relayed.sighting, now, const.SIGHTING_REPEAT_S):
                new.append(relayed.sighting)
                self._pass_on(relayed, sender=sender, now=now)
        for summary in message.summaries:
            self._merge_summary(summary, sender=sender, now=now)
        for group in message.positions:
            for zone in group.zones:
                self._merge_position(
                    zone.zone_id,
                    Position(zone.epoch, group.revision),
                    sender=sender,
                )
        return tuple(new)

    def tick(
        self,
        *,
        own: model.Heartbeat,
        zone: Iterable[model.Heartbeat],
        first_watcher: bool,
        now: float,
    ) -> tuple[Outgoing, ...]:
        """Return the messages of this tick, within the bounds.

        The zone's heartbeats are those of its other live hosts. The first
        of its live watchers reports the zone.
        """
        self.highest = max(self.highest, own.catalogue_revision)
        if self.watcher and first_watcher:
            self._report_zone([own, *zone], now)
        self._expire(now)
        self._refill(now)
        names = list(self.outboxes)
        if not names:
            return ()
        # Peers take turns in being first, so that a bound delays all alike.
        self._next_peer = (self._next_peer + 1) % len(names)
        turn = names[self._next_peer :] + names[: self._next_peer]
        lowest = self.lowest() if self.carrier else 0
        sent = (
            self._fill(name, self.outboxes[name], lowest, now) for name in turn
        )
        return tuple(outgoing for outgoing in sent if outgoing is not None)

    def lowest(self) -> int:
        """Return the lowest position known in the fleet; 0 if unknown."""
        if not self.carrier:
            return self.lowest_heard
        return min(
            (
                self.status_of(zone).revision
                for zone, known in self.zones.items()
                if known.summary.serving_count
            ),
            default=0,
        )

    def status_of(self, zone: str) -> Position:
        """Return the latest position of a zone that has a summary."""
        summary = self.zones[zone].summary
        own = Position(summary.epoch, summary.revision)
        return max(own, self.positions.get(zone_id(zone), own))

    def statuses(self, *, now: float) -> tuple[ZoneStatus, ...]:
        """Return what is known of each zone.

        Only carriers are told of each zone's rising position; at other hosts
        it is the one of the last summary, and lowest() has the fleet's.
        """
        return tuple(
            ZoneStatus(
                known.summary,
                self.status_of(zone).revision,
                now - known.received_at_s,
            )
            for zone, known in self.zones.items()
        )

    def far_hosts(self, *, now: float) -> tuple[model.Heartbeat, ...]:
        """Return serving hosts that summaries name, with clocks aged."""
        # Hosts that are not carriers learn of a zone's rise only by this.
        lowest = self.lowest()
        return tuple(
            beat._replace(
                catalogue_revision=max(
                    beat.catalogue_revision,
                    self.status_of(zone).revision,
                    lowest,
                )
            )
            for zone, known in self.zones.items()
            for beat in _aged(known, known.summary, now).entry_hosts
            if zone != self.own.zone.name
        )

    # Sightings.

    def _see(self, relayed: model.RelayedSighting, now: float) -> None:
        self._seen[(relayed.origin, relayed.sequence)] = now
        if len(self._seen) > const.SIGHTING_MEMORY_COUNT:
            del self._seen[next(iter(self._seen))]

    def _is_news(
        self, sighting: model.Sighting, now: float, memory_s: float
    ) -> bool:
        last = self._last_passed.get(sighting.server)
        return last is None or last[0] != sighting or now - last[1] >= memory_s

    def _pass_on(
        self,
        relayed: model.RelayedSighting,
        *,
        sender: str | None,
        now: float,
    ) -> None:
        self._last_passed[relayed.sighting.server] = (relayed.sighting, now)
        if sender is not None and not self.watcher:
            return
        for name, box in self.outboxes.items():
            if name == sender:
                continue
            box.sightings[(relayed.origin, relayed.sequence)] = relayed
            if len(box.sightings) > const.RELAY_MAX_PENDING:
                del box.sightings[next(iter(box.sightings))]
                self.dropped += 1

    # Zones.

    def _merge_summary(
        self, summary: model.ZoneSummary, *, sender: str | None, now: float
    ) -> None:
        name = summary.zone.name
        known = self.zones.get(name)
        box = self.outboxes.get(sender) if sender is not None else None
        # The sender has it, so it must not get it back.
        if box is not None:
            waiting = box.summaries.get(name)
            if waiting is not None and waiting.epoch <= summary.epoch:
                del box.summaries[name]
        if known is not None and known.summary.epoch >= summary.epoch:
            return
        if known is None and len(self.zones) >= const.RELAY_MAX_ZONES:
            return
        self.zones[name] = KnownZone(summary, now)
        if not self.watcher:
            return
        for peer, other in self.outboxes.items():
            if peer != sender:
                other.summaries[name] = summary

    def _merge_position(
        self, zone: int, position: Position, *, sender: str | None
    ) -> None:
        box = self.outboxes.get(sender) if sender is not None else None
        if box is not None and (box.positions.get(zone, position) <= position):
            box.positions.pop(zone, None)
        old = self.positions.get(zone)
        if old is not None and old >= position:
            return
        if old is None and len(self.positions) >= const.RELAY_MAX_ZONES:
            return
        self.positions[zone] = position
        if not self.carrier:
            return
        for peer, other in self.outboxes.items():
            if other.carrier and peer != sender:
                other.positions[zone] = position

    def _report_zone(
        self, heartbeats: list[model.Heartbeat], now: float
    ) -> None:
        serving = sorted(
            (
                beat
                for beat in heartbeats
                if beat.state is core.EntryHostState.SERVING
            ),
            key=lambda beat: beat.host.name,
        )
        revision = min(
            (beat.catalogue_revision for beat in serving), default=0
        )
        lagging = self._lagging(serving, now)
        known = self.zones.get(self.own.zone.name)
        hosts = tuple(
            _still(beat) for beat in serving[: const.SUMMARY_ENTRY_HOSTS]
        )
        summary = model.ZoneSummary(
            zone=self.own.zone,
            epoch=1 if known is None else known.summary.epoch + 1,
            revision=revision,
            lagging=lagging[: const.SUMMARY_MAX_LAGGING],
            lagging_count=len(lagging),
            serving_count=len(serving),
            entry_hosts=hosts,
        )
        # A position below what this zone last reported takes a new epoch.
        if (
            known is None
            or _outline(known.summary) != _outline(summary)
            or revision < self.status_of(self.own.zone.name).revision
            or now - self._summary_at_s >= const.SUMMARY_REPEAT_S
        ):
            if now - self._summary_at_s < const.SUMMARY_MIN_INTERVAL_S:
                return
            self._summary_at_s = now
            self._merge_summary(summary, sender=None, now=now)
        elif revision > self.status_of(self.own.zone.name).revision:
            self._merge_position(
                zone_id(self.own.zone.name),
                Position(known.summary.epoch, revision),
                sender=None,
            )

    def _lagging(
        self, serving: list[model.Heartbeat], now: float
    ) -> tuple[str, ...]:
        behind = {
            beat.host.name: self._behind_since.get(beat.host.name, now)
            for beat in serving
            if beat.catalogue_revision < self.highest
        }
        self._behind_since = behind
        return tuple(
            name
            for name, since in behind.items()
            if now - since >= const.LAG_GRACE_S
        )

    # Bounds.

    def _expire(self, now: float) -> None:
        old = itertools.takewhile(
            lambda item: now - item[1] > const.SIGHTING_MEMORY_S,
            self._seen.items(),
        )
        for key, _ in tuple(old):
            del self._seen[key]
        for server, (_, passed_at_s) in tuple(self._last_passed.items()):
            if now - passed_at_s > const.SIGHTING_MEMORY_S:
                del self._last_passed[server]
        for zone, known in tuple(self.zones.items()):
            if now - known.received_at_s > const.SUMMARY_EXPIRE_S:
                del self.zones[zone]
                self.positions.pop(zone_id(zone), None)

    def _refill(self, now: float) -> None:
        last = self._tokens_at_s
        passed_s = 1.0 if last is None else min(1.0, now - last)
        self._tokens_at_s = now
        self._messages_left = min(
            const.RELAY_MAX_MESSAGES_PER_S,
            self._messages_left + passed_s * const.RELAY_MAX_MESSAGES_PER_S,
        )
        self._bytes_left = min(
            const.RELAY_MAX_BYTES_PER_S,
            self._bytes_left + passed_s * const.RELAY_MAX_BYTES_PER_S,
        )

    def _fill(
        self, name: str, box: _Outbox, lowest: int, now: float
    ) -> Outgoing | None:
        bounds = (lowest, self.highest)
        # A host that is not a carrier has nothing to say about the fleet.
        news = self.carrier and bounds != (box.lowest, box.highest)
        if box.carrier and not (box.sightings or box.positions):
            news = False
        if not (news or box.sightings or box.positions or box.summaries):
            return None
        if self._messages_left < 1 or self._bytes_left < _MESSAGE_BYTES:
            return None
        self._messages_left -= 1
        self._bytes_left -= _MESSAGE_BYTES
        message = model.Relayed(
            sightings=tuple(self._take(box.sightings)),
            positions=self._take_positions(box),
            summaries=tuple(
                _aged(self.zones.get(part.zone.name), part, now)
                for part in self._take(box.summaries)
            ),
            lowest_revision=0 if box.carrier else lowest,
            highest_revision=self.highest,
        )
        box.lowest, box.highest = bounds
        return Outgoing(name, message)

    def _take(self, waiting: dict[_Key, _Item]) -> Iterator[_Item]:
        """Remove and give the items that the bound on bytes allows."""
        while waiting:
            key = next(iter(waiting))
            size = len(cbor2.dumps(waiting[key], default=_dump_enum))
            if size > self._bytes_left:
                return
            self._bytes_left -= size
            yield waiting.pop(key)

    def _take_positions(self, box: _Outbox) -> tuple[model.ZonePositions, ...]:
        count = min(
            len(box.positions), int(self._bytes_left // _POSITION_BYTES)
        )
        groups: dict[int, list[model.ZoneEpoch]] = {}
        for zone in tuple(itertools.islice(box.positions, count)):
            position = box.positions.pop(zone)
            groups.setdefault(position.revision, []).append(
                model.ZoneEpoch(zone, position.epoch)
            )
        self._bytes_left -= count * _POSITION_BYTES
        return tuple(
            model.ZonePositions(revision, tuple(zones))
            for revision, zones in groups.items()
        )


def _dump_enum(encoder: cbor2.CBOREncoder, value: Any) -> None:
    encoder.encode(value.value)


def _still(beat: model.Heartbeat) -> model.Heartbeat:
    """Return the heartbeat without what changes from moment to moment."""
    return beat._replace(
        headroom=(), queued=(0, 0, 0), wait_s=(0.0, 0.0, 0.0), sightings=()
    )


def _outline(summary: model.ZoneSummary) -> tuple[Any, ...]:
    """Return what makes a zone worth a new summary when it changes."""
    return (
        summary.zone,
        summary.lagging,
        summary.lagging_count,
        summary.serving_count,
        tuple(beat.host for beat in summary.entry_hosts),
    )


def _aged(
    known: KnownZone | None, summary: model.ZoneSummary, now: float
) -> model.ZoneSummary:
    """Return the summary with its hosts' clocks moved on, never too far.

    A clock that is behind only makes run tokens expire early.
    """
    if known is None or known.summary.epoch != summary.epoch:
        return summary
    passed_ms = int(
        (now - known.received_at_s) * (1 - const.CLOCK_DRIFT) * 1000
    )
    return summary._replace(
        entry_hosts=tuple(
            beat._replace(clock_ms=beat.clock_ms + passed_ms)
            for beat in summary.entry_hosts
        )
    )
