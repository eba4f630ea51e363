"""Distribute a route's requests among its services by weight."""

from samphirelug.components.routing import model
from samphirelug.helpers import rendezvous

# Number of requests by which a host may deviate from the weights to keep an
# object at its service. It is less than a tenth of the number of requests
# over which the shares are evaluated.
MAX_DEVIATION = 2.0


class WeightedSplit:
    """Keep each object at one service as far as the weights allow.

    Servers handle requests for objects that they know faster. If the service
    were chosen per request, every object would be new to both services.
    """

    def __init__(self) -> None:
        # Number of requests by which each service is below its share, by
        # route; only for routes with several services.
        self.deficits: dict[
            str, tuple[tuple[model.Destination, ...], dict[str, float]]
        ] = {}

    def choose_service(self, route: model.Route, *, object_key: str) -> str:
        """Return the service for the next request of the route."""
        if len(route.destinations) == 1:
            return route.destinations[0].service
        weights = {
            destination.service: destination.weight
            for destination in route.destinations
        }
        state = self.deficits.get(route.key)
        if state is None or state[0] != route.destinations:
            state = (route.destinations, dict.fromkeys(weights, 0.0))
            self.deficits[route.key] = state
        deficit_by_service = state[1]
        total = sum(weights.values())
        for service, weight in weights.items():
            deficit_by_service[service] += weight / total
        chosen = rendezvous.order_by_weight(key=object_key, weights=weights)[0]
        if deficit_by_service[chosen] < 1.0 - MAX_DEVIATION:
            chosen = max(
                deficit_by_service,
                key=lambda service: deficit_by_service[service],
            )
        deficit_by_service[chosen] -= 1.0
        return chosen
