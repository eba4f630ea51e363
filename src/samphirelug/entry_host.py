"""Wire the parts of an entry host, start them and stop them in order."""

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

LOGGER = logging.getLogger(__name__)
# Time added to LOOKUP_KEEP_S for look-up answers still on their way.
LEAVING_MARGIN_S = 1.0
# Upper bound of the last steps of a planned stop.
STOP_MARGIN_S = 5.0
IN_FLIGHT_POLL_S = 0.05
# Hosts of another region take over its shares this long after its last host
# was heard.
ADOPT_AFTER_S = 30.0
# Stands for the hosts of a region before any was heard; not a valid name.
UNHEARD_HOST = "?"


class LastHosts(NamedTuple):
    """Hold the entry hosts that a region had, and when."""

    names: frozenset[str]
    at_s: float


class EntryHostProcess:
    """Own every part of one entry host."""

    def __init__(self, *, settings: settings_module.EntryHostSettings) -> None:
        self.settings = settings
        self.timer: timer.TimerService = timer.LoopTimerService()
        self.started_at_s = self.timer.monotonic()
        self.rng = random.Random(secrets.randbits(64))
        self.metrics = registry.Metrics()
        self.lag = loop_lag.LoopLagMonitor(timer_service=self.timer)
        self.state = core.EntryHostState.STARTING
        self.refusing_new_work = False
        self.last_hosts_of: dict[str, LastHosts] = {}
        self.stop_requested = asyncio.Event()
        self.tasks: set[asyncio.Task[None]] = set()
        self.listeners: list[io_server.RankListener] = []
        self.host = self._bind()
        self._build_state()
        self._build_serving()

    def _bind(self) -> core.EntryHost:
        """Take the addresses first: it proves that no predecessor runs."""
        settings = self.settings
        self.issuer = tokens.TokenIssuer(
            secret=settings.cluster_secret, timer=self.timer
        )
        for rank in core.Rank:
            port = settings.caller_ports[rank]
            with self._binding(f"{rank.label}-port", port):
                self.listeners.append(
                    io_server.RankListener(
                        rank=rank, address=settings.listen_address, port=port
                    )
                )
        with self._binding("peer-port", settings.peer_port):
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
    def _binding(self, flag: str, port: int) -> Iterator[None]:
        """Name the setting whose address cannot be listened on."""
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
        """Build the parts that hold shared state."""
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
        """Build the parts that look up, admit, run and answer."""
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
            host_refusal=self.refusing,
        )
        self.status = status.StatusReport(entry_host=self)
        with self._binding("operator-port", self.settings.operator_port):
            self.operator = io_operator.OperatorServer(
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
        self._connect_parts()

    def _connect_parts(self) -> None:
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
        """Return what this entry host tells its peers of itself."""
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
        """Return the entry hosts of a region; empty once it has none.

        A region whose hosts have not been heard yet or were lost only now
        keeps those last known, since other hosts would otherwise take its
        shares at each start and give them back slowly.
        """
        hosts = [peer.heartbeat.host for peer in self.mesh.live_peers()]
        hosts.append(self.host)
        listed = self.host_list.state.entry_hosts(self.region_of_zone)
        if len(listed) > peers_const.FULL_MESH_MAX_HOSTS:
            # Only some hosts of a large fleet are heard directly.
            hosts.extend(listed)
        names = frozenset(
            host.name for host in hosts if host.zone.region == region
        )
        now = self.timer.monotonic()
        if names:
            self.last_hosts_of[region] = LastHosts(names, now)
            return names
        last = self.last_hosts_of.get(
            region, LastHosts(frozenset((UNHEARD_HOST,)), self.started_at_s)
        )
        return last.names if now - last.at_s < ADOPT_AFTER_S else names

    def region_of_zone(self, zone: str) -> str | None:
        """Return the region of an availability zone of the catalogue."""
        found = self.catalogue.view.zones.get(zone)
        return found.region if found else None

    def probed_servers(self) -> list[core.BackendServer]:
        """Return the servers that this host may hold slots of."""
        region = self.host.zone.region
        return [
            server
            for server in self.catalogue.view.servers.values()
            if server.zone.region == region
        ]

    def refusing(self) -> result_codes.Refusal | None:
        """Return why new work is refused at this entry host, if it is."""
        if self.refusing_new_work:
            return result_codes.Refusal(
                result_codes.ResultCode.STOPPING,
                "this entry host is stopping; use the next one",
            )
        if not self.sync.ready:
            return result_codes.Refusal(
                result_codes.ResultCode.NO_CATALOGUE,
                "this entry host has no catalogue yet; use the next one",
                1.0,
            )
        return None

    def not_ready(self) -> str | None:
        """Return why callers should not be sent here, if so."""
        if self.state is not core.EntryHostState.SERVING:
            return f"state is {self.state}"
        if not self._has_units():
            return "no quota units: the seat has lapsed"
        return None

    async def run(self) -> int:
        """Serve until asked to stop; return the exit code."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop_requested.set)
        LOGGER.info(
            "entry host %s starts as incarnation %s",
            self.host.name,
            self.host.incarnation,
        )
        self.lag.start()
        self.operator.start()
        await self.mesh.start()
        for listener in self.listeners:
            listener.start(self.service)
        self._spawn(self.sync.run())
        self._spawn(self.host_list.run())
        self._spawn(self.seats.run())
        self.prober.start()
        self.timer.subscribe(
            interval_s=status.SEAT_CHECK_S, callback=self.status.check_seats
        )
        self._spawn(self._become_serving())
        await self.stop_requested.wait()
        await self._stop()
        return 0

    async def _become_serving(self) -> None:
        while not self.sync.ready or not self._has_units():
            await self.timer.sleep(IN_FLIGHT_POLL_S)
        if self.state is core.EntryHostState.STARTING:
            self.state = core.EntryHostState.SERVING
            self.mesh.heartbeat_now()
            LOGGER.info(
                "serving with catalogue position %d", self.catalogue.position
            )

    def _has_units(self) -> bool:
        key = limits.region_key(self.host.zone.region)
        return self.ledger.usable(key) > 0

    async def _stop(self) -> None:
        """Stop without cutting off a request; see design.md, section 8."""
        was_serving = self.state is core.EntryHostState.SERVING
        self.state = core.EntryHostState.LEAVING
        LOGGER.info("leaving: look-ups name other entry hosts from now on")
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
        await self.operator.stop()
        await self.mesh.stop()
        LOGGER.info("stopped")

    async def _wait_in_flight(self) -> None:
        """Wait for requests, and for run tokens whose callers have left."""
        end_s = self.timer.monotonic() + const.MAX_REQUEST_S + STOP_MARGIN_S
        while self._in_flight() and self.timer.monotonic() < end_s:
            await self.timer.sleep(IN_FLIGHT_POLL_S)
        if self._in_flight():
            LOGGER.error(
                "%d requests still in flight at the bound of the stop",
                self._in_flight(),
            )

    def _in_flight(self) -> int:
        return self.service.in_flight + len(self.executor.runs)

    def _log_sighting(self, sighting: peers_model.Sighting) -> None:
        """Log a change of a server's state, once for each change."""
        LOGGER.info(
            "server %s is %s",
            sighting.server,
            "leaving" if sighting.leaving else "live again",
            extra={"server": sighting.server, "leaving": sighting.leaving},
        )

    async def _on_sighting(
        self, sender: str, message: peers_model.Message
    ) -> None:
        assert isinstance(message, peers_model.Sighting)
        LOGGER.debug("%s reports server %s", sender, message.server)
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
            # Two hosts that pass each other their units both lack them.
            return peers_model.UnitGrant("", (), 0.0)
        return self.admission.grant_units(message, borrower=sender)

    def _on_listed_servers(
        self, states: tuple[hosts.ServerState, ...]
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
        LOGGER.info("catalogue position %d in force", self.catalogue.position)

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            LOGGER.critical("a part has failed; stopping", exc_info=error)
            self.stop_requested.set()
