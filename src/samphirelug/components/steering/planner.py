"""Select regions and backend servers for requests."""

import math
import random
from typing import Protocol

from samphirelug.components.catalogue import view as catalogue_view
from samphirelug.components.steering import const
from samphirelug.components.steering import health as steering_health
from samphirelug.components.steering import model
from samphirelug import core


class CatalogueSource(Protocol):
    """Provide the catalogue in force; implemented by CatalogueState."""

    @property
    def view(self) -> catalogue_view.CatalogueView:
        """Return the current view, replaced as a whole at each change."""


class UnitCounts(Protocol):
    """Provide counts of quota units; implemented by QuotaLedger."""

    def usable(self, key: str) -> int:
        """Return own units of the key, 0 after the seat has expired."""

    def free(self, key: str) -> int:
        """Return usable units that are not in use."""


class SteeringPlanner:
    """Order regions and servers by distance, free units and health."""

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

    def regions_for_request(
        self, request: core.CallerRequest
    ) -> tuple[str, ...]:
        """Return the regions that may serve a request, home region first."""
        return self.regions_for_work(
            work=request.work, home_region=request.home_region
        )

    def regions_for_work(
        self, *, work: str, home_region: str
    ) -> tuple[str, ...]:
        """Return the regions that may serve a work entry, by distance."""
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
            ramp_fraction = self.health.ramp_fraction(name, ramp_s=ramp_s)
            if ramp_fraction >= 1.0:
                chosen.append(server)
                continue
            # If no other server has a free slot, the random choice below would
            # send all requests here, so the slots in use are limited as well.
            max_outstanding = max(1, math.ceil(ramp_fraction * server.slots))
            if self.health.state(name).outstanding >= max_outstanding:
                continue
            if self.rng.random() < ramp_fraction:
                chosen.append(server)
            else:
                ramping.append(server)
        return self._order_by_cost(chosen) + self._order_by_cost(ramping)

    def has_servers(self, *, service: str, region: str) -> bool:
        """Return whether a region has a usable server of the service."""
        view = self.catalogue.view
        return any(
            self.health.is_usable(server.name)
            for server in view.servers_in(service=service, region=region)
        )

    def slots(self, *, service: str, region: str) -> model.SlotCount:
        """Count this host's slots of the usable servers in a region."""
        usable = free = 0
        view = self.catalogue.view
        for server in view.servers_in(service=service, region=region):
            if not self.health.is_usable(server.name):
                continue
            key = f"server:{server.name}"
            usable += self.ledger.usable(key)
            free += max(0, self.ledger.free(key))
        return model.SlotCount(usable=usable, free=free)

    def cost(
        self, server: core.BackendServer, *, reference_latency_s: float
    ) -> float:
        """Return the cost of one more request to a server.

        The latency of the server is compared with the reference, in seconds.
        """
        state = self.health.state(server.name)
        cost = (state.outstanding + 1) / server.slots
        cost += const.FAILURE_COST * state.failures
        if state.latency_s is not None and reference_latency_s > 0.0:
            ratio = state.latency_s / reference_latency_s - 1.0
            cost += const.LATENCY_COST * min(const.MAX_LATENCY_RATIO, ratio)
        age_s = self.health.timer.monotonic() - state.load_at_s
        if age_s < const.LOAD_REPORT_MAX_AGE_S:
            cost += const.LOAD_COST * state.load
        return cost

    def _order_by_cost(
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
        reference_latency_s = min(averages, default=0.0)
        if self._sort_key(second, reference_latency_s) < self._sort_key(
            first, reference_latency_s
        ):
            order[0], order[1] = second, first
        return tuple(order)

    def _sort_key(
        self, server: core.BackendServer, reference_latency_s: float
    ) -> tuple[int, bool]:
        cost = self.cost(server, reference_latency_s=reference_latency_s)
        return (
            round(cost / const.COST_STEP),
            server.zone.name != self.host.zone.name,
        )
