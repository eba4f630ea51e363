"""Distribute a route's requests among its services by weight."""

from samphirelug.components.routing import model
from samphirelug.helpers import rendezvous

# Requests by which a host may depart from the weights for an object's own
# service; fewer than a tenth of the requests after which shares are judged.
MAX_DEPARTURE = 2.0


class WeightedSplit:
    """Keep each object at one service as far as the weights allow.

    Answers a split of load whose servers handle known objects faster: with
    a pick for each request, every object would be new to both services.
    """

    def __init__(self) -> None:
        # What each service is owed, by route; kept only for split routes.
        self.owed: dict[
            str, tuple[tuple[model.Destination, ...], dict[str, float]]
        ] = {}

    def pick(self, route: model.Route, *, object_key: str) -> str:
        """Return the service for the next request of the route."""
        if len(route.destinations) == 1:
            return route.destinations[0].service
        weights = {
            target.service: target.weight for target in route.destinations
        }
        known = self.owed.get(route.key)
        if known is None or known[0] != route.destinations:
            known = (route.destinations, dict.fromkeys(weights, 0.0))
            self.owed[route.key] = known
        owed = known[1]
        total = sum(weights.values())
        for service, weight in weights.items():
            owed[service] += weight / total
        chosen = rendezvous.order_by_weight(key=object_key, weights=weights)[0]
        if owed[chosen] < 1.0 - MAX_DEPARTURE:
            chosen = max(owed, key=lambda service: owed[service])
        owed[chosen] -= 1.0
        return chosen
