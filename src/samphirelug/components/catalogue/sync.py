"""Keep the catalogue up to date from the store and from peers.

In each availability zone, WATCHERS_PER_ZONE entry hosts watch the store. All
hosts pull changes from peers whose heartbeats announce a higher position.
"""

import asyncio
import collections
import logging
import random

from returns.result import Success

from samphirelug.components.catalogue import codec
from samphirelug.components.catalogue import model
from samphirelug.components.catalogue import state as catalogue_state
from samphirelug.components.peers import mesh as peers_mesh
from samphirelug.components.peers import model as peers_model
from samphirelug.components.store import model as store_model
from samphirelug.components.store import object_store
from samphirelug import core
from samphirelug.helpers import rendezvous
from samphirelug.helpers import timer as timer_helper
from samphirelug import result_codes

WATCHERS_PER_ZONE = 2
# Also bounds how long a watch that hangs goes unnoticed, so that a change
# still reaches the zone within 4 s.
WATCH_TIMEOUT_S = 2.5
# Interval at which a watcher reads the changes of the last RECHECK_WINDOW_S
# again, in case the answer to a watch left one out.
RECHECK_INTERVAL_S = 2.5
RECHECK_WINDOW_S = 30.0
# A full listing finds changes that were left out before that window.
LISTING_INTERVAL_S = 300.0
# Longest interval at which a host requests the changes of that window from a
# random peer. For hosts that do not watch, this replaces the reads above.
PEER_RECHECK_INTERVAL_S = 30.0
# A host that does not watch the store reads it itself after this time without
# an update, plus a random part of the jitter.
FALLBACK_WAIT_S = 10.0
FALLBACK_JITTER_S = 5.0
# Time to connect to peers and receive two heartbeats. A host that does not
# know its peers ranks itself as a watcher, so all hosts would watch the store.
START_GRACE_S = 1.5
# Upper bound of a random delay, which spreads the listings of a fleet whose
# hosts all start at the same time.
START_JITTER_S = 1.0
# A starting watcher prefers a peer's catalogue for this long, since only peers
# have the previous version of an entry whose latest version is invalid.
PREFER_PEERS_S = 3.0
PULL_INTERVAL_S = 0.2
PULL_TIMEOUT_S = 1.0
# A peer that did not deliver the position it announced is not asked again
# before this time has passed.
PULL_RETRY_DELAY_S = 2.0
# Positions also grow with writes to the store outside the catalogue. Without a
# pause after a pull that brought no change, a host with many peers would pull
# five times a second.
EMPTY_PULL_PAUSE_S = 1.0
INITIAL_BACKOFF_S = 0.25
# Half of the 4 s within which a change has to be in force.
MAX_BACKOFF_S = 2.0

_LOGGER = logging.getLogger(__name__)


