"""Answer look-ups: which entry hosts a caller should use."""

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


class Issuer(Protocol):
    """Issue run tokens; the TokenIssuer does."""

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
    """Keep an answer for reuse; the run token is never reused."""

    answer: model.LookupAnswer
    first: core.EntryHost
    clock_ms: int
    home_region: str
    view: catalogue_view.CatalogueView
    until_s: float


class Candidates(NamedTuple):
    """Keep what peers last told; answers of one period share it.

    Collecting it costs more than ordering it, and in a flood every work
    entry and place is asked for in each period.
    """

    beats: tuple[peers_model.Heartbeat, ...]
    view: catalogue_view.CatalogueView
    until_s: float


class LookupPlanner:
    """Order the entry hosts that serve, for each work entry and place."""

    def __init__(
        self,
        *,
        catalogue: steering_planner.CatalogueSource,
        mesh: peers_mesh.PeerMesh,
        issuer: Issuer,
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
        # By host: the position that it stands still at, and since when.
        self.behind: dict[str, tuple[int, float]] = {}
        self.builds = 0

    def answer(
        self, *, work: str, place: str
    ) -> Result[model.LookupAnswer, result_codes.Refusal]:
        """Return entry hosts for callers of a work entry at a place.

        Fails with NO_CATALOGUE, UNKNOWN_WORK, MALFORMED_REQUEST,
        NO_ENTRY_HOST or OVERLOADED.
        """
        view = self.catalogue.view
        cached = self.cache.get((work, place))
        if (
            cached is None
            or cached.view is not view
            or self.timer.monotonic() >= cached.until_s
        ):
            built = self._build(view, work, place)
            if not isinstance(built, Success):
                return Failure(built.failure())
            cached = built.unwrap()
            if len(self.cache) >= const.LOOKUP_CACHE_ENTRIES:
                self.cache.clear()
            self.cache[(work, place)] = cached
        if view.works[work]["repeatable"]:
            return Success(cached.answer)
        token = self.issuer.issue(
            work=work,
            host=cached.first,
            home_region=cached.home_region,
            clock_ms=cached.clock_ms,
        )
        return Success(cached.answer._replace(run_token=token))

    def _build(
        self, view: catalogue_view.CatalogueView, work: str, place: str
    ) -> Result[CachedAnswer, result_codes.Refusal]:
        if not view.works:
            return _refuse(
                result_codes.ResultCode.NO_CATALOGUE, "no catalogue yet", 1.0
            )
        entry = view.works.get(work)
        if entry is None:
            return _refuse(
                result_codes.ResultCode.UNKNOWN_WORK,
                f"the catalogue has no work entry {work!r}",
                0.0,
            )
        home = view.region_of(place)
        if home is None:
            return _refuse(
                result_codes.ResultCode.MALFORMED_REQUEST,
                f"{place!r} is no region or availability zone",
                0.0,
            )
        rank = entry["work_class"].rank
        candidates = self._candidates(view)
        beats = list(candidates.beats)
        if not beats:
            return _refuse(
                result_codes.ResultCode.NO_ENTRY_HOST,
                "no entry host is serving",
                1.0,
            )
        service = entry["backend_service"]
        waits = {
            beat.host.name: _wait_s(view, beat, rank, service)
            for beat in beats
        }
        least_s = min(waits.values())
        bound_s = min(
            const.LOOKUP_WAIT_S, const.LOOKUP_WAIT_PART * entry["deadline_s"]
        )
        if least_s > bound_s:
            return _refuse(
                result_codes.ResultCode.OVERLOADED,
                f"{rank.label} work waits {least_s:.1f} s everywhere",
                least_s,
            )
        self.builds += 1
        beats.sort(
            key=lambda beat: (
                waits[beat.host.name] > bound_s,
                *_distance(view, home, place, beat.host.zone),
                self._draw(beat, service),
            )
        )
        first = beats[0]
        answer = model.LookupAnswer(
            work=work,
            rank=rank,
            keep_s=self.keep_s,
            entry_hosts=tuple(
                model.NamedEntryHost(
                    name=beat.host.name,
                    availability_zone=beat.host.zone.name,
                    region=beat.host.zone.region,
                    url=beat.host.caller_urls[rank],
                )
                for beat in beats[: shared_const.LOOKUP_MAX_ENTRY_HOSTS]
            ),
            run_token=None,
        )
        return Success(
            CachedAnswer(
                answer=answer,
                first=first.host,
                clock_ms=first.clock_ms,
                home_region=home,
                view=view,
                # Not later, or an answer would name a leaving host for longer.
                until_s=candidates.until_s,
            )
        )

    def _candidates(self, view: catalogue_view.CatalogueView) -> Candidates:
        now = self.timer.monotonic()
        known = self.candidates
        if known is None or known.view is not view or now >= known.until_s:
            known = self.candidates = Candidates(
                tuple(self._serving()), view, now + const.LOOKUP_REUSE_S
            )
        return known

    def _serving(self) -> list[peers_model.Heartbeat]:
        own = self.own_heartbeat()
        now = self.timer.monotonic()
        beats = [own] + [
            peer.heartbeat
            for peer in self.mesh.live_peers()
            if now - peer.heard_at_s <= shared_const.PEER_TIMEOUT_S
            and peer.heartbeat.host.name != own.host.name
        ]
        serving = [
            beat for beat in beats if beat.state is core.EntryHostState.SERVING
        ]
        newest = max(beat.catalogue_revision for beat in beats)
        current = [
            beat for beat in serving if not self._lags(beat, newest, now)
        ]
        return current or serving

    def _lags(
        self, beat: peers_model.Heartbeat, newest: int, now: float
    ) -> bool:
        name = beat.host.name
        position = beat.catalogue_revision
        if position >= newest:
            self.behind.pop(name, None)
            return False
        known = self.behind.get(name)
        if known is None or known[0] != position:
            self.behind[name] = (position, now)
            return False
        return now - known[1] > const.LOOKUP_LAG_S

    def _draw(self, beat: peers_model.Heartbeat, service: str) -> float:
        """Order equally near hosts, more often first by more headroom.

        Callers keep answers for seconds; always naming the host with the
        most headroom first would send all of them to the same host.
        """
        free = 1 + sum(
            room.free
            for room in beat.headroom
            if room.service == service and room.region == beat.host.zone.region
        )
        digest = xxhash.xxh64_intdigest(
            f"{self.builds}\0{beat.host.name}".encode()
        )
        return -math.log((digest + 1) / (2**64 + 1)) / free


def _wait_s(
    view: catalogue_view.CatalogueView,
    beat: peers_model.Heartbeat,
    rank: core.Rank,
    service: str,
) -> float:
    """Return the wait for a rank at a host, none where it has free slots.

    The heartbeat's wait is the longest of the rank: a flood of one work
    entry must not refuse those of a service that has room.
    """
    for room in beat.headroom:
        region = view.regions.get(room.region)
        if room.service != service or region is None:
            continue
        reserved = sum(
            int(
                scheduler.guaranteed_fraction(region["guaranteed"], other)
                * room.held
            )
            for other in core.Rank
            if other < rank
        )
        if room.free > reserved:
            return 0.0
    return beat.wait_s[rank]


def _distance(
    view: catalogue_view.CatalogueView,
    home: str,
    place: str,
    zone: core.AvailabilityZone,
) -> tuple[bool, bool, float]:
    latency_ms = view.latency_ms(home, zone.region)
    return (
        zone.name != place,
        zone.region != home,
        math.inf if latency_ms is None else latency_ms,
    )


def _refuse(
    code: result_codes.ResultCode, detail: str, retry_after_s: float
) -> Result[CachedAnswer, result_codes.Refusal]:
    return Failure(result_codes.Refusal(code, detail, retry_after_s))
