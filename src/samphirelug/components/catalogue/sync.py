"""Keep the catalogue up to date from the store and from peers."""

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
# Also the longest time for which a watch that hangs goes unnoticed, so that
# a change still reaches the zone within 4 s.
WATCH_TIMEOUT_S = 2.5
# A watcher reads the changes of the last window again at this interval, in
# case an answer to a watch left one out.
RECHECK_INTERVAL_S = 2.5
RECHECK_WINDOW_S = 30.0
# Finds changes that were left out for longer than the window.
LISTING_INTERVAL_S = 300.0
# Hosts that do not watch compare the window with one peer instead.
PEER_RECHECK_INTERVAL_S = 30.0
FALLBACK_WAIT_S = 10.0
FALLBACK_JITTER_S = 5.0
# Two heartbeats and the time to connect. Without peers every host would
# take itself for a watcher.
START_GRACE_S = 1.5
# Spreads the listings of a fleet that starts all at once.
START_JITTER_S = 1.0
# A starting watcher prefers a peer's catalogue for this long, since a peer
# also has the former version of an entry whose latest version is not valid.
START_PEERS_S = 3.0
PULL_INTERVAL_S = 0.2
PULL_TIMEOUT_S = 1.0
PULL_PENALTY_S = 2.0
# Positions also grow without a catalogue change, with every other write to
# the store. Without a pause after a pull that brought none, a host with many
# peers would pull five times a second.
EMPTY_PULL_PAUSE_S = 1.0
BACKOFF_FIRST_S = 0.25
# Half the time in which a change has to be in force.
BACKOFF_MAX_S = 2.0

_LOGGER = logging.getLogger(__name__)


