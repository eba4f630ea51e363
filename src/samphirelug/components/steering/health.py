"""Track the health of backend servers from requests, probes and peers."""

from collections.abc import Callable
from collections.abc import Iterable
import math

from samphirelug.components.backend import model as backend_model
from samphirelug.components.peers import model as peers_model
from samphirelug.components.steering import const
from samphirelug.helpers import timer as timer_helper

_UNHEALTHY_FAILURES = frozenset(
    (
        backend_model.FailureKind.NOT_SENT,
        backend_model.FailureKind.TIMEOUT,
        backend_model.FailureKind.RESET,
        backend_model.FailureKind.INCOMPLETE,
    )
)


class ServerState:
    """Hold the health state of one backend server."""

    __slots__ = (
        "backoff_s",
        "cleared_at_s",
        "departed_incarnations",
        "down_since_leaving",
        "failed",
        "failures",
        "incarnation",
        "latency_s",
        "leaving",
        "leaving_at_s",
        "list_revision",
        "listed_as_leaving",
        "load",
        "load_at_s",
        "outstanding",
        "probe_at_s",
        "ramp_started_at_s",
    )

    def __init__(self) -> None:
        self.outstanding = 0
        self.failures = 0
        self.failed = False
        self.backoff_s = const.INITIAL_PROBE_BACKOFF_S
        # Successful probes before this time do not make the server usable.
        self.probe_at_s = 0.0
        self.latency_s: float | None = None
        self.load = 0.0
        self.load_at_s = -math.inf
        self.leaving = False
        self.leaving_at_s = 0.0
        self.cleared_at_s = -math.inf
        # Last incarnation reported, and all that were reported as leaving.
        self.incarnation = ""
        self.departed_incarnations: set[str] = set()
        self.down_since_leaving = False
        self.list_revision = 0
        self.listed_as_leaving = False
        self.ramp_started_at_s = -math.inf


