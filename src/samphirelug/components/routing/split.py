"""Distribute a route's requests among its services by weight."""

from samphirelug.components.routing import model


class WeightedSplit:
    """Pick services by smooth weighted round robin.

    The shares hold in every short sequence of requests, which random picks
    do not achieve for a route with little traffic.
    """

    def __init__(self) -> None:
        # Credit of each service by route, kept only for split routes.
        self.credits: dict[
            str, tuple[tuple[model.Destination, ...], dict[str, float]]
        ] = {}

    def pick(self, route: model.Route) -> str:
        """Return the service for the next request of the route."""
        if len(route.destinations) == 1:
            return route.destinations[0].service
        known = self.credits.get(route.key)
        if known is None or known[0] != route.destinations:
            known = (
                route.destinations,
                {target.service: 0.0 for target in route.destinations},
            )
            self.credits[route.key] = known
        credit = known[1]
        total = 0.0
        for target in route.destinations:
            credit[target.service] += target.weight
            total += target.weight
        chosen = max(credit, key=lambda service: credit[service])
        credit[chosen] -= total
        return chosen