class CatalogueSync:
    """Feed a CatalogueState; the zone's first hosts watch the store."""

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
        self.heard_at_s = self.started_at_s
        self.listed_at_s: float | None = None
        self.rechecked_at_s = self.started_at_s
        self.failures = 0
        # A first catalogue that came in parts is complete at this position.
        self.complete_at = 0
        # Positions that peers announced when this host first had one.
        self.targets: dict[str, int] | None = None
        self.penalty_until_s: dict[str, float] = {}
        # When each position was reached.
        self.reached: collections.deque[tuple[float, int]] = (
            collections.deque()
        )
        mesh.set_handler(peers_model.CatalogueRequest, self._answer)
        mesh.set_handler(peers_model.CatalogueReply, self._receive)

    async def run(self) -> None:
        """Follow the store and the peers until cancelled."""
        self.started_at_s = self.heard_at_s = self.timer.monotonic()
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follow_peers())
            group.create_task(self._follow_store())

    def is_watcher(self) -> bool:
        """Tell whether this host ranks among its zone's watchers."""
        zone = self.host.zone.name
        names = {self.host.name}
        for peer in self.mesh.live_peers():
            beat = peer.heartbeat
            if (
                beat.host.zone.name == zone
                and beat.state is not core.EntryHostState.LEAVING
            ):
                names.add(beat.host.name)
        ranked = rendezvous.rank_names(key=zone, names=names)
        return self.host.name in ranked[:WATCHERS_PER_ZONE]

    # Store

    async def _follow_store(self) -> None:
        await self.timer.sleep(
            START_GRACE_S + self.rng.uniform(0.0, START_JITTER_S)
        )
        patience_s = self._patience_s()
        tried_at_s = self.started_at_s
        while True:
            if self.is_watcher():
                await self._watch()
            elif (
                self.timer.monotonic() - max(self.heard_at_s, tried_at_s)
                > patience_s
            ):
                # Also after a failure it waits as long again: most hosts do
                # not watch, and all would retry at a store that is down.
                patience_s = self._patience_s()
                tried_at_s = self.timer.monotonic()
                await self._read_store()
            else:
                await self.timer.sleep(PULL_INTERVAL_S)

    def _patience_s(self) -> float:
        return FALLBACK_WAIT_S + self.rng.uniform(0.0, FALLBACK_JITTER_S)

    async def _watch(self) -> None:
        now_s = self.timer.monotonic()
        if not self.state.position:
            waited_s = now_s - self.started_at_s - START_GRACE_S
            if waited_s < START_PEERS_S and self._best_peer() is not None:
                await self.timer.sleep(PULL_INTERVAL_S)
                return
            await self._list()
            return
        if self.listed_at_s is None:
            # A catalogue from peers is checked against a listing later, at
            # a time that differs between hosts.
            self.listed_at_s = now_s - self.rng.uniform(
                0.0, LISTING_INTERVAL_S
            )
        if now_s - self.listed_at_s > LISTING_INTERVAL_S:
            await self._list()
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
        await self._read_changes(self._position_before(RECHECK_WINDOW_S))

    async def _read_store(self) -> None:
        if self.state.position:
            await self._read_changes(self.state.position)
        else:
            await self._list()

    async def _read_changes(self, after: int) -> None:
        answer = await self.store.watch(
            codec.PREFIX, after=after, timeout_s=0.0
        )
        if isinstance(answer, Success):
            self._apply_watch(answer.unwrap(), after)
        else:
            await self._back_off(answer.failure())

    async def _list(self) -> None:
        answer = await self.store.list(codec.PREFIX)
        if not isinstance(answer, Success):
            await self._back_off(answer.failure())
            return
        listing = answer.unwrap()
        self.listed_at_s = self.timer.monotonic()
        fresh = listing.revision >= self.state.position
        self.state.apply_listing(listing)
        self._after_store(fresh)
        if not self.state.position:
            # The store is still empty; do not ask without a pause.
            await self.timer.sleep(BACKOFF_MAX_S)

    def _apply_watch(self, listing: store_model.Listing, after: int) -> None:
        fresh = listing.revision >= self.state.position
        self.state.apply_watch(listing, after)
        self._after_store(fresh)

    def _after_store(self, fresh: bool) -> None:
        self.failures = 0
        if fresh:
            # The store has sent all that follows the position.
            self.complete_at = 0
            self.heard_at_s = self.timer.monotonic()
        self._after_change()

    async def _back_off(self, refusal: result_codes.Refusal) -> None:
        self.failures += 1
        if self.failures == 1:
            _LOGGER.warning(
                "catalogue store call failed: %s %s",
                refusal.code.name,
                refusal.detail,
            )
        limit_s = min(
            BACKOFF_MAX_S, BACKOFF_FIRST_S * 2.0 ** min(self.failures, 8)
        )
        await self.timer.sleep(self.rng.uniform(limit_s / 2.0, limit_s))

    # Peers

    async def _follow_peers(self) -> None:
        recheck_at_s = self._next_peer_recheck_s()
        while True:
            await self.timer.sleep(PULL_INTERVAL_S)
            self._update_ready()
            peer = self._best_peer()
            if peer is not None:
                await self._pull(peer, self.state.position)
            elif self.timer.monotonic() >= recheck_at_s:
                recheck_at_s = self._next_peer_recheck_s()
                await self._recheck_peer()

    def _next_peer_recheck_s(self) -> float:
        return self.timer.monotonic() + self.rng.uniform(
            PEER_RECHECK_INTERVAL_S / 2.0, PEER_RECHECK_INTERVAL_S
        )

    def _best_peer(self) -> peers_model.PeerView | None:
        """Return the peer to ask for what this host lacks."""
        now_s = self.timer.monotonic()
        ahead = [
            peer
            for peer in self.mesh.live_peers()
            if peer.connected
            and peer.heartbeat.catalogue_revision > self.state.position
            and self.penalty_until_s.get(peer.heartbeat.host.name, 0.0)
            <= now_s
        ]
        if not ahead:
            return None
        # The first catalogue comes from the highest position, later changes
        # from near by.
        first = not self.state.position
        return min(
            ahead,
            key=lambda peer: (
                -peer.heartbeat.catalogue_revision if first else 0,
                peer.heartbeat.host.zone != self.host.zone,
                peer.heartbeat.host.zone.region != self.host.zone.region,
                self.rng.random(),
            ),
        )

    async def _pull(self, peer: peers_model.PeerView, since: int) -> None:
        name = peer.heartbeat.host.name
        before = self.state.position
        empty = False
        reply = await self._request(name, since)
        parts_from = since
        while reply is not None and reply.partial:
            if reply.delta.revision <= parts_from:
                reply = None
                break
            self.state.apply_part(reply.delta)
            self.heard_at_s = self.timer.monotonic()
            parts_from = reply.delta.revision
            await self.timer.sleep(PULL_INTERVAL_S)
            reply = await self._request(name, parts_from)
        if reply is not None:
            # The parts before the last one came since the first request.
            delta = reply.delta
            if delta.since == parts_from:
                reply = reply._replace(delta=delta._replace(since=since))
            if not before and reply.delta.revision:
                self.complete_at = max(
                    self.complete_at, peer.heartbeat.catalogue_revision
                )
            self.state.apply_delta(reply.delta)
            self.state.apply_rejections(reply.rejected)
            empty = not reply.delta.objects and parts_from == since
        if self.state.position > before:
            self.heard_at_s = self.timer.monotonic()
            self._after_change()
            if empty:
                await self.timer.sleep(EMPTY_PULL_PAUSE_S)
        elif since == before:
            # It did not give what it announced; ask another one first.
            self.penalty_until_s[name] = (
                self.timer.monotonic() + PULL_PENALTY_S
            )
        else:
            self._after_change()

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
                self._position_before(RECHECK_WINDOW_S),
            )

    async def _answer(
        self, _sender: str, message: peers_model.Message
    ) -> peers_model.Message | None:
        if not isinstance(message, peers_model.CatalogueRequest):
            return None
        if not self.ready:
            # A catalogue in parts is no source: older entries may be
            # missing from it.
            return peers_model.CatalogueReply(
                model.CatalogueDelta(message.since, 0, ())
            )
        return self._reply(message.since)

    async def _receive(
        self, _sender: str, message: peers_model.Message
    ) -> peers_model.Message | None:
        if isinstance(message, peers_model.CatalogueReply):
            if message.partial:
                self.state.apply_part(message.delta)
            else:
                self.state.apply_delta(message.delta)
                self.state.apply_rejections(message.rejected)
            self._after_change()
        return None

    def _reply(self, since: int) -> peers_model.CatalogueReply:
        delta = self.state.delta_since(since)
        if delta.revision < self.state.position:
            return peers_model.CatalogueReply(delta, partial=True)
        return peers_model.CatalogueReply(
            delta, rejected=self.state.rejections_since(since)
        )

    # Both

    def _after_change(self) -> None:
        now_s = self.timer.monotonic()
        if not self.reached or self.reached[-1][1] != self.state.position:
            self.reached.append((now_s, self.state.position))
        while (
            len(self.reached) > 1
            and self.reached[1][0] <= now_s - RECHECK_WINDOW_S
        ):
            self.reached.popleft()
        self._update_ready()
        self._spread_repair()

    def _position_before(self, age_s: float) -> int:
        """Return the position of that long ago, or the oldest known."""
        limit_s = self.timer.monotonic() - age_s
        known = self.reached[0][1] if self.reached else self.state.position
        for when_s, position in self.reached:
            if when_s > limit_s:
                break
            known = position
        return known

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
        if self.targets is None:
            self.targets = announced
        if self.state.position < self.complete_at:
            return
        # A host that restarts must not serve from an older catalogue than
        # its peers do, also when the store's listing was stale.
        self.ready = all(
            position <= self.state.position
            for name, position in self.targets.items()
            if name in announced
        )

    def _spread_repair(self) -> None:
        delta = self.state.take_repair()
        if delta is None or not self.ready:
            return
        _LOGGER.warning(
            "catalogue changes since revision %d had been left out",
            delta.since,
        )
        reply = self._reply(delta.since)
        self.mesh.broadcast(reply)
        # A large repair comes in parts. The last part alone does not cover
        # the others, which a receiver may have missed.
        while reply.partial:
            reply = self._reply(reply.delta.revision)
            self.mesh.broadcast(
                peers_model.CatalogueReply(reply.delta, partial=True)
            )
