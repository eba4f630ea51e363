"""Assemble the components of an entry host, and start and stop them."""

import asyncio
from collections.abc import Coroutine
from collections.abc import Iterator
import contextlib
import logging
import random
import secrets
import signal
from typing import NamedTuple

from tornado import netutil

from samphirelug.components.admission import controller
from samphirelug.components.backend import io_client
from samphirelug.components.backend import prober
from samphirelug.components.catalogue import state as catalogue_state
from samphirelug.components.catalogue import sync
from samphirelug.components.execution import executor
from samphirelug.components.execution import outcomes
from samphirelug.components.execution import tokens
from samphirelug.components.gateway import io_operator
from samphirelug.components.gateway import io_server
from samphirelug.components.gateway import service
from samphirelug.components.metrics import registry
from samphirelug.components.peers import const as peers_const
from samphirelug.components.peers import hosts
from samphirelug.components.peers import io_mesh
from samphirelug.components.peers import model as peers_model
from samphirelug.components.quota import ledger
from samphirelug.components.quota import limits
from samphirelug.components.quota import loans
from samphirelug.components.quota import model as quota_model
from samphirelug.components.quota import seat_keeper
from samphirelug.components.steering import health
from samphirelug.components.steering import lookup
from samphirelug.components.steering import planner
from samphirelug.components.store import budget
from samphirelug.components.store import io_http_store
from samphirelug import const
from samphirelug import core
from samphirelug.helpers import loop_lag
from samphirelug.helpers import timer
from samphirelug import result_codes
from samphirelug import settings as settings_module
from samphirelug import status

_LOGGER = logging.getLogger(__name__)
# Added to the time for which callers keep look-up answers, for answers that
# are still in transit.
LEAVING_MARGIN_S = 1.0
# A planned stop waits for requests in flight for up to MAX_REQUEST_S and this
# time.
STOP_MARGIN_S = 5.0
# Interval at which the start checks readiness and the stop checks for requests
# in flight.
POLL_INTERVAL_S = 0.05
# The hosts of other regions take over a region's quota shares this long after
# the last heartbeat of its last host.
TAKEOVER_DELAY_S = 30.0
# Placeholder for the hosts of a region from which no heartbeat was received
# yet. Not a valid name of a host.
PLACEHOLDER_HOST = "?"


class LastKnownHosts(NamedTuple):
    """Represent the entry hosts of a region when it last had any."""

    names: frozenset[str]
    seen_at_s: float


