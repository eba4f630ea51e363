"""Assemble an entry host that forwards by routes, and run it."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
import logging
import math
import random
import signal
import uuid

from samphirelug.components.allowance import gate as allowance_gate
from samphirelug.components.allowance import io_datagrams as token_datagrams
from samphirelug.components.allowance import node as allowance_node
from samphirelug.components.directory import answer as directory_answer
from samphirelug.components.fleet import const as fleet_const
from samphirelug.components.fleet import consumers
from samphirelug.components.fleet import decoder as fleet_decoder
from samphirelug.components.fleet import enrolment
from samphirelug.components.fleet import evacuations as fleet_evacuations
from samphirelug.components.fleet import host_entries
from samphirelug.components.fleet import io_datagrams
from samphirelug.components.fleet import isolation
from samphirelug.components.fleet import model as fleet_model
from samphirelug.components.fleet import registry as fleet_registry
from samphirelug.components.fleet import roster as fleet_roster
from samphirelug.components.following import const as following_const
from samphirelug.components.following import coordinator as follow_coordinator
from samphirelug.components.following import io_websockets
from samphirelug.components.forwarding import forwarder
from samphirelug.components.forwarding import request_log
from samphirelug.components.forwarding import retry_window
from samphirelug.components.http import connection_account
from samphirelug.components.http import const as http_const
from samphirelug.components.http import handler
from samphirelug.components.http import held_memory
from samphirelug.components.http import io_endpoints
from samphirelug.components.http import io_pipeline
from samphirelug.components.http import io_pool
from samphirelug.components.http import model as http_model
from samphirelug.components.metrics import forwarding as forwarding_metrics
from samphirelug.components.placement import fair_share
from samphirelug.components.placement import placer
from samphirelug.components.routing import model as routing_model
from samphirelug.components.routing import table
from samphirelug.components.store import availability as store_availability
from samphirelug.components.store import feed as store_feed
from samphirelug.components.store import follower
from samphirelug.components.store import position
from samphirelug.components.store import view as store_view
from samphirelug import forwarding_settings
from samphirelug.helpers import timer as timer_helper

_LOGGER = logging.getLogger(__name__)
# Fraction of the grace period of a stop for which the listener continues to
# accept connections, until callers have learnt that the host is stopping.
LISTEN_FRACTION = 0.35
# Reserved at the end of the grace period for closing connections.
CLOSE_MARGIN_S = 0.4
STOP_POLL_INTERVAL_S = 0.05
# A connection that was idle for less than this when the host stops may have a
# request on its way.
MIN_IDLE_BEFORE_CLOSE_S = 0.5
# Longest delay between calls to a store that does not answer, of a host that
# reads it only since the hosts that it follows cannot.
MAX_BACKOFF_S = 2.5
# Delay before a task is started again that ended with an unexpected error.
TASK_RESTART_DELAY_S = 1.0
# Time that a host looks for others before it reads the store itself, and the
# interval at which it checks for their entries.
SEARCH_PATIENCE_S = 1.0
FOLLOW_POLL_INTERVAL_S = 0.05
# Longest time of a watch of what operators change: the configuration and
# evacuations. If its answer is lost, that shows once it is overdue.
OPERATOR_WATCH_TIMEOUT_S = 4.0
# Interval at which the gauge samphirelug_belief is updated.
BELIEF_INTERVAL_S = 1.0


class ForwardingHost:
    """Hold the components of one entry host and run them."""

    def __init__(
        self,
        *,
        settings: forwarding_settings.ForwardingSettings,
        timer: timer_helper.TimerService,
        feed: store_feed.ObjectFeed,
        decoder: fleet_decoder.ObjectDecoder,
        names: http_model.HeaderNames,
        metrics: forwarding_metrics.ForwardingMetrics,
    ) -> None:
        self.settings = settings
        self.timer = timer
        self.metrics = metrics
        self.configuration = table.ConfigurationState()
        self.registry = fleet_registry.ServerRegistry()
        self.roster = fleet_roster.HostRoster(
            own=fleet_model.HostInstance(
                name=settings.name,
                incarnation=uuid.uuid4().hex[:8],
                zone=settings.zone,
                caller_address=settings.callers.text,
                peer_address=settings.peers.text,
                capacity_per_s=directory_answer.capacity_per_s(
                    cores=settings.resources.cores,
                    link_mbps=settings.resources.link_mbps,
                ),
            )
        )
        self.notice_protocol = io_datagrams.NoticeProtocol(
            roster=self.roster, timer=timer
        )
        self.availability = store_availability.StoreAvailability(timer=timer)
        self.isolation = isolation.IsolationDetector(
            availability=self.availability, roster=self.roster, timer=timer
        )
        self.placer = placer.Placer(
            registry=self.registry,
            host=settings.name,
            host_count=lambda: self.roster.count,
            is_isolated=self.isolation.is_isolated,
            sharing_hosts=self._listed_hosts,
            fair_share=fair_share.FairShare(
                weight_of=self.configuration.team_limit_per_s,
                on_refused=metrics.count_shortage_refusal,
                is_enabled=lambda: self.configuration.has_teams,
            ),
        )
        # Number of hosts that look-up answers list, as of a generation of the
        # roster and a version of the configuration.
        self.listed_hosts: tuple[tuple[int, int], int] = ((-1, 0), 0)
        resources = settings.resources
        held_limit_bytes = connection_account.held_limit_bytes(
            resources.memory_bytes
        )
        self.request_memory = held_memory.HeldMemory(
            limit_bytes=min(
                held_limit_bytes,
                int(http_const.HELD_REQUESTS_SHARE * resources.memory_bytes),
            )
        )
        self.answer_memory = held_memory.HeldMemory(
            limit_bytes=min(held_limit_bytes, http_const.MAX_HELD_ANSWER_BYTES)
        )
        # What all listeners hold for their clients.
        self.account = connection_account.ConnectionAccount(
            limit_bytes=held_limit_bytes,
            messages=(self.request_memory, self.answer_memory),
        )
        self.account.add_listener(
            "link",
            connection_account.share_limits(
                resources.max_descriptors, http_const.LINK_DESCRIPTORS_SHARE
            ),
        )
        self.sender = io_pool.PooledSender(
            timer=timer,
            names=names,
            memory=self.answer_memory,
            may_be_sent=lambda server: (
                self.registry.may_be_sent(server)
                and not self.placer.is_held(server, now=timer.monotonic())
            ),
        )
        self.sender.on_leaving.append(self._mark_leaving)
        self.sender.on_limit.append(
            lambda server, limit_per_s: self.placer.observe_limit(
                server, limit_per_s, now=timer.monotonic()
            )
        )
        self.views = self._build_views(decoder)
        self.coordinator = follow_coordinator.FollowCoordinator(
            own=self.roster.own,
            roster=self.roster,
            registry=self.registry,
            views=self.views,
            availability=self.availability,
            dialer=io_websockets.WebsocketDialer(),
            timer=timer,
            rng=random.Random(),
            drain_s=settings.drain_s,
            start_patience_s=following_const.FIRST_START_PATIENCE_S
            if settings.first_start
            else following_const.START_PATIENCE_S,
            set_direct=self._set_direct,
        )
        self.store_followers = {
            kind: follower.ObjectFollower(
                feed=feed,
                view=view,
                availability=self.availability,
                timer=timer,
                rng=random.Random(),
                max_backoff_s=self._max_backoff_s,
                confirm_interval_s=self._confirm_interval_s(kind),
            )
            for kind, view in self.views.items()
        }
        self.enrolment = enrolment.Enrolment(
            feed=feed,
            protocol=self.notice_protocol,
            view=self.views[store_feed.ObjectKind.ENTRY_HOSTS],
            timer=timer,
            first_start=settings.first_start,
        )
        self.registry.on_removed.append(self.sender.close_idle)
        self.retries = retry_window.RetryWindow(
            ratio=settings.retries.ratio,
            slack=settings.retries.slack,
            window_s=settings.retries.window_s,
        )
        self.allowance = self._build_allowance()
        self.forwarder = forwarder.Forwarder(
            timer=timer,
            configuration=self.configuration,
            placer=self.placer,
            sender=self.sender,
            retries=self.retries,
            log=request_log.RequestLog(metrics=metrics),
            host_count=lambda: self.roster.count,
            view_age_s=lambda: self.coordinator.age_s(timer.monotonic()),
            max_view_age_s=self._max_view_age_s,
            allowance=self.allowance,
        )
        self.listener = self._make_listener(
            "callers",
            handler=handler.ForwardingHandler(
                forwarder=self.forwarder, names=names
            ),
            limits=self._caller_limits,
            share=http_const.CALLER_DESCRIPTORS_SHARE,
        )
        self.roster.evacuations = fleet_evacuations.EvacuationExchange(
            view=self.views[store_feed.ObjectKind.EVACUATIONS],
            registry=self.registry,
        )
        self.stopping = asyncio.Event()
        self.roster.is_ready = lambda: self.ready
        self.roster.is_starting = lambda: (
            not self.ready and not self.stopping.is_set()
        )
        self.tasks: list[asyncio.Task[None]] = []
        # Tasks that read the store, while this host does.
        self.reading_tasks: list[asyncio.Task[None]] = []

    @property
    def ready(self) -> bool:
        """Return whether look-up answers may list this host.

        It serves only once it has read the configuration, the backend
        servers, the evacuated zones and the other hosts.
        """
        return (
            self.configuration.table is not None
            and self.coordinator.is_complete
            and not self.stopping.is_set()
        )

    def apply_settings(
        self, settings: forwarding_settings.ForwardingSettings
    ) -> tuple[list[str], list[str]]:
        """Apply changed settings; return the applied and the other ones."""
        changed = [
            name
            for name, value in settings._asdict().items()
            if getattr(self.settings, name) != value
        ]
        applied = [
            name for name in changed if name in forwarding_settings.RELOADABLE
        ]
        self.settings = self.settings._replace(
            **{name: getattr(settings, name) for name in applied}
        )
        self.retries.set_limits(
            ratio=settings.retries.ratio,
            slack=settings.retries.slack,
            window_s=settings.retries.window_s,
        )
        self.coordinator.set_drain_time(settings.drain_s)
        return applied, [name for name in changed if name not in applied]

    def addresses_for(self, *, region: str, zone: str) -> list[str]:
        """Return the caller addresses to list in a look-up answer."""
        hosts = self.roster.serving()
        if self.ready:
            hosts.append(self.roster.own)
        return directory_answer.choose_addresses(
            hosts,
            region=region,
            zone=zone,
            has_uploads=self.configuration.has_uploads,
        )

    def _listed_hosts(self) -> int | None:
        """Return how many hosts have callers, None if that is not known.

        Hosts that are out of touch count, since they may still have callers.
        """
        if self.roster.count is None:
            return None
        generation = (self.roster.generation, self.configuration.version)
        if self.listed_hosts[0] != generation:
            hosts = [record.host for record in self.roster.records.values()]
            hosts.append(self.roster.own)
            self.listed_hosts = (
                generation,
                directory_answer.count_listed(
                    hosts, has_uploads=self.configuration.has_uploads
                ),
            )
        return self.listed_hosts[1]

    def _make_listener(
        self,
        name: str,
        *,
        handler: io_pipeline.RequestHandler,
        limits: Callable[[], routing_model.CallerLimits],
        share: float,
        may_close_active: bool = False,
    ) -> io_pipeline.CallerListener:
        """Return a listener that may take a share of the descriptors."""
        connections = connection_account.share_limits(
            self.settings.resources.max_descriptors, share
        )
        return io_pipeline.CallerListener(
            handler=handler,
            limits=limits,
            timer=self.timer,
            memory=self.request_memory,
            answer_memory=self.answer_memory,
            max_connections=connections.max_connections,
            max_per_peer=connections.max_per_peer,
            may_close_active=may_close_active,
            account=self.account,
            name=name,
        )

    def serve_endpoint(
        self,
        name: str,
        *,
        address: forwarding_settings.SocketAddress,
        path: str,
        answer: io_endpoints.Answer,
        share: float = http_const.PROBE_DESCRIPTORS_SHARE,
    ) -> io_pipeline.CallerListener:
        """Answer requests without effects for a path on an address."""
        listener = self._make_listener(
            name,
            handler=io_endpoints.EndpointHandler(path=path, answer=answer),
            limits=lambda: io_endpoints.LIMITS,
            share=share,
            may_close_active=True,
        )
        listener.start_listening(host=address.host, port=address.port)
        return listener

    def answer_ready(self, query: Mapping[str, str]) -> http_model.Response:
        """Answer 200 if the host is ready, else 503."""
        del query
        return io_endpoints.render(200 if self.ready else 503)

    def answer_metrics(self, query: Mapping[str, str]) -> http_model.Response:
        """Answer with the metrics in the Prometheus text format."""
        del query
        return io_endpoints.render(
            200,
            body=self.metrics.render(),
            content_type="text/plain; version=0.0.4",
        )

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then stop gracefully."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.stopping.set)
        loop.add_signal_handler(signal.SIGINT, self.stopping.set)
        await self.notice_protocol.start()
        self.sender.start()
        if self.allowance is not None:
            self.allowance.start()
        self.listener.start_listening(
            host=self.settings.callers.host, port=self.settings.callers.port
        )
        self.timer.subscribe(
            interval_s=BELIEF_INTERVAL_S, callback=self._update_beliefs
        )
        io_websockets.serve(
            self.coordinator,
            host=self.settings.peers.host,
            port=self.settings.peers.port,
            account=self.account,
            timer=self.timer,
        )
        self.tasks = [
            asyncio.ensure_future(
                self.run_forever(self.enrolment.run, name="enrolment")
            ),
            asyncio.ensure_future(
                self.run_forever(
                    self._remove_stopped_hosts, name="stopped hosts"
                )
            ),
            asyncio.ensure_future(
                self.run_forever(self._follow, name="following")
            ),
        ]
        _LOGGER.info(
            "entry host started",
            extra={
                "incarnation": self.roster.own.incarnation,
                "zone": self.settings.zone.name,
                "region": self.settings.zone.region,
                "callers": self.settings.callers.text,
            },
        )
        await self.stopping.wait()
        await self._stop()

    async def _follow(self) -> None:
        """Follow the store once the other hosts have been looked for.

        If the store does not answer that, this host keeps trying to read it.
        """
        started_at_s = self.timer.monotonic()
        while not self.enrolment.searched and (
            self.settings.first_start
            or self.timer.monotonic() - started_at_s < SEARCH_PATIENCE_S
        ):
            await self.timer.sleep(FOLLOW_POLL_INTERVAL_S)
        while True:
            self.coordinator.tick()
            await self.timer.sleep(
                following_const.TICK_INTERVAL_S
                if self.coordinator.is_complete
                else following_const.START_TICK_INTERVAL_S
            )

    def _set_direct(self, direct: bool) -> None:
        """Start or stop reading the store."""
        for task in self.reading_tasks:
            task.cancel()
        self.reading_tasks = []
        if not direct:
            self.availability.stop_reading()
            return
        self.reading_tasks = [
            asyncio.ensure_future(self.run_forever(item.run, name=kind))
            for kind, item in self.store_followers.items()
        ]

    def _confirm_interval_s(
        self, kind: store_feed.ObjectKind
    ) -> Callable[[], float]:
        """Return the longest time of a watch of a kind.

        The answers for backend servers show that the store serves this host.
        The answer to a single watch can be lost all the same.
        """
        if kind is store_feed.ObjectKind.BACKEND_SERVERS:
            return lambda: self.coordinator.confirm_interval_s
        if kind is store_feed.ObjectKind.ENTRY_HOSTS:
            return lambda: follower.WATCH_TIMEOUT_S
        return lambda: OPERATOR_WATCH_TIMEOUT_S

    def _max_backoff_s(self) -> float:
        if self.coordinator.plan.is_watcher:
            return follower.MAX_BACKOFF_S
        return MAX_BACKOFF_S

    async def _remove_stopped_hosts(self) -> None:
        while True:
            await self.timer.sleep(fleet_const.STOPPED_CHECK_INTERVAL_S)
            if self.coordinator.plan.is_watcher:
                await self.enrolment.remove_stopped_hosts()

    async def run_forever(
        self, run: Callable[[], Awaitable[None]], *, name: str
    ) -> None:
        """Start a task again when it ends with an unexpected error.

        Otherwise this host would go on without ever learning of a change.
        """
        while True:
            try:
                await run()
            except Exception:
                _LOGGER.exception("task failed", extra={"task": name})
            await self.timer.sleep(TASK_RESTART_DELAY_S)

    async def _stop(self) -> None:
        """Announce the stop, then close connections when they are idle."""
        started_at_s = self.timer.monotonic()
        close_at_s = started_at_s + self.settings.stop_grace_s - CLOSE_MARGIN_S
        _LOGGER.info(
            "entry host stops",
            extra={"connections": len(self.listener.connections)},
        )
        self.forwarder.ends_at_s = close_at_s
        self.notice_protocol.announce_leaving()
        self.listener.draining = True
        deregistration = asyncio.ensure_future(self.enrolment.deregister())
        await self.timer.sleep(self.settings.stop_grace_s * LISTEN_FRACTION)
        self.listener.stop()
        while self.timer.monotonic() < close_at_s:
            self.listener.close_idle(min_idle_s=MIN_IDLE_BEFORE_CLOSE_S)
            if not (self.listener.busy or self.listener.connections):
                break
            await self.timer.sleep(STOP_POLL_INTERVAL_S)
        self.coordinator.close()
        for task in (*self.tasks, *self.reading_tasks, deregistration):
            task.cancel()
        _LOGGER.info(
            "entry host stopped",
            extra={
                "took_s": round(self.timer.monotonic() - started_at_s, 3),
                "connections": len(self.listener.connections),
            },
        )

    def _build_allowance(self) -> allowance_gate.TeamGate | None:
        """Return the gate of teams with a limit, None without settings."""
        bounds = self.settings.allowances
        address = self.settings.second_peers
        if bounds is None or address is None:
            return None
        rng = random.Random()
        node = allowance_node.AllowanceNode(
            own=self.roster.own,
            bounds=bounds,
            rng=rng,
            first_start=self.settings.first_start,
            now=self.timer.monotonic(),
        )
        protocol = token_datagrams.AllowanceProtocol(
            node=node,
            roster=self.roster,
            address=(address.host, address.port),
            may_own=lambda: self.ready and not self.isolation.is_isolated(),
            timer=self.timer,
        )
        return allowance_gate.TeamGate(
            configuration=self.configuration,
            protocol=protocol,
            timer=self.timer,
            metrics=self.metrics,
        )

    def _mark_leaving(self, server: fleet_model.ServerInstance) -> None:
        self.sender.close_idle(server)
        self.registry.mark_leaving(server.incarnation, source="answer")

    def _caller_limits(self) -> routing_model.CallerLimits:
        configuration = self.configuration.configuration
        if configuration is None:
            return io_pipeline.DEFAULT_LIMITS
        return configuration.limits

    def _max_view_age_s(self) -> float:
        """Return the age of the configuration up to which keys are known."""
        strict, max_age_s = self.settings.revocation
        return max_age_s if strict else math.inf

    def _build_views(
        self, decoder: fleet_decoder.ObjectDecoder
    ) -> dict[store_feed.ObjectKind, store_view.ObjectView]:
        kinds: dict[store_feed.ObjectKind, store_view.ObjectConsumer] = {
            store_feed.ObjectKind.CONFIGURATION: (
                consumers.ConfigurationConsumer(
                    state=self.configuration, decoder=decoder, timer=self.timer
                )
            ),
            store_feed.ObjectKind.BACKEND_SERVERS: consumers.ServerConsumer(
                registry=self.registry,
                decoder=decoder,
                timer=self.timer,
                is_current=lambda: self.coordinator.is_current(
                    self.timer.monotonic()
                ),
            ),
            store_feed.ObjectKind.EVACUATIONS: consumers.EvacuationConsumer(
                registry=self.registry, timer=self.timer
            ),
            store_feed.ObjectKind.ENTRY_HOSTS: host_entries.HostConsumer(
                roster=self.roster, timer=self.timer
            ),
        }
        return {
            kind: store_view.ObjectView(kind=kind, consumer=consumer)
            for kind, consumer in kinds.items()
        }

    def _update_beliefs(self) -> None:
        self.metrics.set_belief("version", self.configuration.version)
        self.metrics.set_belief("servers", len(self.registry.servers))
        self.metrics.set_belief("entry_hosts", self.roster.count or 0)
        age_s = self.coordinator.age_s(self.timer.monotonic())
        self.metrics.set_belief("view_age_s", age_s)
        shown = self.views[store_feed.ObjectKind.CONFIGURATION].revision
        self.metrics.set_belief("store_era", position.era_of(shown))
        self.metrics.set_belief("reads_store", self.coordinator.direct)
        self.metrics.set_belief("sources", len(self.coordinator.sources))
        self.metrics.set_belief("followers", len(self.coordinator.followers))
        self.metrics.set_update_bytes(self.coordinator.encoder.sent_bytes)
        for name, use in self.account.use().items():
            self.metrics.set_held(
                name,
                connections=use.connections,
                held_bytes=use.held_bytes,
                closed=self.account.closed[name],
            )
