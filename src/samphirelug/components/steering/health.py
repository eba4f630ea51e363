"""Judge the backend servers by what they do and what is said of them."""

from collections.abc import Callable
from collections.abc import Iterable
import math

from samphirelug.components.backend import model as backend_model
from samphirelug.components.peers import model as peers_model
from samphirelug.components.steering import const
from samphirelug.helpers import timer as timer_helper

_UNHEALTHY = frozenset(
    (
        backend_model.FailureKind.NOT_SENT,
        backend_model.FailureKind.TIMEOUT,
        backend_model.FailureKind.RESET,
        backend_model.FailureKind.INCOMPLETE,
    )
)


class ServerState:
    """Hold what is known of one backend server."""

    __slots__ = (
        "backoff_s",
        "cleared_at_s",
        "departed",
        "down_since_leaving",
        "failed",
        "failures",
        "incarnation",
        "latency_s",
        "leaving",
        "leaving_at_s",
        "list_leaving",
        "list_revision",
        "load",
        "load_at_s",
        "outstanding",
        "probe_at_s",
        "ramp_from_s",
    )

    def __init__(self) -> None:
        self.outstanding = 0
        self.failures = 0
        self.failed = False
        self.backoff_s = const.PROBE_BACKOFF_S
        # A good probe counts from this time on.
        self.probe_at_s = 0.0
        self.latency_s: float | None = None
        self.load = 0.0
        self.load_at_s = -math.inf
        self.leaving = False
        self.leaving_at_s = 0.0
        self.cleared_at_s = -math.inf
        # Last incarnation heard of, and those that were seen leaving.
        self.incarnation = ""
        self.departed: set[str] = set()
        self.down_since_leaving = False
        self.list_revision = 0
        self.list_leaving = False
        self.ramp_from_s = -math.inf


