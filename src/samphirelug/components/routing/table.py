"""Find the route of a request in the configuration in force."""

import logging

from samphirelug.components.routing import credentials
from samphirelug.components.routing import model

_LOGGER = logging.getLogger(__name__)


class RouteTable:
    """Match requests against one version of the configuration."""

    def __init__(self, *, configuration: model.Configuration) -> None:
        self.configuration = configuration
        self.credentials = credentials.CredentialIndex(
            teams=configuration.teams
        )
        # Requests per second that each team may send; 0 is no limit.
        self.team_limits = {
            team.name: team.requests_per_s for team in configuration.teams
        }
        self.has_uploads = any(
            route.kind is model.RouteKind.UPLOAD
            for route in configuration.routes
        )
        self.by_hostname: dict[str, list[model.Route]] = {}
        for route in configuration.routes:
            self.by_hostname.setdefault(route.hostname.lower(), []).append(
                route
            )
        for routes in self.by_hostname.values():
            routes.sort(key=lambda route: len(route.path_prefix), reverse=True)

    def find(self, *, hostname: str, path: str) -> model.Route | None:
        """Return the route with the longest matching path prefix."""
        for route in self.by_hostname.get(hostname.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None


class ConfigurationState:
    """Hold the configuration in force, whose version never decreases."""

    def __init__(self) -> None:
        self.table: RouteTable | None = None
        self.applied_at_s = 0.0

    @property
    def configuration(self) -> model.Configuration | None:
        """Return the configuration in force, if there is one."""
        return self.table.configuration if self.table else None

    @property
    def version(self) -> int:
        """Return the version in force, 0 if there is none."""
        return self.table.configuration.version if self.table else 0

    def team_limit_per_s(self, team: str) -> float:
        """Return the rate that a team may send; 0 if it has no limit."""
        return self.table.team_limits.get(team, 0.0) if self.table else 0.0

    @property
    def has_uploads(self) -> bool:
        """Return whether callers send uploads."""
        return self.table is not None and self.table.has_uploads

    @property
    def has_teams(self) -> bool:
        """Return whether callers belong to teams."""
        return bool(self.table and self.table.configuration.teams)

    def apply(
        self, configuration: model.Configuration, *, now: float, source: str
    ) -> bool:
        """Apply a newer configuration; return False if it is not newer."""
        if configuration.version <= self.version:
            if configuration.version < self.version:
                _LOGGER.warning(
                    "ignored an older configuration",
                    extra={
                        "version": configuration.version,
                        "version_in_force": self.version,
                        "source": source,
                    },
                )
            return False
        previous_version = self.version
        self.table = RouteTable(configuration=configuration)
        self.applied_at_s = now
        _LOGGER.info(
            "configuration in force",
            extra={
                "version": configuration.version,
                "previous_version": previous_version,
                "routes": len(configuration.routes),
                "teams": len(configuration.teams),
                "source": source,
            },
        )
        return True
