"""Choose regions and backend servers for requests."""

import math
import random
from typing import Protocol

from samphirelug.components.catalogue import view as catalogue_view
from samphirelug.components.steering import const
from samphirelug.components.steering import health as steering_health
from samphirelug.components.steering import model
from samphirelug import core


class CatalogueSource(Protocol):
    """Give the catalogue in force."""

    @property
    def view(self) -> catalogue_view.CatalogueView:
        """Return the view, replaced as a whole at each change."""


class UnitCounts(Protocol):
    """Count quota units; the ledger does."""

    def usable(self, key: str) -> int:
        """Return own units of the key, 0 once the seat has lapsed."""

    def free(self, key: str) -> int:
        """Return usable units that nothing holds."""


class SteeringPlanner:
    """Order regions and servers by the units at hand and observed health."""

    def __init__(
        self,
        *,
        catalogue: CatalogueSource,
        health: steering_health.ServerHealth,
        ledger: UnitCounts,
        rng: random.Random,
        host: core.EntryHost,
    ) -> None:
        self.catalogue = catalogue
        self.health = health
        self.ledger = ledger
        self.rng = rng
        self.host = host

    def regions_for(self, request: core.CallerRequest) -> tuple[str, ...]:
        """Return the regions that may serve, home first, then by distance."""
        return self.regions_of(
            work=request.work, home_region=request.home_region
        )

    def regions_of(self, *, work: str, home_region: str) -> tuple[str, ...]:
        """Return the regions that may serve a work entry's callers."""
        view = self.catalogue.view
        entry = view.works.get(work)
        if entry is None:
            return ()
        allowed = entry.get("regions")
        service = entry["backend_service"]
        return tuple(
            region
            for region in view.regions_by_distance(home_region)
            if (allowed is None or region in allowed)
            and view.servers_in(service=service, region=region)
        )

    def servers_for(
        self, *, service: str, region: str, excluded: frozenset[str]
    ) -> tuple[core.BackendServer, ...]:
        """Return servers with a free slot, in order of preference."""
        view = self.catalogue.view
        ramp_s = view.services[service]["ramp_s"]
        chosen: list[core.BackendServer] = []
        ramping: list[core.BackendServer] = []
        for server in view.servers_in(service=service, region=region):
            name = server.name
            if (
                name in excluded
                or not self.health.is_usable(name)
                or self.ledger.free(f"server:{name}") < 1
            ):
                continue
            part = self.health.ramp(name, ramp_s=ramp_s)
            if part >= 1.0:
                chosen.append(server)
                continue
            # While no other server has a free slot the choice alone would
            # send everything here, so the slots in use are bounded as well.
            bound = max(1, math.ceil(part * server.slots))
            if self.health.state(name).outstanding >= bound:
                continue
            if self.rng.random() < part:
                chosen.append(server)
            else:
                ramping.append(server)
        return self._prefer(chosen) + self._prefer(ramping)

    def has_servers(self, *, service: str, region: str) -> bool:
        """Return whether a server of the service in the region is usable."""
        view = self.catalogue.view
        return any(
            self.health.is_usable(server.name)
            for server in view.servers_in(service=service, region=region)
        )

    def slots(self, *, service: str, region: str) -> model.SlotCount:
        """Return this host's slots of the usable servers in a region."""
        usable = free = 0
        view = self.catalogue.view
        for server in view.servers_in(service=service, region=region):
            if not self.health.is_usable(server.name):
                continue
            key = f"server:{server.name}"
            usable += self.ledger.usable(key)
            free += max(0, self.ledger.free(key))
        return model.SlotCount(usable=usable, free=free)

    def cost(self, server: core.BackendServer, *, latency_s: float) -> float:
        """Return the cost of one more request, against a usual latency."""
        state = self.health.state(server.name)
        cost = (state.outstanding + 1) / server.slots
        cost += const.FAILURE_COST * state.failures
        if state.latency_s is not None and latency_s > 0.0:
            ratio = state.latency_s / latency_s - 1.0
            cost += const.LATENCY_COST * min(const.LATENCY_RATIO_MAX, ratio)
        age_s = self.health.timer.monotonic() - state.load_at_s
        if age_s < const.LOAD_REPORT_MAX_AGE_S:
            cost += const.LOAD_COST * state.load
        return cost

    def _prefer(
        self, servers: list[core.BackendServer]
    ) -> tuple[core.BackendServer, ...]:
        if len(servers) < 2:
            return tuple(servers)
        order = self.rng.sample(servers, len(servers))
        first, second = order[0], order[1]
        averages = [
            state.latency_s
            for state in map(self.health.state, (first.name, second.name))
            if state.latency_s is not None
        ]
        latency_s = min(averages, default=0.0)
        if self._order(second, latency_s) < self._order(first, latency_s):
            order[0], order[1] = second, first
        return tuple(order)

    def _order(
        self, server: core.BackendServer, latency_s: float
    ) -> tuple[int, bool]:
        cost = self.cost(server, latency_s=latency_s)
        return (
            round(cost / const.COST_STEP),
            server.zone.name != self.host.zone.name,
        )
