"""Choose the server for a request, or refuse the request at once.

Answers load above capacity: a request waits only where a warm slot frees up
soon; every other one is refused while its caller has time to come back.
"""

from collections.abc import Callable
from collections.abc import Collection
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
from samphirelug.components.placement import load as placement_load
from samphirelug.components.placement import ranking
from samphirelug.components.placement import retry_after
from samphirelug.components.routing import model as routing_model
from samphirelug import result_codes

_LOGGER = logging.getLogger(__name__)
# One such failure is enough to pause a server.
_UNREACHABLE = frozenset(
    (
        backend_model.FailureKind.NOT_SENT,
        backend_model.FailureKind.LEAVING,
        backend_model.FailureKind.MISDIRECTED,
    )
)


class Candidate(NamedTuple):
    """Hold a chosen server and what decided for it."""

    server: fleet_model.ServerInstance
    # Position in the object's order of servers.
    choice: int
    estimate: float
    # None if the server has not reported its load.
    report_age_s: float | None


class Placer:
    """Place requests by object, load and health."""

    def __init__(
        self,
        *,
        registry: fleet_registry.ServerRegistry,
        host: str,
        host_count: Callable[[], int],
    ) -> None:
        self.registry = registry
        self.host_count = host_count
        self.ranking = ranking.ServerRanking(registry=registry)
        self.loads = placement_load.LoadBook()
        self.returns = retry_after.ReturnSchedule()
        self.cold_gate = cold.ColdGate(host=host)
        registry.on_removed.append(self._forget)

    def choose(
        self,
        *,
        route: routing_model.Route,
        service: routing_model.Service,
        object_key: str,
        tried: Collection[str],
        now: float,
    ) -> Result[Candidate, result_codes.Refusal]:
        """Return a server with room among the object's first servers."""
        order = self.ranking.order(
            object_key=object_key,
            service=service.name,
            regions=route.allowed_regions,
        )
        full: list[Candidate] = []
        for choice, server in enumerate(order):
            if len(full) >= const.SERVERS_PER_OBJECT:
                break
            if server.instance_id in tried:
                continue
            load = self.loads.of(server.incarnation)
            if now < load.suspended_until_s:
                continue
            if now < server.cold_until_s and not self.cold_gate.admits(
                server.incarnation,
                now=now,
                requests_per_s=service.cold_requests_per_s,
                hosts=self.host_count(),
            ):
                continue
            ratio = const.SPILL_RATIO if full else const.FULL_RATIO
            candidate = Candidate(
                server, choice, load.estimate(now), load.report_age_s(now)
            )
            if candidate.estimate < ratio * server.slots:
                return Success(candidate)
            full.append(candidate)
        if full:
            return Failure(self._refuse_full(route, service, full, now))
        return Failure(_refuse_unusable(order))

    def _refuse_full(
        self,
        route: routing_model.Route,
        service: routing_model.Service,
        full: Collection[Candidate],
        now: float,
    ) -> result_codes.Refusal:
        loads = ", ".join(
            f"{one.server.instance_id} has {one.estimate:.1f} requests for"
            f" {one.server.slots} slots"
            for one in full
        )
        slots = sum(one.slots for one in self.registry.usable(service.name))
        return result_codes.Refusal(
            result_codes.ResultCode.OVERLOADED,
            f"no room: {loads}",
            self.returns.next_return_s(
                service.name,
                priority=route.priority,
                slots=slots / max(1, self.host_count()),
                now=now,
            ),
        )

    def sent(
        self,
        server: fleet_model.ServerInstance,
        *,
        service: routing_model.Service,
        now: float,
    ) -> None:
        """Count a request that is about to be sent."""
        self.loads.of(server.incarnation).in_flight += 1
        if now < server.cold_until_s:
            self.cold_gate.take(
                server.incarnation,
                now=now,
                requests_per_s=service.cold_requests_per_s,
                hosts=self.host_count(),
            )

    def ended(self, server: fleet_model.ServerInstance) -> None:
        """Count a request that is no longer at the server."""
        load = self.loads.loads.get(server.incarnation)
        if load is not None and load.in_flight:
            load.in_flight -= 1

    def observe(
        self,
        server: fleet_model.ServerInstance,
        outcome: forwarding_model.AttemptResult,
        *,
        now: float,
        took_s: float,
    ) -> None:
        """Learn load, health and coldness from an attempt's outcome."""
        load = self.loads.loads.get(server.incarnation)
        if load is None:
            return
        if isinstance(outcome, Success):
            answered = outcome.unwrap()
            if answered.report is not None:
                load.observe_report(answered.report, now=now)
            if answered.answer.status < 500:
                load.observe_success(took_s=took_s)
                self.returns.observe(server.service, took_s=took_s)
                return
            self._observe_failure(server, load, now, "server error")
            return
        failed = outcome.failure()
        if failed.report is not None:
            load.observe_report(failed.report, now=now)
        if failed.failure.kind is backend_model.FailureKind.REFUSED:
            # A full server is sound.
            return
        self._observe_failure(server, load, now, failed.failure.kind)

    def _observe_failure(
        self,
        server: fleet_model.ServerInstance,
        load: placement_load.ServerLoad,
        now: float,
        reason: str,
    ) -> None:
        unreachable = reason in _UNREACHABLE
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

    def _forget(self, server: fleet_model.ServerInstance) -> None:
        self.loads.forget(server.incarnation)
        self.cold_gate.forget(server.incarnation)


def _refuse_unusable(order: Collection[object]) -> result_codes.Refusal:
    if not order:
        return result_codes.Refusal(
            result_codes.ResultCode.NO_BACKEND_SERVER,
            "no usable server in the allowed regions",
            const.SUSPEND_FIRST_S,
        )
    return result_codes.Refusal(
        result_codes.ResultCode.BACKEND_UNREACHABLE,
        f"all {len(order)} servers are paused, cold or were tried",
        const.SUSPEND_FIRST_S,
    )
