"""Report an entry host's state to operators."""

import logging
from typing import Any
from typing import Protocol

from samphirelug.components.admission import controller
from samphirelug.components.catalogue import state as catalogue_state
from samphirelug.components.gateway import const as gateway_const
from samphirelug.components.gateway import service
from samphirelug.components.metrics import registry
from samphirelug.components.peers import mesh
from samphirelug.components.peers import model as peers_model
from samphirelug.components.quota import ledger
from samphirelug.components.quota import loans
from samphirelug import core
from samphirelug.helpers import loop_lag
from samphirelug.helpers import timer as timer_helper

LOGGER = logging.getLogger(__name__)
SEAT_CHECK_S = 1.0
# Keys of single servers and work entries would be too many labels.
METRIC_KEYS = ("region:", "shift:", "link:")


class ReportedHost(Protocol):
    """Name the parts of an entry host that are reported."""

    host: core.EntryHost
    state: core.EntryHostState
    started_at_s: float
    timer: timer_helper.TimerService
    lag: loop_lag.LoopLagMonitor
    metrics: registry.Metrics
    catalogue: catalogue_state.CatalogueState
    service: service.CallerService
    admission: controller.AdmissionController
    ledger: ledger.QuotaLedger
    borrower: loans.Borrower

    @property
    def mesh(self) -> mesh.PeerMesh:
        """Return the connections to other entry hosts."""

    def heartbeat(self) -> peers_model.Heartbeat:
        """Return the host's own heartbeat."""

    def not_ready(self) -> str | None:
        """Return why callers should not use the host, None if they may."""


class StatusReport:
    """Collect what operators ask for from the parts of an entry host."""

    def __init__(self, *, entry_host: ReportedHost) -> None:
        self.entry_host = entry_host
        self.valid_seats: set[str] = set()

    def status(self) -> dict[str, Any]:
        """Return this entry host's own state and what it knows of peers."""
        own = self.entry_host
        beat = own.heartbeat()
        now = own.timer.monotonic()
        return {
            "name": own.host.name,
            "incarnation": own.host.incarnation,
            "availability_zone": own.host.zone.name,
            "region": own.host.zone.region,
            "state": own.state.value,
            "uptime_s": round(now - own.started_at_s, 3),
            "catalogue_position": own.catalogue.position,
            "loop_lag_s": round(own.lag.lag_s, 4),
            "in_flight": own.service.in_flight,
            "queued": {rank.label: beat.queued[rank] for rank in core.Rank},
            "wait_s": {rank.label: beat.wait_s[rank] for rank in core.Rank},
            "headroom": [room._asdict() for room in beat.headroom],
            "quota": self.quota(),
            "seats": self.seats(),
            "refusals": own.metrics.refusals_by_reason(),
            "store_calls": own.metrics.store_calls_by_outcome(),
            "overloaded": self.overloaded(),
            "leaving_servers": [
                sighting.server
                for sighting in beat.sightings
                if sighting.leaving
            ],
            "peers": [
                {
                    "name": peer.heartbeat.host.name,
                    "availability_zone": peer.heartbeat.host.zone.name,
                    "state": peer.heartbeat.state.value,
                    "catalogue_position": peer.heartbeat.catalogue_revision,
                    "heard_s_ago": round(now - peer.heard_at_s, 3),
                }
                for peer in own.mesh.live_peers()
            ],
        }

    def quota(self) -> dict[str, dict[str, int]]:
        """Return the units by key that are own, in use, lent or borrowed."""
        own = self.entry_host
        borrowed = own.borrower.borrowed
        found = {
            account.key: {
                "limit": account.limit,
                "share": account.share,
                "free": max(0, account.share - account.in_use),
                "held": account.in_use - account.lent,
                "lent": account.lent,
                "borrowed": borrowed.pop(account.key, 0),
            }
            for account in own.ledger.accounts
            if account.share or account.in_use or account.key in borrowed
        }
        for key, amount in borrowed.items():
            found[key] = dict.fromkeys(
                ("limit", "share", "free", "held", "lent"), 0
            ) | {"borrowed": amount}
        return found

    def seats(self) -> dict[str, float]:
        """Return the seconds that each seat stays valid; 0 once lapsed."""
        own = self.entry_host
        now = own.timer.monotonic()
        return {
            group: round(max(0.0, until_s - now), 1)
            for group, until_s in own.ledger.seat_expiries.items()
        }

    def overloaded(self) -> list[str]:
        """Return the ranks that are refused since the event loop lags."""
        lag_s = self.entry_host.lag.lag_s
        return [
            rank.label
            for rank in core.Rank
            if lag_s > gateway_const.LOOP_LAG_LIMIT_S[rank]
        ]

    def probe(self) -> dict[str, Any]:
        """Return what the probes say."""
        own = self.entry_host
        return {
            "problem": own.not_ready(),
            "state": own.state.value,
            "overloaded": self.overloaded(),
        }

    def check_seats(self) -> None:
        """Log each seat that has lapsed, once."""
        seats = self.seats()
        # A seat that was given back has no units and is not in the list.
        lapsed = {
            group
            for group, left_s in seats.items()
            if not left_s and group in self.valid_seats
        }
        self.valid_seats = {group for group, left_s in seats.items() if left_s}
        for group in sorted(lapsed):
            LOGGER.error(
                "seat in %s lapsed: its units are out of use until the store"
                " confirms a renewal",
                group,
                extra={"group": group},
            )

    def catalogue_status(self) -> dict[str, Any]:
        """Return the position in force at each known entry host."""
        own = self.entry_host
        beats = [own.heartbeat()]
        beats += [peer.heartbeat for peer in own.mesh.live_peers()]
        return {
            "position": own.catalogue.position,
            "hosts": [
                {
                    "name": beat.host.name,
                    "availability_zone": beat.host.zone.name,
                    "position": beat.catalogue_revision,
                    "state": beat.state.value,
                }
                for beat in beats
            ],
            "rejected": dict(own.catalogue.rejected),
        }

    def update_metrics(self) -> None:
        """Set the gauges to the present values."""
        own = self.entry_host
        metrics = own.metrics
        metrics.catalogue_revision.set({}, own.catalogue.position)
        metrics.loop_lag.set({}, own.lag.lag_s)
        metrics.ready.set({}, int(own.not_ready() is None))
        metrics.in_flight.set({}, own.service.in_flight)
        for rank in core.Rank:
            label = {"rank": rank.label}
            metrics.queued.set(label, own.admission.queued()[rank])
            metrics.wait.set(label, own.admission.wait_s(rank))
        # Regions, keys and groups come and go with the catalogue.
        for gauge in (metrics.headroom, metrics.units, metrics.seat_valid):
            gauge.values.clear()
        for room in own.admission.headroom():
            labels = {"region": room.region, "service": room.service}
            metrics.headroom.set({**labels, "state": "free"}, room.free)
            metrics.headroom.set({**labels, "state": "share"}, room.held)
        for key, account in self.quota().items():
            if key.startswith(METRIC_KEYS):
                for state, amount in account.items():
                    metrics.units.set({"key": key, "state": state}, amount)
        for group, left_s in self.seats().items():
            metrics.seat_valid.set({"group": group}, left_s)