class CatalogueSync:
    """Update a CatalogueState from the store and from peers."""

    def __init__(
        self,
        *,
        state: catalogue_state.CatalogueState,
        store: object_store.ObjectStore,
        mesh: peers_mesh.PeerMesh,
        timer: timer_helper.TimerService,
        rng: random.Random,
        host: core.EntryHost,
    ) -> None:
        self.state = state
        self.store = store
        self.mesh = mesh
        self.timer = timer
        self.rng = rng
        self.host = host
        self.ready = False
        self.started_at_s = timer.monotonic()
        # When the store or a peer last confirmed or updated the state.
        self.last_update_at_s = self.started_at_s
        self.listed_at_s: float | None = None
        self.rechecked_at_s = self.started_at_s
        # Calls to the store that failed in a row.
        self.failures = 0
        # Position from which a first catalogue received from a peer counts as
        # complete: the one that the peer announced. 0 if the store has sent
        # all changes.
        self.complete_at_position = 0
        # Positions that peers announced when this host first had a catalogue.
        # It becomes ready when it has reached those of peers still live.
        self.required_positions: dict[str, int] | None = None
        # Earliest time of the next pull from a peer, by the peer's name.
        self.pull_retry_at_s: dict[str, float] = {}
        # Positions with the times at which they were reached, oldest first.
        self.position_history: collections.deque[tuple[float, int]] = (
            collections.deque()
        )
        mesh.set_handler(peers_model.CatalogueRequest, self._handle_request)
        mesh.set_handler(peers_model.CatalogueReply, self._handle_reply)

    async def run(self) -> None:
        """Follow the store and the peers until cancelled."""
        self.started_at_s = self.last_update_at_s = self.timer.monotonic()
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follow_peers())
            group.create_task(self._follow_store())

    def is_watcher(self) -> bool:
        """Return whether this host watches the store for its zone."""
        zone = self.host.zone.name
        names = {self.host.name}
        for peer in self.mesh.live_peers():
            heartbeat = peer.heartbeat
            if (
                heartbeat.host.zone.name == zone
                and heartbeat.state is not core.EntryHostState.LEAVING
            ):
                names.add(heartbeat.host.name)
        ranked = rendezvous.rank_names(key=zone, names=names)
        return self.host.name in ranked[:WATCHERS_PER_ZONE]

    # Reading from the store

    async def _follow_store(self) -> None:
        await self.timer.sleep(
            START_GRACE_S + self.rng.uniform(0.0, START_JITTER_S)
        )
        fallback_wait_s = self._draw_fallback_wait_s()
        last_fallback_at_s = self.started_at_s
        while True:
            if self.is_watcher():
                await self._watch()
            elif (
                self.timer.monotonic()
                - max(self.last_update_at_s, last_fallback_at_s)
                > fallback_wait_s
            ):
                # The wait is as long after a failure, since most hosts do not
                # watch, and all of them would retry while the store is down.
                fallback_wait_s = self._draw_fallback_wait_s()
                last_fallback_at_s = self.timer.monotonic()
                await self._catch_up_from_store()
            else:
                await self.timer.sleep(PULL_INTERVAL_S)

    def _draw_fallback_wait_s(self) -> float:
        return FALLBACK_WAIT_S + self.rng.uniform(0.0, FALLBACK_JITTER_S)

    async def _watch(self) -> None:
        now_s = self.timer.monotonic()
        if not self.state.position:
            waited_s = now_s - self.started_at_s - START_GRACE_S
            if waited_s < PREFER_PEERS_S and self._select_peer() is not None:
                await self.timer.sleep(PULL_INTERVAL_S)
                return
            await self._read_listing()
            return
        if self.listed_at_s is None:
            # A catalogue received from peers is checked against a listing
            # later. The random time spreads the listings of the hosts.
            self.listed_at_s = now_s - self.rng.uniform(
                0.0, LISTING_INTERVAL_S
            )
        if now_s - self.listed_at_s > LISTING_INTERVAL_S:
            await self._read_listing()
            return
        after = self.state.position
        answer = await self.store.watch(
            codec.PREFIX, after=after, timeout_s=WATCH_TIMEOUT_S
        )
        if not isinstance(answer, Success):
            await self._back_off(answer.failure())
            return
        self._apply_watch(answer.unwrap(), after)
        await self._recheck_store()

    async def _recheck_store(self) -> None:
        now_s = self.timer.monotonic()
        if now_s - self.rechecked_at_s < RECHECK_INTERVAL_S:
            return
        self.rechecked_at_s = now_s
        await self._read_changes(self._position_at_age(RECHECK_WINDOW_S))

    async def _catch_up_from_store(self) -> None:
        if self.state.position:
            await self._read_changes(self.state.position)
        else:
            await self._read_listing()

    async def _read_changes(self, after: int) -> None:
        answer = await self.store.watch(
            codec.PREFIX, after=after, timeout_s=0.0
        )
        if isinstance(answer, Success):
            self._apply_watch(answer.unwrap(), after)
        else:
            await self._back_off(answer.failure())

    async def _read_listing(self) -> None:
        answer = await self.store.list(codec.PREFIX)
        if not isinstance(answer, Success):
            await self._back_off(answer.failure())
            return
        listing = answer.unwrap()
        self.listed_at_s = self.timer.monotonic()
        up_to_date = listing.revision >= self.state.position
        self.state.apply_listing(listing)
        self._finish_store_read(up_to_date)
        if not self.state.position:
            # The wait avoids a busy loop while the store is empty.
            await self.timer.sleep(MAX_BACKOFF_S)

    def _apply_watch(self, listing: store_model.Listing, after: int) -> None:
        up_to_date = listing.revision >= self.state.position
        self.state.apply_watch(listing, after)
        self._finish_store_read(up_to_date)

    def _finish_store_read(self, up_to_date: bool) -> None:
        self.failures = 0
        if up_to_date:
            # The store has sent all changes after the position.
            self.complete_at_position = 0
            self.last_update_at_s = self.timer.monotonic()
        self._handle_update()

    async def _back_off(self, refusal: result_codes.Refusal) -> None:
        self.failures += 1
        if self.failures == 1:
            _LOGGER.warning(
                "cannot read the catalogue from the store, retrying: %s %s",
                refusal.code.name,
                refusal.detail,
            )
        limit_s = min(
            MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2.0 ** min(self.failures, 8)
        )
        await self.timer.sleep(self.rng.uniform(limit_s / 2.0, limit_s))

    # Exchanging changes with peers

    async def _follow_peers(self) -> None:
        recheck_at_s = self._next_peer_recheck_s()
        while True:
            await self.timer.sleep(PULL_INTERVAL_S)
            self._update_ready()
            peer = self._select_peer()
            if peer is not None:
                await self._pull(peer, self.state.position)
            elif self.timer.monotonic() >= recheck_at_s:
                recheck_at_s = self._next_peer_recheck_s()
                await self._recheck_peer()

    def _next_peer_recheck_s(self) -> float:
        return self.timer.monotonic() + self.rng.uniform(
            PEER_RECHECK_INTERVAL_S / 2.0, PEER_RECHECK_INTERVAL_S
        )

    def _select_peer(self) -> peers_model.PeerView | None:
        """Return the peer to pull from, or None if no peer is ahead."""
        now_s = self.timer.monotonic()
        ahead = [
            peer
            for peer in self.mesh.live_peers()
            if peer.connected
            and peer.heartbeat.catalogue_revision > self.state.position
            and self.pull_retry_at_s.get(peer.heartbeat.host.name, 0.0)
            <= now_s
        ]
        if not ahead:
            return None
        # The first catalogue comes from a peer with the highest position,
        # later changes from a nearby peer.
        initial = not self.state.position
        return min(
            ahead,
            key=lambda peer: (
                -peer.heartbeat.catalogue_revision if initial else 0,
                peer.heartbeat.host.zone != self.host.zone,
                peer.heartbeat.host.zone.region != self.host.zone.region,
                self.rng.random(),
            ),
        )

    async def _pull(self, peer: peers_model.PeerView, since: int) -> None:
        name = peer.heartbeat.host.name
        position_before = self.state.position
        without_changes = False
        reply = await self._request(name, since)
        part_since = since
        while reply is not None and reply.partial:
            if reply.delta.revision <= part_since:
                reply = None
                break
            self.state.apply_partial_delta(reply.delta)
            self.last_update_at_s = self.timer.monotonic()
            part_since = reply.delta.revision
            await self.timer.sleep(PULL_INTERVAL_S)
            reply = await self._request(name, part_since)
        if reply is not None:
            # With the parts before it, the last part covers all changes since
            # the first request.
            delta = reply.delta
            if delta.since == part_since:
                reply = reply._replace(delta=delta._replace(since=since))
            if not position_before and reply.delta.revision:
                self.complete_at_position = max(
                    self.complete_at_position,
                    peer.heartbeat.catalogue_revision,
                )
            self.state.apply_delta(reply.delta)
            self.state.apply_rejections(reply.rejected)
            without_changes = not reply.delta.objects and part_since == since
        if self.state.position > position_before:
            self.last_update_at_s = self.timer.monotonic()
            self._handle_update()
            if without_changes:
                await self.timer.sleep(EMPTY_PULL_PAUSE_S)
        elif since == position_before:
            # The peer did not deliver the position that it announced.
            self.pull_retry_at_s[name] = (
                self.timer.monotonic() + PULL_RETRY_DELAY_S
            )
        else:
            self._handle_update()

    async def _request(
        self, name: str, since: int
    ) -> peers_model.CatalogueReply | None:
        answer = await self.mesh.request(
            name,
            peers_model.CatalogueRequest(since=since),
            timeout_s=PULL_TIMEOUT_S,
        )
        reply = answer.value_or(None)
        if isinstance(reply, peers_model.CatalogueReply):
            return reply
        return None

    async def _recheck_peer(self) -> None:
        peers = [peer for peer in self.mesh.live_peers() if peer.connected]
        if self.ready and peers:
            await self._pull(
                self.rng.choice(peers),
                self._position_at_age(RECHECK_WINDOW_S),
            )

    async def _handle_request(
        self, _sender: str, message: peers_model.Message
    ) -> peers_model.Message | None:
        if not isinstance(message, peers_model.CatalogueRequest):
            return None
        if not self.ready:
            # The catalogue of a host that is not ready may be incomplete, so
            # peers must not take its position over.
            return peers_model.CatalogueReply(
                model.CatalogueDelta(message.since, 0, ())
            )
        return self._reply(message.since)

    async def _handle_reply(
        self, _sender: str, message: peers_model.Message
    ) -> peers_model.Message | None:
        if isinstance(message, peers_model.CatalogueReply):
            if message.partial:
                self.state.apply_partial_delta(message.delta)
            else:
                self.state.apply_delta(message.delta)
                self.state.apply_rejections(message.rejected)
            self._handle_update()
        return None

    def _reply(self, since: int) -> peers_model.CatalogueReply:
        delta = self.state.delta_since(since)
        if delta.revision < self.state.position:
            return peers_model.CatalogueReply(delta, partial=True)
        return peers_model.CatalogueReply(
            delta, rejected=self.state.rejections_since(since)
        )

    # Updates from either source

    def _handle_update(self) -> None:
        now_s = self.timer.monotonic()
        if (
            not self.position_history
            or self.position_history[-1][1] != self.state.position
        ):
            self.position_history.append((now_s, self.state.position))
        while (
            len(self.position_history) > 1
            and self.position_history[1][0] <= now_s - RECHECK_WINDOW_S
        ):
            self.position_history.popleft()
        self._update_ready()
        self._broadcast_repair()

    def _position_at_age(self, age_s: float) -> int:
        """Return the position held age_s ago, or the oldest one recorded."""
        limit_s = self.timer.monotonic() - age_s
        found = (
            self.position_history[0][1]
            if self.position_history
            else self.state.position
        )
        for reached_at_s, position in self.position_history:
            if reached_at_s > limit_s:
                break
            found = position
        return found

    def _update_ready(self) -> None:
        if self.ready or not self.state.position:
            return
        now_s = self.timer.monotonic()
        if now_s < self.started_at_s + START_GRACE_S:
            return
        announced = {
            peer.heartbeat.host.name: peer.heartbeat.catalogue_revision
            for peer in self.mesh.live_peers()
            if peer.heartbeat.state is not core.EntryHostState.STARTING
        }
        if self.required_positions is None:
            self.required_positions = announced
        if self.state.position < self.complete_at_position:
            return
        # A host that restarts must not serve from an older catalogue than
        # its peers do, even if the store's listing was stale.
        self.ready = all(
            position <= self.state.position
            for name, position in self.required_positions.items()
            if name in announced
        )

    def _broadcast_repair(self) -> None:
        delta = self.state.pop_repair()
        if delta is None or not self.ready:
            return
        _LOGGER.warning(
            "catalogue changes after revision %d arrived late; sending them"
            " to peers",
            delta.since,
        )
        reply = self._reply(delta.since)
        self.mesh.broadcast(reply)
        # A large repair is sent in parts, all of them marked as partial, since
        # a receiver of the last part may have missed the others.
        while reply.partial:
            reply = self._reply(reply.delta.revision)
            self.mesh.broadcast(
                peers_model.CatalogueReply(reply.delta, partial=True)
            )
