"""Find the team of a request by the digest of its key."""

import urllib.parse

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from samphirelug.components.routing import model
from samphirelug import result_codes


class CredentialIndex:
    """Look up the teams of one version of the configuration."""

    def __init__(self, *, teams: tuple[model.Team, ...]) -> None:
        self.required = bool(teams)
        self.team_by_digest = {
            key_digest: team
            for team in teams
            for key_digest in team.key_digests
        }

    def needs_key(self, route: model.Route, *, path: str) -> bool:
        """Return whether a request of a route is refused without a key.

        A path with dot segments is not taken for a public one: a server that
        resolves them may find the path of a route that is not public.
        """
        return self.required and not (
            route.is_public and not _has_dot_segment(path)
        )

    def authenticate(
        self, route: model.Route, *, path: str, key_digest: str | None
    ) -> Result[model.Team | None, result_codes.Refusal]:
        """Return the team of a request, None if it needs none.

        The digest is None if the request has no key, and empty if its key is
        unusable.
        """
        team = self.team_by_digest.get(key_digest) if key_digest else None
        if team is not None or not self.needs_key(route, path=path):
            return Success(team)
        return Failure(
            result_codes.Refusal(
                result_codes.ResultCode.CREDENTIAL_UNKNOWN,
                "the request has no key"
                if key_digest is None
                else "no team has the key of the request",
            )
        )


def _has_dot_segment(path: str) -> bool:
    if "." not in path and "%" not in path:
        return False
    decoded = urllib.parse.unquote(path).replace("\\", "/")
    return any(
        segment.partition(";")[0] in (".", "..")
        for segment in decoded.split("/")
    )


def apply_team(
    route: model.Route, team: model.Team | None
) -> model.Route | None:
    """Return the route as it applies to a team, None if no region is left."""
    if team is None:
        return route
    regions = route.allowed_regions or team.allowed_regions
    if route.allowed_regions and team.allowed_regions:
        regions = route.allowed_regions & team.allowed_regions
        if not regions:
            return None
    return route._replace(
        priority=route.priority if team.priority is None else team.priority,
        allowed_regions=regions,
    )
