"""Report an entry host's state to operators."""

import typing
from typing import Any

from samphirelug import core

if typing.TYPE_CHECKING:
    from samphirelug import entry_host as entry_host_module


class StatusReport:
    """Collect what operators ask for from the parts of an entry host."""

    def __init__(
        self, *, entry_host: "entry_host_module.EntryHostProcess"
    ) -> None:
        self.entry_host = entry_host

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
        for rank in core.Rank:
            queued = own.admission.queued()[rank]
            metrics.queued.set({"rank": rank.label}, queued)
        for room in own.admission.headroom():
            labels = {"region": room.region, "service": room.service}
            metrics.units.set({**labels, "state": "free"}, room.free)
            metrics.units.set({**labels, "state": "held"}, room.held)