class ServerHealth:
    """Collect signals about backend servers; report new leaving signals."""

    def __init__(self, *, timer: timer_helper.TimerService) -> None:
        self.timer = timer
        self.states: dict[str, ServerState] = {}
        self.on_sighting: list[Callable[[peers_model.Sighting], None]] = []
        # Called when a server may be used that could not be used before.
        self.on_usable: list[Callable[[], None]] = []
        self.known: frozenset[str] | None = None

    def state(self, server: str) -> ServerState:
        """Return the state of a server, made at its first mention."""
        state = self.states.get(server)
        if state is None:
            state = self.states[server] = ServerState()
        return state

    def started(self, server: str) -> None:
        """Note that a request is being sent to the server."""
        self.state(server).outstanding += 1

    def ended(
        self,
        server: str,
        *,
        latency_s: float,
        failure: backend_model.FailureKind | None,
    ) -> None:
        """Note how a request to the server ended, latency in seconds."""
        state = self.state(server)
        state.outstanding = max(0, state.outstanding - 1)
        if failure is None or failure is backend_model.FailureKind.TIMEOUT:
            self._average(state, latency_s)
        if failure is None:
            state.failures = 0
            state.backoff_s = const.PROBE_BACKOFF_S
            return
        if failure is backend_model.FailureKind.LEAVING:
            self._mark_leaving(server, state, "", 0)
            return
        if failure not in _UNHEALTHY:
            return
        if failure is backend_model.FailureKind.NOT_SENT:
            state.down_since_leaving = state.leaving
        state.failures += 1
        if state.failures >= const.FAILURES_BEFORE_PROBE:
            self._mark_failed(state)

    def probe_failed(self, server: str, *, refused: bool) -> None:
        """Note that a health probe failed; refused: no listener at all."""
        state = self.state(server)
        if refused:
            state.down_since_leaving = state.leaving
        state.failures += 1
        if state.failures >= const.FAILURES_BEFORE_PROBE:
            self._mark_failed(state)

    def apply_report(self, report: backend_model.HealthReport) -> None:
        """Take a server's answer to a health probe."""
        state = self.state(report.server)
        now = self.timer.monotonic()
        state.load = min(1.0, max(0.0, report.load))
        state.load_at_s = now
        if report.leaving:
            stale = report.server_incarnation in state.departed
            if stale and not state.leaving:
                return
            self._mark_leaving(
                report.server, state, report.server_incarnation, 0
            )
            return
        self._note_live(report.server, state, report.server_incarnation)
        if state.failed and now >= state.probe_at_s:
            state.failed = False
            # The next failure sends it back to probing, for longer.
            state.failures = const.FAILURES_BEFORE_PROBE - 1
            state.ramp_from_s = now
            self._notify_usable()

    def apply_sighting(self, sighting: peers_model.Sighting) -> None:
        """Take a peer's report about a server."""
        state = self.state(sighting.server)
        if not sighting.leaving:
            self._apply_return(sighting, state)
            return
        if sighting.list_revision:
            if sighting.list_revision > state.list_revision:
                state.list_revision = sighting.list_revision
                state.list_leaving = True
                self._mark_leaving(
                    sighting.server, state, "", sighting.list_revision
                )
            return
        if sighting.server_incarnation in state.departed:
            return
        age_s = self.timer.monotonic() - state.cleared_at_s
        if not sighting.server_incarnation and age_s < const.CLEARED_KEEP_S:
            return
        self._mark_leaving(
            sighting.server, state, sighting.server_incarnation, 0
        )

    def apply_host_list(
        self, *, revision: int, live: Iterable[str], leaving: Iterable[str]
    ) -> None:
        """Take a revision of the host list, by server names."""
        now = self.timer.monotonic()
        for server in leaving:
            state = self.state(server)
            if revision > state.list_revision:
                state.list_revision = revision
                state.list_leaving = True
                self._mark_leaving(server, state, "", revision)
        for server in live:
            state = self.state(server)
            if revision <= state.list_revision:
                continue
            state.list_revision = revision
            lagging = now - state.leaving_at_s < const.HOST_LIST_LAG_S
            if state.leaving and (state.list_leaving or not lagging):
                self._clear(server, state, "", revision)
            state.list_leaving = False

    def set_known_servers(self, servers: Iterable[str]) -> None:
        """Take the servers of the catalogue; later ones ramp up."""
        now = self.timer.monotonic()
        names = frozenset(servers)
        # An empty catalogue is one that has not arrived yet.
        if self.known:
            for name in names - self.known:
                self.state(name).ramp_from_s = now
            for name in self.known - names:
                self.states.pop(name, None)
        self.known = names

    def is_leaving(self, server: str) -> bool:
        """Return whether any signal says that the server is leaving."""
        state = self.states.get(server)
        return state is not None and state.leaving

    def is_usable(self, server: str) -> bool:
        """Return whether new work may be sent to the server."""
        state = self.states.get(server)
        return state is None or not (state.leaving or state.failed)

    def needs_probe(self) -> tuple[str, ...]:
        """Return the servers that a good probe would bring back."""
        now = self.timer.monotonic()
        return tuple(
            name
            for name, state in self.states.items()
            if state.failed and now >= state.probe_at_s
        )

    def sightings(self) -> tuple[peers_model.Sighting, ...]:
        """Return the leaving servers, and those back for a short time."""
        now = self.timer.monotonic()
        return tuple(
            self._sighting(name, state)
            for name, state in self.states.items()
            if state.leaving or now - state.cleared_at_s < const.CLEARED_KEEP_S
        )

    def ramp(self, server: str, *, ramp_s: float) -> float:
        """Return the part of a server's capacity to use, 0.0 to 1.0."""
        state = self.states.get(server)
        if state is None or ramp_s <= 0.0:
            return 1.0
        elapsed_s = self.timer.monotonic() - state.ramp_from_s
        return min(1.0, elapsed_s / ramp_s)

    def _average(self, state: ServerState, latency_s: float) -> None:
        if state.latency_s is None:
            state.latency_s = latency_s
            return
        state.latency_s += const.LATENCY_WEIGHT * (latency_s - state.latency_s)

    def _mark_failed(self, state: ServerState) -> None:
        if state.failed:
            return
        state.failed = True
        state.probe_at_s = self.timer.monotonic() + state.backoff_s
        state.backoff_s = min(const.PROBE_BACKOFF_MAX_S, 2.0 * state.backoff_s)

    def _mark_leaving(
        self, server: str, state: ServerState, incarnation: str, revision: int
    ) -> None:
        name = incarnation or state.incarnation
        if incarnation:
            state.incarnation = incarnation
        if name:
            state.departed.add(name)
        if state.leaving:
            return
        state.leaving = True
        state.leaving_at_s = self.timer.monotonic()
        state.cleared_at_s = -math.inf
        state.down_since_leaving = False
        state.list_revision = max(state.list_revision, revision)
        self._publish(server, state)

    def _note_live(
        self, server: str, state: ServerState, incarnation: str
    ) -> None:
        if not incarnation or incarnation in state.departed:
            return
        first = not state.incarnation
        changed = incarnation != state.incarnation
        state.incarnation = incarnation
        if not state.leaving:
            if changed and not first:
                state.ramp_from_s = self.timer.monotonic()
            return
        if first and not state.down_since_leaving:
            # The leaving signal named no incarnation and the server has not
            # been seen down since: this report is a late one of the same.
            state.departed.add(incarnation)
            return
        self._clear(server, state, incarnation, state.list_revision)

    def _apply_return(
        self, sighting: peers_model.Sighting, state: ServerState
    ) -> None:
        incarnation = sighting.server_incarnation
        if incarnation and incarnation not in state.departed:
            # The peer saw a start that this host has not seen leaving.
            state.incarnation = incarnation
            if state.leaving:
                self._clear(sighting.server, state, incarnation, 0)
            return
        if sighting.list_revision > state.list_revision:
            state.list_revision = sighting.list_revision
            if state.leaving and state.list_leaving:
                self._clear(sighting.server, state, "", sighting.list_revision)
            state.list_leaving = False

    def _clear(
        self, server: str, state: ServerState, incarnation: str, revision: int
    ) -> None:
        now = self.timer.monotonic()
        if incarnation:
            state.incarnation = incarnation
        else:
            # The list vouches for whatever incarnation answers next.
            state.departed.clear()
            state.incarnation = ""
        state.leaving = False
        state.list_leaving = False
        state.list_revision = max(state.list_revision, revision)
        state.cleared_at_s = now
        state.ramp_from_s = now
        state.failures = 0
        state.failed = False
        self._publish(server, state)
        self._notify_usable()

    def _sighting(
        self, server: str, state: ServerState
    ) -> peers_model.Sighting:
        by_list = (
            state.list_leaving if state.leaving else not state.incarnation
        )
        return peers_model.Sighting(
            server=server,
            server_incarnation=state.incarnation,
            leaving=state.leaving,
            list_revision=state.list_revision if by_list else 0,
        )

    def _publish(self, server: str, state: ServerState) -> None:
        sighting = self._sighting(server, state)
        for callback in self.on_sighting:
            callback(sighting)

    def _notify_usable(self) -> None:
        for callback in self.on_usable:
            callback()
