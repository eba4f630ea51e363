"""Check, look up and run callers' requests, independent of sockets."""

from collections.abc import Callable
from collections.abc import Mapping
from typing import NamedTuple

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from samphirelug.components.admission import controller
from samphirelug.components.catalogue import model as catalogue_model
from samphirelug.components.catalogue import state as catalogue_state
from samphirelug.components.execution import executor
from samphirelug.components.execution import tokens
from samphirelug.components.gateway import const as gateway_const
from samphirelug.components.gateway import model
from samphirelug.components.gateway import parsing
from samphirelug.components.metrics import registry
from samphirelug.components.steering import lookup
from samphirelug.components.steering import model as steering_model
from samphirelug import const
from samphirelug import core
from samphirelug.helpers import logging as logging_helper
from samphirelug.helpers import loop_lag
from samphirelug.helpers import timer
from samphirelug import result_codes


class CheckedRequest(NamedTuple):
    """Hold a request that passed the checks of its header block."""

    route: model.RunRoute
    headers: model.RunHeaders
    method: str
    max_body_bytes: int
    deadline_at_s: float
    home_region: str


class CallerService:
    """Check header blocks, look up entry hosts and run requests."""

    def __init__(
        self,
        *,
        host: core.EntryHost,
        catalogue: catalogue_state.CatalogueState,
        admission: controller.AdmissionController,
        executor: executor.Executor,
        lookup: lookup.LookupPlanner,
        issuer: tokens.TokenIssuer,
        metrics: registry.Metrics,
        lag: loop_lag.LoopLagMonitor,
        timer_service: timer.TimerService,
        host_refusal: Callable[[], result_codes.Refusal | None],
    ) -> None:
        self.host = host
        self.catalogue = catalogue
        self.admission = admission
        self.executor = executor
        self.lookup = lookup
        self.issuer = issuer
        self.metrics = metrics
        self.lag = lag
        self.timer = timer_service
        self.refusal_log = logging_helper.RefusalLog(
            timer_service=timer_service
        )
        # Function that returns a refusal while the entry host accepts no new
        # work.
        self.host_refusal = host_refusal
        self.buffered_bytes = 0
        # Exchanges between the header block and the response.
        self.in_flight = 0

    def check_headers(
        self,
        *,
        rank: core.Rank,
        method: str,
        route: model.RunRoute,
        fields: Mapping[str, str],
    ) -> Result[CheckedRequest, result_codes.Refusal]:
        """Check a request to run by its header block alone."""
        early_refusal = self._overload_refusal(rank) or self.host_refusal()
        if early_refusal is not None and not self._may_have_run(fields):
            return Failure(early_refusal)
        parsed = parsing.parse_headers(fields)
        if isinstance(parsed, Failure):
            return parsed
        headers = parsed.unwrap()
        work = self.catalogue.view.works.get(route.work)
        refusal = self._work_refusal(rank, route, headers, work)
        if refusal is not None and not self._may_have_run(fields):
            return Failure(refusal)
        if self.buffered_bytes > gateway_const.MAX_BUFFERED_BYTES:
            return Failure(self._memory_refusal(fields))
        # A request with a used token is answered by the token's outcome, even
        # if the work entry has been changed or deleted since.
        max_body_bytes = const.MAX_BODY_BYTES
        if work is not None and refusal is None:
            max_body_bytes = work["max_body_bytes"]
        limit_s = work["deadline_s"] if work else const.MAX_REQUEST_S
        deadline_s = min(headers.deadline_s or limit_s, limit_s)
        deadline_at_s = self.timer.monotonic() + deadline_s
        home_region = self._home_region(headers)
        refusal = self.admission.refusal_for(
            work=route.work,
            home_region=home_region,
            deadline_at_s=deadline_at_s,
            body_bytes=headers.content_length or 0,
        )
        if refusal is not None and not self._may_have_run(fields):
            return Failure(refusal)
        return Success(
            CheckedRequest(
                route=route,
                headers=headers,
                method=method,
                max_body_bytes=max_body_bytes,
                deadline_at_s=deadline_at_s,
                home_region=home_region,
            )
        )

    async def run(
        self,
        *,
        request: CheckedRequest,
        rank: core.Rank,
        header_fields: list[tuple[str, str]],
        body: bytes,
    ) -> Result[core.Answer, result_codes.Refusal]:
        """Run a checked request with its complete body."""
        return await self.executor.run(
            core.CallerRequest(
                request_id=request.headers.request_id,
                work=request.route.work,
                rank=rank,
                method=request.method,
                path=request.route.path,
                query=request.route.query,
                headers=(
                    *parsing.forwarded_headers(header_fields),
                    (const.HEADER_HOME_REGION, request.home_region),
                ),
                body=body,
                deadline_at_s=request.deadline_at_s,
                home_region=request.home_region,
                run_token=request.headers.run_token,
            )
        )

    def look_up(
        self, route: model.LookupRoute
    ) -> Result[steering_model.LookupAnswer, result_codes.Refusal]:
        """Return the entry hosts for a work entry near a place."""
        if not self.catalogue.position:
            return Failure(
                result_codes.Refusal(
                    result_codes.ResultCode.NO_CATALOGUE,
                    "this entry host has no catalogue yet",
                    gateway_const.DEFAULT_RETRY_AFTER_S,
                )
            )
        place = route.place or self.host.zone.name
        return self.lookup.answer(work=route.work, place=place)

    def _work_refusal(
        self,
        rank: core.Rank,
        route: model.RunRoute,
        headers: model.RunHeaders,
        work: catalogue_model.WorkEntry | None,
    ) -> result_codes.Refusal | None:
        """Return a refusal if the work entry does not allow the request."""
        if work is None:
            return result_codes.Refusal(
                result_codes.ResultCode.UNKNOWN_WORK,
                f"the catalogue has no work entry {route.work[:63]!r}",
            )
        if work["work_class"].rank is not rank:
            return result_codes.Refusal(
                result_codes.ResultCode.WRONG_ENTRY_HOST,
                f"{route.work} has rank {work['work_class'].rank.label}; "
                f"this listener serves {rank.label}",
            )
        if not work["repeatable"] and headers.run_token is None:
            return result_codes.Refusal(
                result_codes.ResultCode.TOKEN_MISSING,
                f"{route.work} may run only once: look it up and send the "
                f"token in {const.HEADER_RUN_TOKEN}",
            )
        if (headers.content_length or 0) > work["max_body_bytes"]:
            return result_codes.Refusal(
                result_codes.ResultCode.BODY_TOO_LARGE,
                f"body is {headers.content_length} bytes; allowed is "
                f"{work['max_body_bytes']}",
            )
        return None

    def _memory_refusal(
        self, fields: Mapping[str, str]
    ) -> result_codes.Refusal:
        """Return a refusal; ENTRY_HOST_LOST if the work may have run."""
        code = result_codes.ResultCode.OVERLOADED
        if self._may_have_run(fields):
            code = result_codes.ResultCode.ENTRY_HOST_LOST
        return result_codes.Refusal(
            code,
            "the memory for request bodies is full",
            gateway_const.DEFAULT_RETRY_AFTER_S,
        )

    def _overload_refusal(
        self, rank: core.Rank
    ) -> result_codes.Refusal | None:
        limit_s = gateway_const.LOOP_LAG_LIMIT_S[rank]
        if self.lag.lag_s <= limit_s:
            return None
        return result_codes.Refusal(
            result_codes.ResultCode.LOOP_OVERLOADED,
            f"the event loop lags by more than {limit_s} s",
            gateway_const.DEFAULT_RETRY_AFTER_S,
        )

    def _may_have_run(self, fields: Mapping[str, str]) -> bool:
        """Return whether the work of the request's run token may have run.

        A refusal that reports "not run" could then be untrue.
        """
        token = fields.get(const.HEADER_RUN_TOKEN)
        return token is not None and not self.executor.is_unused(token)

    def _home_region(self, headers: model.RunHeaders) -> str:
        if headers.run_token is not None:
            token = self.issuer.decode(headers.run_token)
            if isinstance(token, Success):
                region: str = token.unwrap().home_region
                return region
        place = headers.home_region or ""
        return self.catalogue.view.region_of(place) or self.host.zone.region
