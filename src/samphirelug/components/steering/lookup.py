"""Answer look-ups with the entry hosts that a caller should use."""

from collections.abc import Callable
import math
from typing import NamedTuple, Protocol

from returns.result import Failure
from returns.result import Result
from returns.result import Success
import xxhash

from samphirelug.components.admission import scheduler
from samphirelug.components.catalogue import view as catalogue_view
from samphirelug.components.peers import mesh as peers_mesh
from samphirelug.components.peers import model as peers_model
from samphirelug.components.steering import const
from samphirelug.components.steering import model
from samphirelug.components.steering import planner as steering_planner
from samphirelug import const as shared_const
from samphirelug import core
from samphirelug.helpers import timer as timer_helper
from samphirelug import result_codes


class RunTokenIssuer(Protocol):
    """Issue run tokens; implemented by TokenIssuer."""

    def issue(
        self,
        *,
        work: str,
        host: core.EntryHost,
        home_region: str,
        clock_ms: int,
    ) -> str:
        """Return a signed token for one run of a work entry."""


class CachedAnswer(NamedTuple):
    """Cache an answer without its run token, which is never reused."""

    answer: model.LookupAnswer
    first_host: core.EntryHost
    clock_ms: int
    home_region: str
    view: catalogue_view.CatalogueView
    valid_until_s: float


class Candidates(NamedTuple):
    """Cache the heartbeats of serving hosts for all answers of a period.

    Collecting them costs more than ordering them, and under high load each
    work entry is looked up from each place in every period.
    """

    heartbeats: tuple[peers_model.Heartbeat, ...]
    view: catalogue_view.CatalogueView
    valid_until_s: float


