"""Report the state of an entry host to operators."""

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

_LOGGER = logging.getLogger(__name__)
SEAT_CHECK_INTERVAL_S = 1.0
# Keys of single servers and work entries are not exported as metrics, since
# they would add too many label values.
METRIC_KEY_PREFIXES = ("region:", "shift:", "link:")


class ReportedHost(Protocol):
    """Define the attributes of an entry host that a report reads."""

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
        """Return the heartbeat that this host sends to its peers."""

    def unready_reason(self) -> str | None:
        """Return why callers should not use this host, None if they may."""


class StatusReport:
    """Collect the status of an entry host from its components."""

    def __init__(self, *, entry_host: ReportedHost) -> None:
        self.entry_host = entry_host
        self.valid_seats: set[str] = set()

    def status(self) -> dict[str, Any]:
        """Return the state of this entry host and of its live peers."""
        own = self.entry_host
        heartbeat = own.heartbeat()
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
            "queued": {
                rank.label: heartbeat.queued[rank] for rank in core.Rank
            },
            "wait_s": {
                rank.label: heartbeat.wait_s[rank] for rank in core.Rank
            },
            "headroom": [
                region_headroom._asdict()
                for region_headroom in heartbeat.headroom
            ],
            "quota": self.quota(),
            "seats": self.seats(),
            "refusals": own.metrics.refusals_by_reason(),
            "store_calls": own.metrics.store_calls_by_outcome(),
            "overloaded": self.overloaded(),
            "leaving_servers": [
                sighting.server
                for sighting in heartbeat.sightings
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
        """Return the limit of each quota key and its units in each state."""
        own = self.entry_host
        borrowed = own.borrower.borrowed
        quota = {
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
            quota[key] = dict.fromkeys(
                ("limit", "share", "free", "held", "lent"), 0
            ) | {"borrowed": amount}
        return quota

    def seats(self) -> dict[str, float]:
        """Return the seconds until each seat expires; 0 once expired."""
        own = self.entry_host
        now = own.timer.monotonic()
        return {
            group: round(max(0.0, expires_at_s - now), 1)
            for group, expires_at_s in own.ledger.seat_expiries.items()
        }

    def overloaded(self) -> list[str]:
        """Return the ranks that are refused because the event loop lags."""
        lag_s = self.entry_host.lag.lag_s
        return [
            rank.label
            for rank in core.Rank
            if lag_s > gateway_const.LOOP_LAG_LIMIT_S[rank]
        ]

    def probe(self) -> dict[str, Any]:
        """Return the body of the readiness and liveness probes."""
        own = self.entry_host
        return {
            "problem": own.unready_reason(),
            "state": own.state.value,
            "overloaded": self.overloaded(),
        }

    def check_seats(self) -> None:
        """Log each seat that has expired, once."""
        seats = self.seats()
        # A released seat has no units and is not listed.
        expired = {
            group
            for group, valid_s in seats.items()
            if not valid_s and group in self.valid_seats
        }
        self.valid_seats = {
            group for group, valid_s in seats.items() if valid_s
        }
        for group in sorted(expired):
            _LOGGER.error(
                "seat in %s expired: its units are unavailable until the store"
                " confirms a renewal",
                group,
                extra={"group": group},
            )

    def catalogue_status(self) -> dict[str, Any]:
        """Return the catalogue position of this host and its live peers."""
        own = self.entry_host
        heartbeats = [own.heartbeat()]
        heartbeats += [peer.heartbeat for peer in own.mesh.live_peers()]
        return {
            "position": own.catalogue.position,
            "hosts": [
                {
                    "name": heartbeat.host.name,
                    "availability_zone": heartbeat.host.zone.name,
                    "position": heartbeat.catalogue_revision,
                    "state": heartbeat.state.value,
                }
                for heartbeat in heartbeats
            ],
            "rejected": dict(own.catalogue.rejected),
        }

    def update_metrics(self) -> None:
        """Set the gauges to the current values."""
        own = self.entry_host
        metrics = own.metrics
        metrics.catalogue_revision.set({}, own.catalogue.position)
        metrics.loop_lag.set({}, own.lag.lag_s)
        metrics.ready.set({}, int(own.unready_reason() is None))
        metrics.in_flight.set({}, own.service.in_flight)
        for rank in core.Rank:
            label = {"rank": rank.label}
            metrics.queued.set(label, own.admission.queued()[rank])
            metrics.wait.set(label, own.admission.wait_s(rank))
        # Remove regions, keys and groups that left the catalogue.
        for gauge in (metrics.headroom, metrics.units, metrics.seat_valid):
            gauge.values.clear()
        for region_headroom in own.admission.headroom():
            labels = {
                "region": region_headroom.region,
                "service": region_headroom.service,
            }
            metrics.headroom.set(
                {**labels, "state": "free"}, region_headroom.free
            )
            metrics.headroom.set(
                {**labels, "state": "share"}, region_headroom.held
            )
        for key, account in self.quota().items():
            if key.startswith(METRIC_KEY_PREFIXES):
                for state, amount in account.items():
                    metrics.units.set({"key": key, "state": state}, amount)
        for group, valid_s in self.seats().items():
            metrics.seat_valid.set({"group": group}, valid_s)