class EntryHostProcess:
    """Hold the components of one entry host and run them."""

    def __init__(self, *, settings: settings_module.EntryHostSettings) -> None:
        self.settings = settings
        self.timer: timer.TimerService = timer.LoopTimerService()
        self.started_at_s = self.timer.monotonic()
        self.rng = random.Random(secrets.randbits(64))
        self.metrics = registry.Metrics()
        self.lag = loop_lag.LoopLagMonitor(timer_service=self.timer)
        self.state = core.EntryHostState.STARTING
        self.refusing_new_work = False
        self.last_known_hosts: dict[str, LastKnownHosts] = {}
        self.stop_requested = asyncio.Event()
        self.tasks: set[asyncio.Task[None]] = set()
        self.listeners: list[io_server.RankListener] = []
        self.host = self._bind()
        self._build_state()
        self._build_serving()

    def _bind(self) -> core.EntryHost:
        """Bind the listening sockets and return this process's identity.

        Called first, because it fails while an earlier process of this entry
        host still runs.
        """
        settings = self.settings
        self.issuer = tokens.TokenIssuer(
            secret=settings.cluster_secret, timer=self.timer
        )
        for rank in core.Rank:
            port = settings.caller_ports[rank]
            with self._reporting_bind_error(f"{rank.label}-port", port):
                self.listeners.append(
                    io_server.RankListener(
                        rank=rank, address=settings.listen_address, port=port
                    )
                )
        with self._reporting_bind_error("peer-port", settings.peer_port):
            self.peer_socket = netutil.bind_sockets(
                settings.peer_port, settings.listen_address
            )[0]
        peer_port = self.peer_socket.getsockname()[1]
        urls = [
            f"http://{settings.advertise_address}:{listener.port}"
            for listener in self.listeners
        ]
        return core.EntryHost(
            name=settings.name,
            incarnation=secrets.token_hex(8),
            zone=core.AvailabilityZone(
                settings.availability_zone, settings.region
            ),
            caller_urls=(urls[0], urls[1], urls[2]),
            peer_url=f"ws://{settings.advertise_address}:{peer_port}",
        )

    @contextlib.contextmanager
    def _reporting_bind_error(self, flag: str, port: int) -> Iterator[None]:
        """Raise AddressUnavailableError for a port that cannot be bound."""
        try:
            yield
        except OSError as error:
            raise settings_module.AddressUnavailableError(
                flag=flag,
                address=self.settings.listen_address,
                port=port,
                error=error,
            ) from error

    def _build_state(self) -> None:
        """Build the components that hold shared state."""
        settings = self.settings
        self.store = io_http_store.HttpObjectStore(
            base_url=settings.store_url,
            budget=budget.CallBudget(timer=self.timer),
            metrics=self.metrics,
        )
        self.mesh = io_mesh.WebsocketMesh(
            host=self.host,
            secret=settings.cluster_secret,
            cluster=settings.cluster,
            seeds=settings.peers,
            timer=self.timer,
            heartbeat=self.heartbeat,
            metrics=self.metrics,
            rng=self.rng,
            sock=self.peer_socket,
        )
        self.catalogue = catalogue_state.CatalogueState(
            on_change=self._on_catalogue
        )
        self.sync = sync.CatalogueSync(
            state=self.catalogue,
            store=self.store,
            mesh=self.mesh,
            timer=self.timer,
            rng=self.rng,
            host=self.host,
        )
        self.ledger = ledger.QuotaLedger(timer=self.timer)
        self.seats = seat_keeper.SeatKeeper(
            store=self.store,
            ledger=self.ledger,
            timer=self.timer,
            rng=self.rng,
            host=self.host,
            catalogue=self.catalogue,
            hosts_of=self.hosts_of,
            settings=quota_model.SeatSettings(
                lease_s=settings.seat_lease_s,
                renew_interval_s=settings.seat_lease_s / 3,
            ),
        )
        self.borrower = loans.Borrower(
            ledger=self.ledger,
            mesh=self.mesh,
            timer=self.timer,
            host=self.host,
        )

    def _build_serving(self) -> None:
        """Build the components that serve callers and operators."""
        self.health = health.ServerHealth(timer=self.timer)
        self.planner = planner.SteeringPlanner(
            catalogue=self.catalogue,
            health=self.health,
            ledger=self.ledger,
            rng=self.rng,
            host=self.host,
        )
        self.admission = controller.AdmissionController(
            catalogue=self.catalogue,
            ledger=self.ledger,
            borrower=self.borrower,
            planner=self.planner,
            timer=self.timer,
            metrics=self.metrics,
        )
        self.backend = io_client.HttpBackendClient(timer=self.timer)
        self.outcomes = outcomes.OutcomeTable(
            host=self.host, timer=self.timer, started_at_s=self.started_at_s
        )
        self.executor = executor.Executor(
            catalogue=self.catalogue,
            admission=self.admission,
            backend=self.backend,
            health=self.health,
            outcomes=self.outcomes,
            issuer=self.issuer,
            mesh=self.mesh,
            timer=self.timer,
            rng=self.rng,
            metrics=self.metrics,
            host=self.host,
        )
        self.lookup = lookup.LookupPlanner(
            catalogue=self.catalogue,
            mesh=self.mesh,
            issuer=self.issuer,
            own_heartbeat=self.heartbeat,
            timer=self.timer,
            keep_s=self.settings.lookup_keep_s,
        )
        self.service = service.CallerService(
            host=self.host,
            catalogue=self.catalogue,
            admission=self.admission,
            executor=self.executor,
            lookup=self.lookup,
            issuer=self.issuer,
            metrics=self.metrics,
            lag=self.lag,
            timer_service=self.timer,
            host_refusal=self.host_refusal,
        )
        self.status = status.StatusReport(entry_host=self)
        with self._reporting_bind_error(
            "operator-port", self.settings.operator_port
        ):
            self.operator_server = io_operator.OperatorServer(
                address=self.settings.listen_address,
                port=self.settings.operator_port,
                status=self.status.status,
                catalogue_status=self.status.catalogue_status,
                probe=self.status.probe,
                metrics=self.metrics,
                update_metrics=self.status.update_metrics,
            )
        self.host_list = hosts.HostList(
            store=self.store,
            timer=self.timer,
            rng=self.rng,
            host=self.host,
            is_watcher=self.mesh.is_watcher,
            region_of=self.region_of_zone,
            on_entry_hosts=self.mesh.set_known_hosts,
            on_servers=self._on_listed_servers,
        )
        self.prober = prober.HealthProber(
            catalogue=self.catalogue,
            backend=self.backend,
            health=self.health,
            timer=self.timer,
            rng=self.rng,
            servers=self.probed_servers,
            interval_s=self.settings.probe_interval_s,
        )
        self._connect_components()

    def _connect_components(self) -> None:
        """Register the callbacks between components.

        The process stops when a peer reports that a newer process of the same
        entry host has superseded it.
        """
        self.health.on_sighting.append(self.mesh.broadcast)
        self.health.on_sighting.append(self._log_sighting)
        self.mesh.on_superseded.append(self.stop_requested.set)
        self.mesh.set_handler(peers_model.Sighting, self._on_sighting)
        self.mesh.set_handler(peers_model.GrantRequest, self._on_grant_request)
        self.mesh.set_handler(peers_model.UnitRequest, self._on_unit_request)
        self.mesh.set_handler(
            peers_model.GrantReturn, loans.make_return_handler(self.ledger)
        )

    def heartbeat(self) -> peers_model.Heartbeat:
        """Return the heartbeat that this entry host sends to its peers."""
        clock_s = self.timer.monotonic() - self.started_at_s
        return peers_model.Heartbeat(
            host=self.host,
            state=self.state,
            clock_ms=int(clock_s * 1000),
            catalogue_revision=self.catalogue.position,
            headroom=self.admission.headroom(),
            queued=self.admission.queued(),
            wait_s=(
                self.admission.wait_s(core.Rank.URGENT),
                self.admission.wait_s(core.Rank.INTERACTIVE),
                self.admission.wait_s(core.Rank.EXPORT),
            ),
            sightings=self.health.sightings(),
        )

    def hosts_of(self, region: str) -> frozenset[str]:
        """Return the names of a region's entry hosts; empty if it has none.

        For TAKEOVER_DELAY_S after the start of this process or the loss of
        the last host of the region, return the hosts last known instead.
        Otherwise hosts of other regions would take over the quota shares of
        the region at each start, and would return them only slowly.
        """
        hosts = [peer.heartbeat.host for peer in self.mesh.live_peers()]
        hosts.append(self.host)
        listed = self.host_list.state.entry_hosts(self.region_of_zone)
        if len(listed) > peers_const.FULL_MESH_MAX_HOSTS:
            # In a large fleet, a host has connections to some peers only.
            hosts.extend(listed)
        names = frozenset(
            host.name for host in hosts if host.zone.region == region
        )
        now = self.timer.monotonic()
        if names:
            self.last_known_hosts[region] = LastKnownHosts(names, now)
            return names
        last = self.last_known_hosts.get(
            region,
            LastKnownHosts(frozenset((PLACEHOLDER_HOST,)), self.started_at_s),
        )
        return last.names if now - last.seen_at_s < TAKEOVER_DELAY_S else names

    def region_of_zone(self, zone: str) -> str | None:
        """Return the region of a zone, None if not in the catalogue."""
        known_zone = self.catalogue.view.zones.get(zone)
        return known_zone.region if known_zone else None

    def probed_servers(self) -> list[core.BackendServer]:
        """Return the backend servers whose slots this host may hold."""
        region = self.host.zone.region
        return [
            server
            for server in self.catalogue.view.servers.values()
            if server.zone.region == region
        ]

    def host_refusal(self) -> result_codes.Refusal | None:
        """Return why this entry host refuses all new work, None if not."""
        if self.refusing_new_work:
            return result_codes.Refusal(
                result_codes.ResultCode.STOPPING,
                "this entry host is stopping; use another one",
            )
        if not self.sync.ready:
            return result_codes.Refusal(
                result_codes.ResultCode.NO_CATALOGUE,
                "this entry host has no catalogue yet; use another one",
                1.0,
            )
        return None

    def unready_reason(self) -> str | None:
        """Return why callers should not use this host, None if they may."""
        if self.state is not core.EntryHostState.SERVING:
            return f"state is {self.state}"
        if not self._has_units():
            return "no quota units: the seat has expired"
        return None

    async def run(self) -> int:
        """Serve until asked to stop; return the exit code."""
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self.stop_requested.set)
        _LOGGER.info(
            "starting entry host %s as incarnation %s",
            self.host.name,
            self.host.incarnation,
        )
        self.lag.start()
        self.operator_server.start()
        await self.mesh.start()
        for listener in self.listeners:
            listener.start(self.service)
        self._spawn(self.sync.run())
        self._spawn(self.host_list.run())
        self._spawn(self.seats.run())
        self.prober.start()
        self.timer.subscribe(
            interval_s=status.SEAT_CHECK_INTERVAL_S,
            callback=self.status.check_seats,
        )
        self._spawn(self._become_serving())
        await self.stop_requested.wait()
        await self._stop()
        return 0

    async def _become_serving(self) -> None:
        """Announce SERVING once there are a catalogue and quota units."""
        while not self.sync.ready or not self._has_units():
            await self.timer.sleep(POLL_INTERVAL_S)
        if self.state is core.EntryHostState.STARTING:
            self.state = core.EntryHostState.SERVING
            self.mesh.heartbeat_now()
            _LOGGER.info(
                "serving with catalogue position %d", self.catalogue.position
            )

    def _has_units(self) -> bool:
        key = limits.region_key(self.host.zone.region)
        return self.ledger.usable(key) > 0

    async def _stop(self) -> None:
        """Stop without interrupting requests; see design.md, section 8."""
        was_serving = self.state is core.EntryHostState.SERVING
        self.state = core.EntryHostState.LEAVING
        _LOGGER.info(
            "stopping: look-up answers no longer list this entry host"
        )
        self.mesh.heartbeat_now()
        if was_serving and self.mesh.live_peers():
            keep_s = self.settings.lookup_keep_s + LEAVING_MARGIN_S
            await self.timer.sleep(keep_s)
        self.refusing_new_work = True
        await self._wait_in_flight()
        await self.executor.hand_over()
        for listener in self.listeners:
            listener.stop_accepting()
        await self.seats.release_seats()
        self.prober.stop()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for listener in self.listeners:
            await listener.close()
        await self.operator_server.stop()
        await self.mesh.stop()
        _LOGGER.info("entry host stopped")

    async def _wait_in_flight(self) -> None:
        """Wait for requests, and for runs whose callers have disconnected."""
        end_s = self.timer.monotonic() + const.MAX_REQUEST_S + STOP_MARGIN_S
        while self._in_flight() and self.timer.monotonic() < end_s:
            await self.timer.sleep(POLL_INTERVAL_S)
        if self._in_flight():
            _LOGGER.error(
                "time limit of the stop reached with %d requests in flight",
                self._in_flight(),
            )

    def _in_flight(self) -> int:
        return self.service.in_flight + len(self.executor.runs)

    def _log_sighting(self, sighting: peers_model.Sighting) -> None:
        """Log a change of the state of a backend server."""
        _LOGGER.info(
            "backend server %s is %s",
            sighting.server,
            "leaving" if sighting.leaving else "live again",
            extra={"server": sighting.server, "leaving": sighting.leaving},
        )

    async def _on_sighting(
        self, sender: str, message: peers_model.Message
    ) -> None:
        assert isinstance(message, peers_model.Sighting)
        _LOGGER.debug("peer %s reported server %s", sender, message.server)
        self.health.apply_sighting(message)

    async def _on_grant_request(
        self, sender: str, message: peers_model.Message
    ) -> peers_model.Message:
        assert isinstance(message, peers_model.GrantRequest)
        return self.admission.grant(message, borrower=sender)

    async def _on_unit_request(
        self, sender: str, message: peers_model.Message
    ) -> peers_model.Message:
        assert isinstance(message, peers_model.UnitRequest)
        if any(
            self.borrower.is_requesting_units(unit.key)
            for unit in message.units
        ):
            # Two hosts that lend each other units of one key while both
            # request some would both run short.
            return peers_model.UnitGrant("", (), 0.0)
        return self.admission.grant_units(message, borrower=sender)

    def _on_listed_servers(
        self, states: tuple[hosts.ListedServer, ...]
    ) -> None:
        for state in states:
            names = (state.server,)
            self.health.apply_host_list(
                revision=state.changed_revision,
                live=() if state.leaving else names,
                leaving=names if state.leaving else (),
            )

    def _on_catalogue(self) -> None:
        view = self.catalogue.view
        self.ledger.set_limits(limits.quota_limits(view))
        self.health.set_known_servers(view.servers)
        self.host_list.publish()
        self.mesh.heartbeat_now()
        _LOGGER.info(
            "catalogue position %d is in force", self.catalogue.position
        )

    def _spawn(self, coroutine: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            _LOGGER.critical(
                "background task failed; stopping the entry host",
                exc_info=error,
            )
            self.stop_requested.set()
