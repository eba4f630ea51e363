"""Relay sightings and zone summaries between zones; no input or output.

Used in fleets that are too large for a full mesh. The watchers of the zones
relay messages between zones.

A sighting is flooded through the watchers. Origin and sequence number identify
it, so each watcher forwards it once and loops end. The lowest catalogue
position of a zone is a pair (epoch, revision) of which the maximum wins, so
duplicates and reordering have no effect; a lower revision needs a summary
with a higher epoch. Positions are exchanged only between the primary
(first-ranked) watchers of the zones, since they take most of the bytes. Other
hosts receive only the lowest position in the fleet.
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

# Size of a Relayed message without items: map, field names, frame header.
_MESSAGE_BYTES = 100
# Size of a zone's id and epoch, and its share of the group's revision.
_POSITION_BYTES = 16

_Key = TypeVar("_Key")
_Item = TypeVar("_Item")


class Position(NamedTuple):
    """Describe the lowest catalogue position of a zone; the maximum wins."""

    epoch: int
    revision: int


class KnownZone(NamedTuple):
    """Store a zone's latest summary and the time of its arrival."""

    summary: model.ZoneSummary
    received_at_s: float


class ZoneStatus(NamedTuple):
    """Describe what this host knows of a zone."""

    summary: model.ZoneSummary
    lowest_revision: int
    age_s: float


class OutgoingMessage(NamedTuple):
    """Pair a message with the peer to send it to."""

    peer: str
    message: model.Relayed


def zone_id(zone: str) -> int:
    """Return the id that identifies a zone in position reports."""
    return xxhash.xxh32_intdigest(zone.encode())


class _Outbox:
    """Queue the items to send to one peer."""

    def __init__(self, *, primary_watcher: bool) -> None:
        self.primary_watcher = primary_watcher
        self.sightings: dict[tuple[str, int], model.RelayedSighting] = {}
        self.positions: dict[int, Position] = {}
        self.summaries: dict[str, model.ZoneSummary] = {}
        # Lowest and highest revision in the last message to the peer.
        self.sent_lowest = 0
        self.sent_highest = 0


