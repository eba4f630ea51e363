"""Distribute a route's requests among its services by weight."""

import bisect
import collections
import random

import xxhash

from samphirelug.components.routing import model

# Number of requests by which a host may deviate from the weights to keep an
# object at its service.
MAX_DEVIATION = 2.0
# Number of recent requests of a route whose objects a host compares.
MAX_POSITIONS = 256
# Number of routes for which that is kept; each takes up to 20 kB.
MAX_ROUTES = 500


class WeightedSplit:
    """Keep most objects at one service without favouring any service.

    Servers handle requests for objects that they know faster. If the service
    were chosen per request, every object would be new to both services.
    """

    def __init__(self, *, rng: random.Random) -> None:
        self.rng = rng
        # Only for routes with several services.
        self.shares_by_route: dict[str, RouteShares] = {}

    def choose_service(self, route: model.Route, *, object_key: str) -> str:
        """Return the service for the next request of the route."""
        if len(route.destinations) == 1:
            return route.destinations[0].service
        shares = self.shares_by_route.get(route.key)
        if shares is None or shares.destinations != route.destinations:
            shares = self._begin_shares(route, previous=shares)
        return shares.choose(object_key)

    def _begin_shares(
        self, route: model.Route, *, previous: "RouteShares | None"
    ) -> "RouteShares":
        """Begin with the weights of the route; the objects stay known."""
        if previous is None:
            ranks = ObjectRanks(rng=self.rng)
            if len(self.shares_by_route) >= MAX_ROUTES:
                # Of the oldest ones most are no longer in the configuration.
                del self.shares_by_route[next(iter(self.shares_by_route))]
        else:
            ranks = previous.ranks
        shares = RouteShares(destinations=route.destinations, ranks=ranks)
        self.shares_by_route[route.key] = shares
        return shares


class ObjectRanks:
    """Rank an object among those of recent requests by its hash.

    Ranks are spread evenly from 0 to 1, whatever the hashes and however often
    each object is requested. All hosts know the same hashes, so that shares
    by the hashes themselves would be wrong at all hosts in the same way.
    """

    def __init__(self, *, rng: random.Random) -> None:
        self.rng = rng
        self.recent: collections.deque[int] = collections.deque()
        self.positions: list[int] = []

    def add(self, object_key: str) -> float:
        """Return the rank of the object of the next request.

        A random rank among requests for the same object splits it if the
        others can't make up the shares.
        """
        position = xxhash.xxh64_intdigest(object_key.encode())
        lower = bisect.bisect_left(self.positions, position)
        upper = bisect.bisect_right(self.positions, position)
        rank = (lower + self.rng.random() * (upper - lower + 1)) / (
            len(self.positions) + 1
        )
        self.positions.insert(upper, position)
        self.recent.append(position)
        if len(self.recent) > MAX_POSITIONS:
            oldest = self.recent.popleft()
            del self.positions[bisect.bisect_left(self.positions, oldest)]
        return rank


class RouteShares:
    """Choose the services of a route whose weights stay the same."""

    def __init__(
        self,
        *,
        destinations: tuple[model.Destination, ...],
        ranks: ObjectRanks,
    ) -> None:
        self.destinations = destinations
        self.ranks = ranks
        weights: dict[str, float] = {}
        # The order of the names keeps most objects at their service when
        # weights change.
        for service, weight in sorted(destinations):
            weights[service] = weights.get(service, 0.0) + weight
        total = sum(weights.values())
        self.shares = {
            service: weight / total for service, weight in weights.items()
        }
        # Number of requests by which each service is below its share.
        self.deficits = dict.fromkeys(self.shares, 0.0)

    def choose(self, object_key: str) -> str:
        """Return the service for the next request."""
        for service, share in self.shares.items():
            self.deficits[service] += share
        chosen = self._service_at(self.ranks.add(object_key))
        if self.deficits[chosen] < 1.0 - MAX_DEVIATION:
            chosen = max(self.deficits, key=self.deficits.__getitem__)
        self.deficits[chosen] -= 1.0
        return chosen

    def _service_at(self, rank: float) -> str:
        for service, share in self.shares.items():
            if rank < share:
                return service
            rank -= share
        return service
