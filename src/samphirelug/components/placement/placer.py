"""Select the server for a request, or refuse the request at once.

When load exceeds capacity, a request is queued only at a warm server where a
slot frees up soon. Every other request is refused at once, while its caller
still has time to retry.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Sequence
import logging
from typing import NamedTuple

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from samphirelug.components.backend import model as backend_model
from samphirelug.components.fleet import model as fleet_model
from samphirelug.components.fleet import registry as fleet_registry
from samphirelug.components.forwarding import model as forwarding_model
from samphirelug.components.placement import cold
from samphirelug.components.placement import const
from samphirelug.components.placement import fair_share as placement_fair_share
from samphirelug.components.placement import load as placement_load
from samphirelug.components.placement import ranking
from samphirelug.components.placement import request_limit
from samphirelug.components.placement import retry_after
from samphirelug.components.routing import model as routing_model
from samphirelug import result_codes

_LOGGER = logging.getLogger(__name__)
# A single failure of these kinds pauses the server.
_UNREACHABLE_KINDS = frozenset(
    (
        backend_model.FailureKind.NOT_SENT,
        backend_model.FailureKind.LEAVING,
        backend_model.FailureKind.MISDIRECTED,
    )
)


class Candidate(NamedTuple):
    """Hold a selected server and the data that led to its selection."""

    server: fleet_model.ServerInstance
    # Position of the server in the object's server order, from 0.
    choice: int
    # Estimated number of requests at the server.
    estimate: float
    # None if the server has not reported its load.
    report_age_s: float | None
    # Remaining cold start of the server as known to this host; 0 if warm.
    cold_for_s: float
    # Number of hosts that share the request rate of a cold server; None if
    # not known yet.
    hosts: int | None
    # Requests per second that the server takes from all hosts; None if it
    # names no limit.
    limit_per_s: float | None = None


class Placer:
    """Select servers by object, load and health."""

    def __init__(
        self,
        *,
        registry: fleet_registry.ServerRegistry,
        host: str,
        host_count: Callable[[], int | None],
        is_isolated: Callable[[], bool],
        sharing_hosts: Callable[[], int | None] | None = None,
        fair_share: placement_fair_share.FairShare | None = None,
    ) -> None:
        self.registry = registry
        self.host = host
        self.host_count = host_count
        # Number of hosts that share the limits of servers; all by default.
        self.sharing_hosts = sharing_hosts or host_count
        self.is_isolated = is_isolated
        self.ranking = ranking.ServerRanking(registry=registry)
        self.loads = placement_load.LoadTracker()
        self.retry_schedule = retry_after.RetryAfterSchedule()
        self.cold_start_limiter = cold.ColdStartLimiter(host=host)
        self.isolated_limiter = cold.IsolatedHostLimiter()
        self.request_limiter = request_limit.RequestLimiter()
        self.fair_share = fair_share or placement_fair_share.FairShare()
        registry.on_removed.append(self._remove)

    def choose(
        self,
        *,
        route: routing_model.Route,
        service: routing_model.Service,
        object_key: str,
        tried: Collection[str],
        now: float,
        team: str = "",
    ) -> Result[Candidate, result_codes.Refusal]:
        """Return a server among the object's first ones that is not full.

        The team is empty if the request has none.
        """
        full_ratio = self._full_ratio(route, service, team=team, now=now)
        ordered_servers = self.ranking.order(
            object_key=object_key,
            service=service.name,
            regions=route.allowed_regions,
        )
        full_candidates: list[Candidate] = []
        for choice, server in enumerate(ordered_servers):
            if len(full_candidates) >= const.SERVERS_PER_OBJECT:
                break
            if server.instance_id in tried:
                continue
            load = self.loads.get_or_create(server.incarnation)
            if not load.may_be_sent(now):
                continue
            cold_for_s = self._cold_for_s(server, service, now=now)
            if not self._may_be_sent(
                server, service, load, now=now, cold_for_s=cold_for_s
            ):
                continue
            if not self.request_limiter.allows(
                server.incarnation, now=now, hosts=self.sharing_hosts()
            ):
                continue
            ratio = (
                _spill_ratio(full_candidates[0])
                if full_candidates
                else full_ratio
            )
            candidate = Candidate(
                server,
                choice,
                load.estimate(now),
                load.report_age_s(now),
                cold_for_s,
                self.host_count(),
                self.request_limiter.limit_per_s(server.incarnation),
            )
            if candidate.estimate < ratio * server.slots:
                self._record_chosen(route, service, team=team, now=now)
                return Success(candidate)
            full_candidates.append(candidate)
        if full_candidates:
            if _may_queue(full_candidates):
                self._record_chosen(route, service, team=team, now=now)
                return Success(full_candidates[0])
            return Failure(
                self._refuse_full(
                    route, service, full_candidates, now, team=team
                )
            )
        return Failure(self._refuse_unusable(ordered_servers, now=now))

    def _full_ratio(
        self,
        route: routing_model.Route,
        service: routing_model.Service,
        *,
        team: str,
        now: float,
    ) -> float:
        """Return the requests per slot from which a server is full."""
        return self.fair_share.full_ratio(
            service=service.name, team=team, priority=route.priority, now=now
        )

    def _record_chosen(
        self,
        route: routing_model.Route,
        service: routing_model.Service,
        *,
        team: str,
        now: float,
    ) -> None:
        self.fair_share.record_sent(
            service=service.name, team=team, priority=route.priority, now=now
        )

    def _cold_for_s(
        self,
        server: fleet_model.ServerInstance,
        service: routing_model.Service,
        *,
        now: float,
    ) -> float:
        """Return the remaining cold start of the server, 0 if it is warm.

        Servers can become cold while their zone is evacuated, and report it
        only after its end. They count as cold for a whole cold start.
        """
        cold_until_s = server.cold_until_s
        restored_at_s = self.registry.restored_at_s.get(server.zone.name)
        if restored_at_s is not None:
            cold_until_s = max(
                cold_until_s, restored_at_s + service.cold_start_s
            )
        return max(0.0, cold_until_s - now)

    def _may_be_sent(
        self,
        server: fleet_model.ServerInstance,
        service: routing_model.Service,
        load: placement_load.ServerLoad,
        *,
        now: float,
        cold_for_s: float,
    ) -> bool:
        """Return whether a cold or possibly cold server can bear a request.

        While this host is isolated, any server can be cold.
        """
        if not cold_for_s:
            self.cold_start_limiter.end(server, now=now)
            return not self.is_isolated() or self.isolated_limiter.allows(
                server.incarnation,
                now=now,
                requests_per_s=service.cold_requests_per_s,
            )
        self.cold_start_limiter.begin(
            server, now=now, cold_for_s=cold_for_s, in_flight=load.in_flight
        )
        return self.cold_start_limiter.allows(
            server.incarnation,
            now=now,
            requests_per_s=service.cold_requests_per_s,
            hosts=self.host_count(),
        )

    def _refuse_full(
        self,
        route: routing_model.Route,
        service: routing_model.Service,
        candidates: Sequence[Candidate],
        now: float,
        *,
        team: str,
    ) -> result_codes.Refusal:
        self.fair_share.record_refused(
            service=service.name, team=team, priority=route.priority, now=now
        )
        loads = ", ".join(
            f"{candidate.server.instance_id} has {candidate.estimate:.1f}"
            f" requests for {candidate.server.slots} slots"
            for candidate in candidates
        )
        reserved = (
            " or kept for requests that go first"
            if _is_reserved(candidates[0])
            else ""
        )
        slots = sum(
            server.slots for server in self.registry.usable(service.name)
        )
        return result_codes.Refusal(
            result_codes.ResultCode.OVERLOADED,
            f"all candidate servers are full{reserved}: {loads}",
            self.retry_schedule.next_retry_after_s(
                service.name,
                priority=route.priority,
                slots=slots / (self.host_count() or 1),
                now=now,
                order=self.fair_share.retry_order(
                    service=service.name, team=team, now=now
                ),
            ),
        )

    def record_sent(
        self,
        server: fleet_model.ServerInstance,
        *,
        service: routing_model.Service,
        now: float,
    ) -> None:
        """Count a request that is about to be sent to the server."""
        self.loads.get_or_create(server.incarnation).record_sent(now)
        self.request_limiter.record_request(server.incarnation)
        if self._cold_for_s(server, service, now=now):
            self.cold_start_limiter.record_request(server.incarnation, now=now)
        elif self.is_isolated():
            self.isolated_limiter.record_request(
                server.incarnation,
                now=now,
                requests_per_s=service.cold_requests_per_s,
            )

    def record_ended(self, server: fleet_model.ServerInstance) -> None:
        """Stop counting a request that has ended at the server."""
        load = self.loads.by_incarnation.get(server.incarnation)
        if load is not None:
            load.record_ended()

    def is_held(
        self, server: fleet_model.ServerInstance, *, now: float
    ) -> bool:
        """Return whether the server wants no requests at the moment."""
        load = self.loads.by_incarnation.get(server.incarnation)
        return load is not None and now < load.held_until_s

    def observe(
        self,
        server: fleet_model.ServerInstance,
        outcome: forwarding_model.AttemptResult,
        *,
        now: float,
        took_s: float,
    ) -> None:
        """Update load and health of the server from an attempt's outcome."""
        load = self.loads.by_incarnation.get(server.incarnation)
        if load is None:
            return
        if isinstance(outcome, Success):
            success = outcome.unwrap()
            if success.retry_after_s:
                self._hold(server, load, success.retry_after_s, now=now)
            if success.report is not None:
                load.observe_report(success.report, now=now)
            if success.answer.status < 500:
                load.observe_success(took_s=took_s)
                self.retry_schedule.observe(server.service, took_s=took_s)
                return
            self._observe_failure(server, load, now, "server error")
            return
        failed_attempt = outcome.failure()
        if failed_attempt.failure.retry_after_s:
            self._hold(
                server, load, failed_attempt.failure.retry_after_s, now=now
            )
        if failed_attempt.report is not None:
            load.observe_report(failed_attempt.report, now=now)
        if failed_attempt.failure.kind is backend_model.FailureKind.REFUSED:
            # A server that refuses requests because it is full is healthy.
            return
        self._observe_failure(server, load, now, failed_attempt.failure.kind)

    def observe_limit(
        self,
        server: fleet_model.ServerInstance,
        limit_per_s: float | None,
        *,
        now: float,
    ) -> None:
        """Record the limit that an answer names; None if it names none."""
        if server.incarnation in self.loads.by_incarnation:
            self.request_limiter.observe(
                server, requests_per_s=limit_per_s, now=now
            )

    def _hold(
        self,
        server: fleet_model.ServerInstance,
        load: placement_load.ServerLoad,
        retry_after_s: float,
        *,
        now: float,
    ) -> None:
        """Send the server nothing for the time that it asked for."""
        spread = const.HOLD_SPREAD_RATIO * cold.hash_fraction(
            self.host, server.instance_id
        )
        load.hold(until_s=now + retry_after_s * (1.0 + spread))
        _LOGGER.info(
            "backend server wants no requests",
            extra={
                "server": server.instance_id,
                "retry_after_s": retry_after_s,
                "held_s": round(load.held_until_s - now, 3),
                "in_flight": load.in_flight,
            },
        )

    def _observe_failure(
        self,
        server: fleet_model.ServerInstance,
        load: placement_load.ServerLoad,
        now: float,
        reason: str,
    ) -> None:
        unreachable = reason in _UNREACHABLE_KINDS
        if load.observe_failure(now=now, unreachable=unreachable):
            _LOGGER.info(
                "backend server paused",
                extra={
                    "server": server.instance_id,
                    "reason": reason,
                    "failures_in_row": load.failures_in_row,
                    "pause_s": load.pause_s,
                },
            )

    def _remove(self, server: fleet_model.ServerInstance) -> None:
        self.loads.remove(server.incarnation)
        self.cold_start_limiter.remove(server.incarnation)
        self.isolated_limiter.remove(server.incarnation)
        self.request_limiter.remove(server.incarnation)

    def _refuse_unusable(
        self, servers: Collection[fleet_model.ServerInstance], *, now: float
    ) -> result_codes.Refusal:
        if not servers:
            return result_codes.Refusal(
                result_codes.ResultCode.NO_BACKEND_SERVER,
                "no usable server in the allowed regions",
                const.INITIAL_PAUSE_S,
            )
        waits_s = [self._wait_s(server, now=now) for server in servers]
        held = sum(wait_s > 0 for wait_s in waits_s)
        # Before the first of them ends, only servers that are unusable for
        # other reasons can become usable.
        retry_after_s = const.INITIAL_PAUSE_S
        if held == len(waits_s):
            retry_after_s = min(
                max(min(waits_s), const.MIN_RETRY_AFTER_S),
                const.MAX_HELD_RETRY_AFTER_S,
            )
        return result_codes.Refusal(
            result_codes.ResultCode.BACKEND_UNREACHABLE,
            f"all {len(servers)} servers are paused, cold or already tried;"
            f" {held} of them want no requests",
            retry_after_s,
        )

    def _wait_s(
        self, server: fleet_model.ServerInstance, *, now: float
    ) -> float:
        """Return how long the server wants no requests of this host."""
        load = self.loads.get_or_create(server.incarnation)
        return max(
            load.held_until_s - now,
            self.request_limiter.wait_s(
                server.incarnation, now=now, hosts=self.sharing_hosts()
            ),
        )


def _is_reserved(candidate: Candidate) -> bool:
    """Return whether a server's room is kept for other requests."""
    return candidate.estimate < const.FULL_RATIO * candidate.server.slots


def _spill_ratio(first: Candidate) -> float:
    """Return the requests per slot up to which a further server is used.

    A request that has to go behind others does not make another server warm
    for its object.
    """
    return 0.0 if _is_reserved(first) else const.SPILL_RATIO


def _may_queue(candidates: Sequence[Candidate]) -> bool:
    """Return whether a request may use reserved room at the first server.

    While another server of its object has a free slot, the reserve is not
    needed there.
    """
    return _is_reserved(candidates[0]) and any(
        candidate.estimate < const.SHORT_RATIO * candidate.server.slots
        for candidate in candidates
    )