class LookupPlanner:
    """Order the serving entry hosts for each work entry and place.

    A place is the name of a region or an availability zone.
    """

    def __init__(
        self,
        *,
        catalogue: steering_planner.CatalogueSource,
        mesh: peers_mesh.PeerMesh,
        issuer: RunTokenIssuer,
        own_heartbeat: Callable[[], peers_model.Heartbeat],
        timer: timer_helper.TimerService,
        keep_s: float = shared_const.LOOKUP_KEEP_S,
    ) -> None:
        self.keep_s = keep_s
        self.catalogue = catalogue
        self.mesh = mesh
        self.issuer = issuer
        self.own_heartbeat = own_heartbeat
        self.timer = timer
        self.cache: dict[tuple[str, str], CachedAnswer] = {}
        self.candidates: Candidates | None = None
        # By host that is behind: its catalogue position, and since when.
        self.lagging_positions: dict[str, tuple[int, float]] = {}
        self.answers_built = 0

    def answer(
        self, *, work: str, place: str
    ) -> Result[model.LookupAnswer, result_codes.Refusal]:
        """Return the entry hosts for callers of a work entry at a place.

        Fails with NO_CATALOGUE, UNKNOWN_WORK, MALFORMED_REQUEST,
        NO_ENTRY_HOST or OVERLOADED.
        """
        view = self.catalogue.view
        cached = self.cache.get((work, place))
        if (
            cached is None
            or cached.view is not view
            or self.timer.monotonic() >= cached.valid_until_s
        ):
            result = self._build_answer(view, work, place)
            if not isinstance(result, Success):
                return Failure(result.failure())
            cached = result.unwrap()
            if len(self.cache) >= const.LOOKUP_CACHE_MAX_ENTRIES:
                self.cache.clear()
            self.cache[(work, place)] = cached
        if view.works[work]["repeatable"]:
            return Success(cached.answer)
        token = self.issuer.issue(
            work=work,
            host=cached.first_host,
            home_region=cached.home_region,
            clock_ms=cached.clock_ms,
        )
        return Success(cached.answer._replace(run_token=token))

    def _build_answer(
        self, view: catalogue_view.CatalogueView, work: str, place: str
    ) -> Result[CachedAnswer, result_codes.Refusal]:
        if not view.works:
            return _refuse(
                result_codes.ResultCode.NO_CATALOGUE,
                "this entry host has no catalogue yet",
                1.0,
            )
        entry = view.works.get(work)
        if entry is None:
            return _refuse(
                result_codes.ResultCode.UNKNOWN_WORK,
                f"the catalogue has no work entry {work!r}",
                0.0,
            )
        home_region = view.region_of(place)
        if home_region is None:
            return _refuse(
                result_codes.ResultCode.MALFORMED_REQUEST,
                f"{place!r} is not a region or availability zone",
                0.0,
            )
        rank = entry["work_class"].rank
        candidates = self._current_candidates(view)
        heartbeats = list(candidates.heartbeats)
        if not heartbeats:
            return _refuse(
                result_codes.ResultCode.NO_ENTRY_HOST,
                "no entry host is serving",
                1.0,
            )
        service = entry["backend_service"]
        waits = {
            heartbeat.host.name: _wait_s(view, heartbeat, rank, service)
            for heartbeat in heartbeats
        }
        min_wait_s = min(waits.values())
        max_wait_s = min(
            const.LOOKUP_MAX_WAIT_S,
            const.LOOKUP_MAX_WAIT_FRACTION * entry["deadline_s"],
        )
        if min_wait_s > max_wait_s:
            return _refuse(
                result_codes.ResultCode.OVERLOADED,
                f"{rank.label} work waits at least {min_wait_s:.1f} s"
                " at every entry host",
                min_wait_s,
            )
        self.answers_built += 1
        heartbeats.sort(
            key=lambda heartbeat: (
                waits[heartbeat.host.name] > max_wait_s,
                *_distance_key(view, home_region, place, heartbeat.host.zone),
                self._weighted_draw(heartbeat, service),
            )
        )
        preferred = heartbeats[0]
        answer = model.LookupAnswer(
            work=work,
            rank=rank,
            keep_s=self.keep_s,
            entry_hosts=tuple(
                model.NamedEntryHost(
                    name=heartbeat.host.name,
                    availability_zone=heartbeat.host.zone.name,
                    region=heartbeat.host.zone.region,
                    url=heartbeat.host.caller_urls[rank],
                )
                for heartbeat in heartbeats[
                    : shared_const.LOOKUP_MAX_ENTRY_HOSTS
                ]
            ),
            run_token=None,
        )
        return Success(
            CachedAnswer(
                answer=answer,
                first_host=preferred.host,
                clock_ms=preferred.clock_ms,
                home_region=home_region,
                view=view,
                # The answer expires with the candidates, so that it does not
                # name a leaving host for longer.
                valid_until_s=candidates.valid_until_s,
            )
        )

    def _current_candidates(
        self, view: catalogue_view.CatalogueView
    ) -> Candidates:
        now = self.timer.monotonic()
        cached = self.candidates
        if (
            cached is None
            or cached.view is not view
            or now >= cached.valid_until_s
        ):
            cached = self.candidates = Candidates(
                tuple(self._serving_heartbeats()),
                view,
                now + const.LOOKUP_CACHE_S,
            )
        return cached

    def _serving_heartbeats(self) -> list[peers_model.Heartbeat]:
        own = self.own_heartbeat()
        now = self.timer.monotonic()
        heartbeats = [own] + [
            peer.heartbeat
            for peer in self.mesh.live_peers()
            if now - peer.heard_at_s <= shared_const.PEER_TIMEOUT_S
            and peer.heartbeat.host.name != own.host.name
        ]
        serving = [
            heartbeat
            for heartbeat in heartbeats
            if heartbeat.state is core.EntryHostState.SERVING
        ]
        newest = max(heartbeat.catalogue_revision for heartbeat in heartbeats)
        current = [
            heartbeat
            for heartbeat in serving
            if not self._is_lagging(heartbeat, newest, now)
        ]
        return current or serving

    def _is_lagging(
        self, heartbeat: peers_model.Heartbeat, newest: int, now: float
    ) -> bool:
        name = heartbeat.host.name
        position = heartbeat.catalogue_revision
        if position >= newest:
            self.lagging_positions.pop(name, None)
            return False
        known = self.lagging_positions.get(name)
        if known is None or known[0] != position:
            self.lagging_positions[name] = (position, now)
            return False
        return now - known[1] > const.LOOKUP_MAX_LAG_S

    def _weighted_draw(
        self, heartbeat: peers_model.Heartbeat, service: str
    ) -> float:
        """Return a sort key that is random, weighted by headroom.

        It orders equally near hosts. Callers cache answers for seconds, so
        always listing the host with the most headroom first would send all
        of them to the same host.
        """
        free = 1 + sum(
            headroom.free
            for headroom in heartbeat.headroom
            if headroom.service == service
            and headroom.region == heartbeat.host.zone.region
        )
        digest = xxhash.xxh64_intdigest(
            f"{self.answers_built}\0{heartbeat.host.name}".encode()
        )
        return -math.log((digest + 1) / (2**64 + 1)) / free


def _wait_s(
    view: catalogue_view.CatalogueView,
    heartbeat: peers_model.Heartbeat,
    rank: core.Rank,
    service: str,
) -> float:
    """Return the wait in seconds for a rank, 0.0 if slots are free.

    The wait in the heartbeat is the longest of the rank. Overload by one work
    entry must not cause refusals for a service that has free slots.
    """
    for headroom in heartbeat.headroom:
        region = view.regions.get(headroom.region)
        if headroom.service != service or region is None:
            continue
        reserved = sum(
            int(
                scheduler.guaranteed_fraction(region["guaranteed"], other)
                * headroom.held
            )
            for other in core.Rank
            if other < rank
        )
        if headroom.free > reserved:
            return 0.0
    return heartbeat.wait_s[rank]


def _distance_key(
    view: catalogue_view.CatalogueView,
    home_region: str,
    place: str,
    zone: core.AvailabilityZone,
) -> tuple[bool, bool, float]:
    latency_ms = view.latency_ms(home_region, zone.region)
    return (
        zone.name != place,
        zone.region != home_region,
        math.inf if latency_ms is None else latency_ms,
    )


def _refuse(
    code: result_codes.ResultCode, detail: str, retry_after_s: float
) -> Result[CachedAnswer, result_codes.Refusal]:
    return Failure(result_codes.Refusal(code, detail, retry_after_s))