class Relay:
    """Decide which messages a host relays to which peers."""

    def __init__(self, *, own: core.EntryHost) -> None:
        self.own = own
        self.origin = f"{own.name}/{own.incarnation}"
        self.watcher = False
        self.primary_watcher = False
        self.outboxes: dict[str, _Outbox] = {}
        self.zones: dict[str, KnownZone] = {}
        self.positions: dict[int, Position] = {}
        self.reported_lowest_revision = 0
        self.highest_revision = 0
        self.dropped_sightings = 0
        self._sequence = itertools.count()
        self._seen: dict[tuple[str, int], float] = {}
        self._last_forwarded: dict[str, tuple[model.Sighting, float]] = {}
        self._lagging_since: dict[str, float] = {}
        self._summary_at_s = float("-inf")
        self._refilled_at_s: float | None = None
        self._messages_left = 0.0
        self._bytes_left = 0.0
        self._next_peer = 0

    def set_peers(
        self,
        *,
        watcher: bool,
        primary_watcher: bool,
        primary_watchers: Iterable[str],
        others: Iterable[str],
    ) -> None:
        """Set the role of this host and the peers that it relays to.

        The arguments watcher and primary_watcher describe this host. The
        primary_watchers are the connected primary watchers; others are
        connected secondary watchers and, at a watcher, the other hosts of
        its zone. A watcher sends all known summaries to each new peer.
        """
        self.watcher = watcher
        self.primary_watcher = primary_watcher
        peers = dict.fromkeys(others, False) | dict.fromkeys(
            primary_watchers, True
        )
        for name in self.outboxes.keys() - peers.keys():
            del self.outboxes[name]
        for name, is_primary in peers.items():
            outbox = self.outboxes.get(name)
            if outbox is None or outbox.primary_watcher is not is_primary:
                outbox = self.outboxes[name] = _Outbox(
                    primary_watcher=is_primary
                )
                if watcher:
                    outbox.summaries.update(
                        (zone, known.summary)
                        for zone, known in self.zones.items()
                    )
                if primary_watcher and is_primary:
                    outbox.positions.update(self.positions)

    def originate(self, sighting: model.Sighting, *, now: float) -> None:
        """Queue a sighting of this host for all hosts."""
        relayed = model.RelayedSighting(
            self.origin, next(self._sequence), sighting
        )
        self._mark_seen(relayed, now)
        self._forward(relayed, sender=None, now=now)

    def handle_heartbeat(
        self, heartbeat: model.Heartbeat, *, now: float
    ) -> tuple[model.Sighting, ...]:
        """Process a heartbeat; return its new sightings.

        A watcher relays new sightings of the hosts in its zone, which
        replaces relayed sightings lost when a connection failed.
        """
        self.highest_revision = max(
            self.highest_revision, heartbeat.catalogue_revision
        )
        new = tuple(
            sighting
            for sighting in heartbeat.sightings
            if self._is_new(sighting, now, const.SIGHTING_RETENTION_S)
        )
        is_own_zone = heartbeat.host.zone.name == self.own.zone.name
        for sighting in new:
            if self.watcher and is_own_zone:
                self.originate(sighting, now=now)
            else:
                self._last_forwarded[sighting.server] = (sighting, now)
        return new

    def receive(
        self, sender: str, message: model.Relayed, *, now: float
    ) -> tuple[model.Sighting, ...]:
        """Process a relayed message; return its new sightings."""
        self.highest_revision = max(
            self.highest_revision, message.highest_revision
        )
        # 0 if the sender is not a primary watcher, so it does not know it.
        self.reported_lowest_revision = (
            message.lowest_revision or self.reported_lowest_revision
        )
        outbox = self.outboxes.get(sender)
        new = []
        for relayed in message.sightings:
            key = (relayed.origin, relayed.sequence)
            if outbox is not None:
                outbox.sightings.pop(key, None)
            if key in self._seen:
                continue
            self._mark_seen(relayed, now)
            if self._is_new(
                relayed.sighting, now, const.SIGHTING_DEDUPLICATION_S
            ):
                new.append(relayed.sighting)
                self._forward(relayed, sender=sender, now=now)
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
        own_heartbeat: model.Heartbeat,
        zone_heartbeats: Iterable[model.Heartbeat],
        build_summary: bool,
        now: float,
    ) -> tuple[OutgoingMessage, ...]:
        """Return the messages to send in this tick, within the rate limits.

        The zone_heartbeats are those of the other live hosts in this host's
        zone. The zone's primary watcher sets build_summary.
        """
        self.highest_revision = max(
            self.highest_revision, own_heartbeat.catalogue_revision
        )
        if self.watcher and build_summary:
            self._report_zone([own_heartbeat, *zone_heartbeats], now)
        self._remove_expired(now)
        self._refill_budgets(now)
        names = list(self.outboxes)
        if not names:
            return ()
        # The order of the peers rotates, so that the rate limits delay all of
        # them equally.
        self._next_peer = (self._next_peer + 1) % len(names)
        rotation = names[self._next_peer :] + names[: self._next_peer]
        lowest = self.lowest_revision() if self.primary_watcher else 0
        sent = (
            self._next_message(name, self.outboxes[name], lowest, now)
            for name in rotation
        )
        return tuple(outgoing for outgoing in sent if outgoing is not None)

    def lowest_revision(self) -> int:
        """Return the lowest catalogue position in the fleet; 0 if unknown."""
        if not self.primary_watcher:
            return self.reported_lowest_revision
        return min(
            (
                self.position_of(zone).revision
                for zone, known in self.zones.items()
                if known.summary.serving_count
            ),
            default=0,
        )

    def position_of(self, zone: str) -> Position:
        """Return the latest position of a zone that has a summary."""
        summary = self.zones[zone].summary
        own = Position(summary.epoch, summary.revision)
        return max(own, self.positions.get(zone_id(zone), own))

    def zone_statuses(self, *, now: float) -> tuple[ZoneStatus, ...]:
        """Return the status of each known zone.

        Only primary watchers receive each zone's latest position. At other
        hosts it is that of the last summary; lowest_revision() gives the
        lowest in the fleet.
        """
        return tuple(
            ZoneStatus(
                known.summary,
                self.position_of(zone).revision,
                now - known.received_at_s,
            )
            for zone, known in self.zones.items()
        )

    def remote_hosts(self, *, now: float) -> tuple[model.Heartbeat, ...]:
        """Return heartbeats of serving hosts that zone summaries contain.

        The clock of each heartbeat is advanced by the summary's age.
        """
        # The only sign of a zone's newer position at hosts that are not
        # primary watchers.
        lowest = self.lowest_revision()
        return tuple(
            heartbeat._replace(
                catalogue_revision=max(
                    heartbeat.catalogue_revision,
                    self.position_of(zone).revision,
                    lowest,
                )
            )
            for zone, known in self.zones.items()
            for heartbeat in _advance_clocks(
                known, known.summary, now
            ).entry_hosts
            if zone != self.own.zone.name
        )

    # Sightings.

    def _mark_seen(self, relayed: model.RelayedSighting, now: float) -> None:
        self._seen[(relayed.origin, relayed.sequence)] = now
        if len(self._seen) > const.SIGHTING_RETENTION_COUNT:
            del self._seen[next(iter(self._seen))]

    def _is_new(
        self, sighting: model.Sighting, now: float, window_s: float
    ) -> bool:
        previous = self._last_forwarded.get(sighting.server)
        return (
            previous is None
            or previous[0] != sighting
            or now - previous[1] >= window_s
        )

    def _forward(
        self,
        relayed: model.RelayedSighting,
        *,
        sender: str | None,
        now: float,
    ) -> None:
        self._last_forwarded[relayed.sighting.server] = (relayed.sighting, now)
        if sender is not None and not self.watcher:
            return
        for name, outbox in self.outboxes.items():
            if name == sender:
                continue
            outbox.sightings[(relayed.origin, relayed.sequence)] = relayed
            if len(outbox.sightings) > const.RELAY_MAX_QUEUED_SIGHTINGS:
                del outbox.sightings[next(iter(outbox.sightings))]
                self.dropped_sightings += 1

    # Zones.

    def _merge_summary(
        self, summary: model.ZoneSummary, *, sender: str | None, now: float
    ) -> None:
        name = summary.zone.name
        known = self.zones.get(name)
        outbox = self.outboxes.get(sender) if sender is not None else None
        # Do not send the summary back to its sender.
        if outbox is not None:
            queued = outbox.summaries.get(name)
            if queued is not None and queued.epoch <= summary.epoch:
                del outbox.summaries[name]
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
        outbox = self.outboxes.get(sender) if sender is not None else None
        if outbox is not None and (
            outbox.positions.get(zone, position) <= position
        ):
            outbox.positions.pop(zone, None)
        previous = self.positions.get(zone)
        if previous is not None and previous >= position:
            return
        if previous is None and len(self.positions) >= const.RELAY_MAX_ZONES:
            return
        self.positions[zone] = position
        if not self.primary_watcher:
            return
        for peer, other in self.outboxes.items():
            if other.primary_watcher and peer != sender:
                other.positions[zone] = position

    def _report_zone(
        self, heartbeats: list[model.Heartbeat], now: float
    ) -> None:
        serving = sorted(
            (
                heartbeat
                for heartbeat in heartbeats
                if heartbeat.state is core.EntryHostState.SERVING
            ),
            key=lambda heartbeat: heartbeat.host.name,
        )
        revision = min(
            (heartbeat.catalogue_revision for heartbeat in serving), default=0
        )
        lagging = self._lagging_hosts(serving, now)
        known = self.zones.get(self.own.zone.name)
        hosts = tuple(
            _without_load(heartbeat)
            for heartbeat in serving[: const.SUMMARY_ENTRY_HOSTS]
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
        # A position below the last reported one needs a new epoch.
        if (
            known is None
            or _significant_fields(known.summary)
            != _significant_fields(summary)
            or revision < self.position_of(self.own.zone.name).revision
            or now - self._summary_at_s >= const.SUMMARY_REPEAT_S
        ):
            if now - self._summary_at_s < const.SUMMARY_MIN_INTERVAL_S:
                return
            self._summary_at_s = now
            self._merge_summary(summary, sender=None, now=now)
        elif revision > self.position_of(self.own.zone.name).revision:
            self._merge_position(
                zone_id(self.own.zone.name),
                Position(known.summary.epoch, revision),
                sender=None,
            )

    def _lagging_hosts(
        self, serving: list[model.Heartbeat], now: float
    ) -> tuple[str, ...]:
        lagging_since = {
            heartbeat.host.name: self._lagging_since.get(
                heartbeat.host.name, now
            )
            for heartbeat in serving
            if heartbeat.catalogue_revision < self.highest_revision
        }
        self._lagging_since = lagging_since
        return tuple(
            name
            for name, since in lagging_since.items()
            if now - since >= const.LAG_GRACE_S
        )

    # Expiry and rate limits.

    def _remove_expired(self, now: float) -> None:
        expired = itertools.takewhile(
            lambda item: now - item[1] > const.SIGHTING_RETENTION_S,
            self._seen.items(),
        )
        for key, _ in tuple(expired):
            del self._seen[key]
        for server, (_, forwarded_at_s) in tuple(self._last_forwarded.items()):
            if now - forwarded_at_s > const.SIGHTING_RETENTION_S:
                del self._last_forwarded[server]
        for zone, known in tuple(self.zones.items()):
            if now - known.received_at_s > const.SUMMARY_EXPIRE_S:
                del self.zones[zone]
                self.positions.pop(zone_id(zone), None)

    def _refill_budgets(self, now: float) -> None:
        refilled_at_s = self._refilled_at_s
        elapsed_s = (
            1.0 if refilled_at_s is None else min(1.0, now - refilled_at_s)
        )
        self._refilled_at_s = now
        self._messages_left = min(
            const.RELAY_MAX_MESSAGES_PER_S,
            self._messages_left + elapsed_s * const.RELAY_MAX_MESSAGES_PER_S,
        )
        self._bytes_left = min(
            const.RELAY_MAX_BYTES_PER_S,
            self._bytes_left + elapsed_s * const.RELAY_MAX_BYTES_PER_S,
        )

    def _next_message(
        self, name: str, outbox: _Outbox, lowest: int, now: float
    ) -> OutgoingMessage | None:
        bounds = (lowest, self.highest_revision)
        # Only a primary watcher knows the lowest position in the fleet.
        bounds_changed = self.primary_watcher and bounds != (
            outbox.sent_lowest,
            outbox.sent_highest,
        )
        if outbox.primary_watcher and not (
            outbox.sightings or outbox.positions
        ):
            bounds_changed = False
        if not (
            bounds_changed
            or outbox.sightings
            or outbox.positions
            or outbox.summaries
        ):
            return None
        if self._messages_left < 1 or self._bytes_left < _MESSAGE_BYTES:
            return None
        self._messages_left -= 1
        self._bytes_left -= _MESSAGE_BYTES
        message = model.Relayed(
            sightings=tuple(self._take_within_budget(outbox.sightings)),
            positions=self._take_positions(outbox),
            summaries=tuple(
                _advance_clocks(
                    self.zones.get(summary.zone.name), summary, now
                )
                for summary in self._take_within_budget(outbox.summaries)
            ),
            lowest_revision=0 if outbox.primary_watcher else lowest,
            highest_revision=self.highest_revision,
        )
        outbox.sent_lowest, outbox.sent_highest = bounds
        return OutgoingMessage(name, message)

    def _take_within_budget(
        self, queued: dict[_Key, _Item]
    ) -> Iterator[_Item]:
        """Remove and yield the items that the byte budget allows."""
        while queued:
            key = next(iter(queued))
            size = len(cbor2.dumps(queued[key], default=_dump_enum))
            if size > self._bytes_left:
                return
            self._bytes_left -= size
            yield queued.pop(key)

    def _take_positions(
        self, outbox: _Outbox
    ) -> tuple[model.ZonePositions, ...]:
        count = min(
            len(outbox.positions), int(self._bytes_left // _POSITION_BYTES)
        )
        groups: dict[int, list[model.ZoneEpoch]] = {}
        for zone in tuple(itertools.islice(outbox.positions, count)):
            position = outbox.positions.pop(zone)
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


def _without_load(heartbeat: model.Heartbeat) -> model.Heartbeat:
    """Return the heartbeat without its frequently changing fields."""
    return heartbeat._replace(
        headroom=(), queued=(0, 0, 0), wait_s=(0.0, 0.0, 0.0), sightings=()
    )


def _significant_fields(summary: model.ZoneSummary) -> tuple[Any, ...]:
    """Return the fields whose change requires a new summary."""
    return (
        summary.zone,
        summary.lagging,
        summary.lagging_count,
        summary.serving_count,
        tuple(heartbeat.host for heartbeat in summary.entry_hosts),
    )


def _advance_clocks(
    known: KnownZone | None, summary: model.ZoneSummary, now: float
) -> model.ZoneSummary:
    """Return the summary with the clocks of its hosts advanced by its age.

    Assumes the slowest allowed clock, so that no clock gets ahead: a clock
    that is behind only makes run tokens expire early.
    """
    if known is None or known.summary.epoch != summary.epoch:
        return summary
    elapsed_ms = int(
        (now - known.received_at_s) * (1 - const.MAX_CLOCK_DRIFT) * 1000
    )
    return summary._replace(
        entry_hosts=tuple(
            heartbeat._replace(clock_ms=heartbeat.clock_ms + elapsed_ms)
            for heartbeat in summary.entry_hosts
        )
    )