class ServerHealth:
    """Combine health signals of servers and report leaving signals."""

    def __init__(self, *, timer: timer_helper.TimerService) -> None:
        self.timer = timer
        self.states: dict[str, ServerState] = {}
        self.on_sighting: list[Callable[[peers_model.Sighting], None]] = []
        # Called when a server becomes usable again.
        self.on_usable: list[Callable[[], None]] = []
        self.known_servers: frozenset[str] | None = None

    def state(self, server: str) -> ServerState:
        """Return the state of a server, created on first access."""
        state = self.states.get(server)
        if state is None:
            state = self.states[server] = ServerState()
        return state

    def attempt_started(self, server: str) -> None:
        """Record that a request is being sent to the server."""
        self.state(server).outstanding += 1

    def attempt_ended(
        self,
        server: str,
        *,
        latency_s: float,
        failure: backend_model.FailureKind | None,
    ) -> None:
        """Record how a request to the server ended, latency in seconds."""
        state = self.state(server)
        state.outstanding = max(0, state.outstanding - 1)
        if failure is None or failure is backend_model.FailureKind.TIMEOUT:
            self._update_latency(state, latency_s)
        if failure is None:
            state.failures = 0
            state.backoff_s = const.INITIAL_PROBE_BACKOFF_S
            return
        if failure is backend_model.FailureKind.LEAVING:
            self._mark_leaving(server, state, "", 0)
            return
        if failure not in _UNHEALTHY_FAILURES:
            return
        if failure is backend_model.FailureKind.NOT_SENT:
            state.down_since_leaving = state.leaving
        state.failures += 1
        if state.failures >= const.FAILURES_BEFORE_PROBE:
            self._mark_failed(state)

    def probe_failed(self, server: str, *, not_sent: bool) -> None:
        """Record a failed probe; not_sent if no byte was sent."""
        state = self.state(server)
        if not_sent:
            state.down_since_leaving = state.leaving
        state.failures += 1
        if state.failures >= const.FAILURES_BEFORE_PROBE:
            self._mark_failed(state)

    def apply_report(self, report: backend_model.HealthReport) -> None:
        """Apply a server's answer to a health probe."""
        state = self.state(report.server)
        now = self.timer.monotonic()
        state.load = min(1.0, max(0.0, report.load))
        state.load_at_s = now
        if report.leaving:
            is_departed = (
                report.server_incarnation in state.departed_incarnations
            )
            if is_departed and not state.leaving:
                return
            self._mark_leaving(
                report.server, state, report.server_incarnation, 0
            )
            return
        self._apply_live_report(
            report.server, state, report.server_incarnation
        )
        if state.failed and now >= state.probe_at_s:
            state.failed = False
            # A single further failure takes the server out of use again, with
            # a longer backoff.
            state.failures = const.FAILURES_BEFORE_PROBE - 1
            state.ramp_started_at_s = now
            self._notify_usable()

    def apply_sighting(self, sighting: peers_model.Sighting) -> None:
        """Apply a peer's report about a server."""
        state = self.state(sighting.server)
        if not sighting.leaving:
            self._apply_cleared_sighting(sighting, state)
            return
        if sighting.list_revision:
            if sighting.list_revision > state.list_revision:
                state.list_revision = sighting.list_revision
                state.listed_as_leaving = True
                self._mark_leaving(
                    sighting.server, state, "", sighting.list_revision
                )
            return
        if sighting.server_incarnation in state.departed_incarnations:
            return
        age_s = self.timer.monotonic() - state.cleared_at_s
        if (
            not sighting.server_incarnation
            and age_s < const.CLEARED_SIGHTING_KEEP_S
        ):
            return
        self._mark_leaving(
            sighting.server, state, sighting.server_incarnation, 0
        )

    def apply_host_list(
        self, *, revision: int, live: Iterable[str], leaving: Iterable[str]
    ) -> None:
        """Apply a revision of the host list, by server names."""
        now = self.timer.monotonic()
        for server in leaving:
            state = self.state(server)
            if revision > state.list_revision:
                state.list_revision = revision
                state.listed_as_leaving = True
                self._mark_leaving(server, state, "", revision)
        for server in live:
            state = self.state(server)
            if revision <= state.list_revision:
                continue
            state.list_revision = revision
            list_may_lag = now - state.leaving_at_s < const.HOST_LIST_LAG_S
            if state.leaving and (state.listed_as_leaving or not list_may_lag):
                self._clear_leaving(server, state, "", revision)
            state.listed_as_leaving = False

    def set_known_servers(self, servers: Iterable[str]) -> None:
        """Set the servers of the catalogue; added ones get a slow start."""
        now = self.timer.monotonic()
        names = frozenset(servers)
        # An empty catalogue is treated as not received yet.
        if self.known_servers:
            for name in names - self.known_servers:
                self.state(name).ramp_started_at_s = now
            for name in self.known_servers - names:
                self.states.pop(name, None)
        self.known_servers = names

    def is_leaving(self, server: str) -> bool:
        """Return whether the server is known to be leaving."""
        state = self.states.get(server)
        return state is not None and state.leaving

    def is_usable(self, server: str) -> bool:
        """Return whether new requests may be sent to the server."""
        state = self.states.get(server)
        return state is None or not (state.leaving or state.failed)

    def servers_due_for_probe(self) -> tuple[str, ...]:
        """Return the failed servers that are due for a probe."""
        now = self.timer.monotonic()
        return tuple(
            name
            for name, state in self.states.items()
            if state.failed and now >= state.probe_at_s
        )

    def sightings(self) -> tuple[peers_model.Sighting, ...]:
        """Return sightings of leaving and recently cleared servers."""
        now = self.timer.monotonic()
        return tuple(
            self._make_sighting(name, state)
            for name, state in self.states.items()
            if state.leaving
            or now - state.cleared_at_s < const.CLEARED_SIGHTING_KEEP_S
        )

    def ramp_fraction(self, server: str, *, ramp_s: float) -> float:
        """Return the fraction of a server's capacity to use, 0.0 to 1.0."""
        state = self.states.get(server)
        if state is None or ramp_s <= 0.0:
            return 1.0
        elapsed_s = self.timer.monotonic() - state.ramp_started_at_s
        return min(1.0, elapsed_s / ramp_s)

    def _update_latency(self, state: ServerState, latency_s: float) -> None:
        if state.latency_s is None:
            state.latency_s = latency_s
            return
        state.latency_s += const.LATENCY_WEIGHT * (latency_s - state.latency_s)

    def _mark_failed(self, state: ServerState) -> None:
        if state.failed:
            return
        state.failed = True
        state.probe_at_s = self.timer.monotonic() + state.backoff_s
        state.backoff_s = min(const.MAX_PROBE_BACKOFF_S, 2.0 * state.backoff_s)

    def _mark_leaving(
        self, server: str, state: ServerState, incarnation: str, revision: int
    ) -> None:
        name = incarnation or state.incarnation
        if incarnation:
            state.incarnation = incarnation
        if name:
            state.departed_incarnations.add(name)
        if state.leaving:
            return
        state.leaving = True
        state.leaving_at_s = self.timer.monotonic()
        state.cleared_at_s = -math.inf
        state.down_since_leaving = False
        state.list_revision = max(state.list_revision, revision)
        self._publish_sighting(server, state)

    def _apply_live_report(
        self, server: str, state: ServerState, incarnation: str
    ) -> None:
        if not incarnation or incarnation in state.departed_incarnations:
            return
        is_first = not state.incarnation
        changed = incarnation != state.incarnation
        state.incarnation = incarnation
        if not state.leaving:
            if changed and not is_first:
                state.ramp_started_at_s = self.timer.monotonic()
            return
        if is_first and not state.down_since_leaving:
            # The leaving signal named no incarnation and the server has not
            # been seen down since, so this is a late report of the incarnation
            # that is leaving.
            state.departed_incarnations.add(incarnation)
            return
        self._clear_leaving(server, state, incarnation, state.list_revision)

    def _apply_cleared_sighting(
        self, sighting: peers_model.Sighting, state: ServerState
    ) -> None:
        incarnation = sighting.server_incarnation
        if incarnation and incarnation not in state.departed_incarnations:
            # The peer reports an incarnation that this host has not seen
            # leaving, so the server was restarted.
            state.incarnation = incarnation
            if state.leaving:
                self._clear_leaving(sighting.server, state, incarnation, 0)
            return
        if sighting.list_revision > state.list_revision:
            state.list_revision = sighting.list_revision
            if state.leaving and state.listed_as_leaving:
                self._clear_leaving(
                    sighting.server, state, "", sighting.list_revision
                )
            state.listed_as_leaving = False

    def _clear_leaving(
        self, server: str, state: ServerState, incarnation: str, revision: int
    ) -> None:
        now = self.timer.monotonic()
        if incarnation:
            state.incarnation = incarnation
        else:
            # The host list reports the server as live, so any incarnation
            # that answers next is accepted.
            state.departed_incarnations.clear()
            state.incarnation = ""
        state.leaving = False
        state.listed_as_leaving = False
        state.list_revision = max(state.list_revision, revision)
        state.cleared_at_s = now
        state.ramp_started_at_s = now
        state.failures = 0
        state.failed = False
        self._publish_sighting(server, state)
        self._notify_usable()

    def _make_sighting(
        self, server: str, state: ServerState
    ) -> peers_model.Sighting:
        by_list = (
            state.listed_as_leaving if state.leaving else not state.incarnation
        )
        return peers_model.Sighting(
            server=server,
            server_incarnation=state.incarnation,
            leaving=state.leaving,
            list_revision=state.list_revision if by_list else 0,
        )

    def _publish_sighting(self, server: str, state: ServerState) -> None:
        sighting = self._make_sighting(server, state)
        for callback in self.on_sighting:
            callback(sighting)

    def _notify_usable(self) -> None:
        for callback in self.on_usable:
            callback()
