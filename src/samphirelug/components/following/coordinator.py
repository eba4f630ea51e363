"""Decide whom this host follows and whether it reads the store; no I/O.

A change reaches a host through two others, so that the failure of one delays
nothing. Every view is passed on with its age: the time since a host that
reads the store last knew it to be current. A host whose best source is too
old or silent reads the store itself. What a source sends is evidence of a
change, and its silence is never taken for the absence of one.
"""

from collections.abc import Callable
import logging
import random

import xxhash

from samphirelug.components.fleet import model as fleet_model
from samphirelug.components.fleet import registry as fleet_registry
from samphirelug.components.fleet import roster as fleet_roster
from samphirelug.components.following import const
from samphirelug.components.following import frames
from samphirelug.components.following import links
from samphirelug.components.following import plan as follow_plan
from samphirelug.components.following import sessions
from samphirelug.components.store import availability as store_availability
from samphirelug.helpers import timer as timer_helper

_LOGGER = logging.getLogger(__name__)
# Source of backend servers that another host saw leaving, in the log.
LEAVING_SOURCE = "entry host"
# Reasons for the end of a link that decide when its host is tried again.
TOO_OLD = "too old"
REPLACED = "replaced"


class FollowCoordinator:
    """Keep the views of this host current and pass them on."""

    def __init__(
        self,
        *,
        own: fleet_model.HostInstance,
        roster: fleet_roster.HostRoster,
        registry: fleet_registry.ServerRegistry,
        views: sessions.Views,
        availability: store_availability.StoreAvailability,
        dialer: links.LinkDialer,
        timer: timer_helper.TimerService,
        rng: random.Random,
        drain_s: float,
        start_patience_s: float,
        set_direct: Callable[[bool], None],
    ) -> None:
        self.own = own
        self.reader_id = xxhash.xxh32_intdigest(own.name.encode())
        self.roster = roster
        self.registry = registry
        self.views = views
        self.availability = availability
        self.dialer = dialer
        self.timer = timer
        self.rng = rng
        self.set_drain_time(drain_s)
        self.start_patience_s = start_patience_s
        # Starts or ends reading the store.
        self.set_direct = set_direct
        self.direct = False
        self.direct_since_s = 0.0
        # Whether it began to read the store without any view.
        self.direct_at_start = False
        # Time from which this host may read the store because its sources
        # are old; None while they are not.
        self.direct_due_at_s: float | None = None
        self.plan = follow_plan.FollowPlan(False, ())
        self.planned_generation = -1
        self.sources: dict[str, sessions.SourceSession] = {}
        self.followers: set[sessions.FollowerSession] = set()
        self.encoder = sessions.UpdateEncoder(
            views=views, grace_remaining_s=availability.grace_remaining_s
        )
        self.failed_until_s: dict[str, float] = {}
        self.replaced_at_s = float("-inf")
        # Time of the first check; None before it.
        self.started_at_s: float | None = None
        self.beat_at_s = float("-inf")
        # Whether the view was too old at the last check.
        self.is_old = False
        # Age that followers were last told.
        self.told_age_s = sessions.NEVER
        # Link on which the news of a leaving server is arriving.
        self.leaving_origin: object = None
        # Frames received, by type, for the metrics.
        self.received: dict[str, int] = {}
        for view in views.values():
            view.on_changed.append(self._send_updates)
        availability.on_confirmed.append(self._handle_confirmed)
        registry.on_leaving.append(self._tell_leaving)

    @property
    def is_complete(self) -> bool:
        """Return whether all kinds have been read."""
        return all(view.revision for view in self.views.values())

    def age_s(self, now: float) -> float:
        """Return the time since the views were known to be current."""
        if not self.is_complete:
            return sessions.NEVER
        return min(
            now - self.availability.confirmed_at_s, self._sources_age_s(now)
        )

    def is_current(self, now: float) -> bool:
        """Return whether the views are not too old to rely on."""
        return self.age_s(now) <= self.stale_after_s

    def _sources_age_s(self, now: float) -> float:
        if not self.is_complete:
            return sessions.NEVER
        return min(
            (session.age_s(now) for session in self.sources.values()),
            default=sessions.NEVER,
        )

    def set_drain_time(self, drain_s: float) -> None:
        """Set the time within which a draining server must be out of use."""
        self.stale_after_s = min(
            const.MAX_STALE_S, const.STALE_RATIO * drain_s
        )
        self.confirm_interval_s = min(
            const.MAX_CONFIRM_INTERVAL_S, const.CONFIRM_RATIO * drain_s
        )

    def tick(self) -> None:
        """Check sources and followers, and send what is due."""
        now = self.timer.monotonic()
        if self.started_at_s is None:
            self.started_at_s = now
        if self.planned_generation != self.roster.generation:
            self.planned_generation = self.roster.generation
            self._replan()
        self._check_sources(now)
        self._check_direct(now)
        self._log_age(now)
        for follower in list(self.followers):
            self._check_follower(follower, now)
        self._send_beats_if_due(now, const.MAX_BEAT_RATIO)

    def accept(self, link: links.FrameLink) -> sessions.FollowerSession | None:
        """Begin the session of a new follower; None if there are too many."""
        if len(self.followers) >= const.MAX_FOLLOWERS:
            return None
        session = sessions.FollowerSession(
            link=link,
            now=self.timer.monotonic(),
            on_frame=self._handle_follower_frame,
            on_close=self.followers.discard,
        )
        self.followers.add(session)
        return session

    def close(self) -> None:
        """Close all links."""
        for source in list(self.sources.values()):
            source.close("host stops")
        for follower in list(self.followers):
            follower.close()

    # Sources.

    def _replan(self) -> None:
        was_watcher = self.plan.is_watcher
        self.plan = follow_plan.make_plan(self.own, self.roster.serving())
        if self.plan.is_watcher != was_watcher:
            _LOGGER.info(
                "reads the store for other hosts"
                if self.plan.is_watcher
                else "no longer reads the store for other hosts",
                extra={"hosts": self.roster.count},
            )

    def _check_sources(self, now: float) -> None:
        for session in list(self.sources.values()):
            if now - session.heard_at_s > const.SILENT_AFTER_S:
                session.close("silent")
        available = [
            host
            for host in self.plan.candidates
            if self.failed_until_s.get(host.name, 0.0) <= now
        ]
        count = const.SOURCES
        if not self.is_complete and (
            now - (self.started_at_s or now) < const.FIRST_SOURCE_PATIENCE_S
        ):
            count = 1
        wanted = {host.name: host for host in available[:count]}
        # An alive source that is too old is replaced, if there are others.
        for session in list(self.sources.values()):
            if (
                session.age_s(now) > self.stale_after_s
                and session.reported_age_s != sessions.NEVER
                and len(available) > const.SOURCES
                and now - self.replaced_at_s >= const.REPLACE_INTERVAL_S
            ):
                self.replaced_at_s = now
                session.close(TOO_OLD)
        for name, host in wanted.items():
            if name not in self.sources:
                self._dial(host, now)
        is_fresh = any(
            self.sources[name].age_s(now) <= self.stale_after_s
            for name in wanted
            if name in self.sources
        )
        for name, session in list(self.sources.items()):
            if name not in wanted and (is_fresh or not wanted):
                session.close(REPLACED)

    def _dial(self, host: fleet_model.HostInstance, now: float) -> None:
        session = sessions.SourceSession(
            host=host,
            now=now,
            clock=self.timer.monotonic,
            on_frame=self._handle_source_frame,
            on_close=self._handle_source_close,
        )
        self.sources[host.name] = session

        def begin(link: links.FrameLink) -> None:
            if session.closed:
                link.close()
                return
            session.link = link
            session.heard_at_s = self.timer.monotonic()
            hello = frames.Hello(
                const.PROTOCOL_VERSION,
                self.own.name,
                [self.views[kind].revision for kind in frames.KINDS],
            )
            link.send(frames.encode(hello))

        self.dialer.dial(host.peer_address, receiver=session, on_open=begin)

    def _handle_source_close(
        self, session: sessions.SourceSession, reason: str
    ) -> None:
        name = session.host.name
        if self.sources.get(name) is session:
            del self.sources[name]
        now = self.timer.monotonic()
        if reason == TOO_OLD:
            self.failed_until_s[name] = now + const.RETRY_OLD_CANDIDATE_AFTER_S
        elif reason != REPLACED:
            self.failed_until_s[name] = now + (
                const.RETRY_CANDIDATE_AFTER_S
                if self.is_complete
                else const.RETRY_CANDIDATE_AT_START_S
            )
        for host, until_s in list(self.failed_until_s.items()):
            if until_s <= now:
                del self.failed_until_s[host]
        _LOGGER.info(
            "no longer follows an entry host",
            extra={
                "host": name,
                "reason": reason,
                "age_s": _rounded(session.age_s(now)),
                "view_age_s": _rounded(self.age_s(now)),
            },
        )

    def _handle_source_frame(
        self, session: sessions.SourceSession, frame: frames.Frame
    ) -> None:
        self._count(frame)
        now = self.timer.monotonic()
        if isinstance(frame, frames.Update):
            kind = frames.KINDS[frame.kind]
            self.availability.extend_grace(frame.grace_ms / 1000)
            if not frames.apply_update(frame, self.views[kind]):
                session.close("changes are missing")
        elif isinstance(frame, frames.Beat):
            self._send_beats_if_due(now, const.MIN_BEAT_RATIO)
        elif isinstance(frame, frames.ServerLeaving):
            self._handle_leaving(frame, origin=session)
        elif isinstance(frame, frames.HostsAbsent):
            self.roster.adopt_absent(
                frame.names, now=now, source=session.host.name
            )
        else:
            session.close("unexpected frame")

    # Reading the store.

    def _check_direct(self, now: float) -> None:
        if self.plan.is_watcher:
            self._switch_direct(True, now, "watcher")
            return
        age_s = self._sources_age_s(now)
        if age_s <= self.stale_after_s:
            self.direct_due_at_s = None
            if (
                self.direct
                and self._has_other_reader(now)
                and (
                    self.direct_at_start
                    or now - self.direct_since_s >= const.MIN_DIRECT_S
                )
            ):
                self._switch_direct(False, now, "sources are current")
            return
        if self.direct:
            return
        if self.direct_due_at_s is None:
            self.direct_due_at_s = self._next_direct_at_s(now)
        if now >= self.direct_due_at_s:
            self._switch_direct(True, now, "sources are old or missing")

    def _has_other_reader(self, now: float) -> bool:
        """Return whether a source is current without this host's reading."""
        return any(
            session.reported_reader != self.reader_id
            and session.age_s(now) <= self.stale_after_s
            for session in self.sources.values()
        )

    def _next_direct_at_s(self, now: float) -> float:
        """Return when to read the store if sources remain too old."""
        if not self.is_complete and self.sources:
            started_at_s = (
                now if self.started_at_s is None else (self.started_at_s)
            )
            return max(now, started_at_s + self.start_patience_s)
        if any(
            now - session.reported_at_s <= const.SILENT_AFTER_S
            for session in self.sources.values()
        ):
            # The sources live and cannot reach the store; nor can this host,
            # most likely.
            return now + self.rng.uniform(
                0.0,
                min(
                    const.MAX_STALE_SPREAD_S,
                    const.STALE_SPREAD_PER_HOST_S * (self.roster.count or 1),
                ),
            )
        return now

    def _handle_confirmed(self) -> None:
        self._send_beats_if_due(self.timer.monotonic(), const.MIN_BEAT_RATIO)

    def _switch_direct(self, direct: bool, now: float, reason: str) -> None:
        if direct == self.direct:
            return
        _LOGGER.info(
            "reads the store" if direct else "stops reading the store",
            extra={
                "reason": reason,
                "sources_age_s": _rounded(self._sources_age_s(now)),
                "sources": list(self.sources),
            },
        )
        self.direct = direct
        self.direct_since_s = now
        self.direct_at_start = not self.is_complete
        self.direct_due_at_s = None
        self.set_direct(direct)

    def _log_age(self, now: float) -> None:
        """Log when the view becomes too old, and when it is current again."""
        age_s = self.age_s(now)
        is_old = self.is_complete and age_s > self.stale_after_s
        if is_old == self.is_old:
            return
        self.is_old = is_old
        _LOGGER.info(
            "view of the store is old"
            if is_old
            else "view of the store is current",
            extra={
                "age_s": _rounded(age_s),
                "reads_store": self.direct,
                "sources": {
                    name: _rounded(session.age_s(now))
                    for name, session in self.sources.items()
                },
            },
        )

    # Followers.

    def _handle_follower_frame(
        self, session: sessions.FollowerSession, frame: frames.Frame
    ) -> None:
        self._count(frame)
        if isinstance(frame, frames.Hello):
            self._send_due(session)
            for each in self._first_frames():
                session.link.send(frames.encode(each))
        elif isinstance(frame, frames.ServerLeaving) and session.sent:
            self._handle_leaving(frame, origin=session)
        else:
            session.close()

    def _first_frames(self) -> list[frames.Frame]:
        first: list[frames.Frame] = [
            frames.HostsAbsent(self.roster.not_running()),
            self._make_beat(self.timer.monotonic()),
        ]
        first += [
            frames.ServerLeaving(*server.incarnation)
            for server in self.registry.servers.values()
            if server.incarnation in self.registry.leaving
        ]
        return first

    def _check_follower(
        self, follower: sessions.FollowerSession, now: float
    ) -> None:
        if not follower.link.is_congested:
            follower.taken_at_s = now
            self._send_due(follower)
        if now - follower.taken_at_s > const.CONGESTED_AFTER_S or (
            not follower.sent
            and now - follower.accepted_at_s > const.HELLO_TIMEOUT_S
        ):
            _LOGGER.info(
                "follower takes or sends no frames",
                extra={"host": follower.name},
            )
            follower.close()

    def _send_updates(self) -> None:
        for follower in list(self.followers):
            if not follower.link.is_congested:
                self._send_due(follower)

    def _send_due(self, session: sessions.FollowerSession) -> None:
        self.encoder.send_due(session)

    def _make_beat(self, now: float) -> frames.Beat:
        age_s = self.age_s(now)
        if age_s == sessions.NEVER:
            return frames.Beat(None, 0)
        reader_id = self.reader_id
        if age_s < now - self.availability.confirmed_at_s:
            reader_id = min(
                self.sources.values(), key=lambda source: source.age_s(now)
            ).reported_reader
        return frames.Beat(round(age_s * 1000), reader_id)

    def _send_beats_if_due(self, now: float, ratio: float) -> None:
        """Send beats after a share of the interval, or if the view is newer.

        Followers learn at once that the view has become current again.
        """
        if (
            now - self.beat_at_s >= ratio * self.confirm_interval_s
            or self.told_age_s - self.age_s(now) > self.confirm_interval_s
        ):
            self._send_beats(now)

    def _send_beats(self, now: float) -> None:
        self.beat_at_s = now
        self.told_age_s = self.age_s(now)
        data = frames.encode(self._make_beat(now))
        for follower in list(self.followers):
            if follower.sent and not follower.link.is_congested:
                follower.link.send(data)

    # Leaving servers.

    def _handle_leaving(
        self, frame: frames.ServerLeaving, *, origin: object
    ) -> None:
        self.leaving_origin = origin
        self.registry.mark_leaving(
            fleet_model.Incarnation(*frame), source=LEAVING_SOURCE
        )
        self.leaving_origin = None

    def _tell_leaving(self, incarnation: fleet_model.Incarnation) -> None:
        """Tell sources and followers; each host tells it on once."""
        data = frames.encode(frames.ServerLeaving(*incarnation))
        origin = self.leaving_origin
        for source in self.sources.values():
            if source.link is not None and source is not origin:
                source.link.send(data)
        for follower in self.followers:
            if follower.sent and follower is not origin:
                follower.link.send(data)

    def _count(self, frame: frames.Frame) -> None:
        name = type(frame).__name__
        self.received[name] = self.received.get(name, 0) + 1


def _rounded(seconds: float) -> float | None:
    return None if seconds == sessions.NEVER else round(seconds, 3)
