"""Exchange which zones are evacuated with other entry hosts.

A host that cannot reach the store would keep sending requests to a zone while
it is evacuated, and its full load to the cold servers when they return. Hosts
therefore tell each other what they have read, with the store's revision.
"""

from samphirelug.components.fleet import model
from samphirelug.components.fleet import registry as fleet_registry
from samphirelug.components.store import follower as store_follower
from samphirelug.helpers import timer as timer_helper


class EvacuationExchange:
    """Provide this host's evacuated zones and adopt newer ones of others."""

    def __init__(
        self,
        *,
        follower: store_follower.ObjectFollower,
        registry: fleet_registry.ServerRegistry,
        timer: timer_helper.TimerService,
    ) -> None:
        self.follower = follower
        self.registry = registry
        self.timer = timer

    def current(self) -> model.Evacuations | None:
        """Return what this host knows, None if it has not read anything."""
        if not self.follower.revision:
            return None
        return model.Evacuations(
            self.follower.revision, self.registry.evacuated_zones
        )

    def receive(self, evacuations: model.Evacuations, *, host: str) -> None:
        """Adopt the evacuated zones of another host if they are newer."""
        if (
            evacuations.revision <= self.follower.revision
            or evacuations.zones == self.registry.evacuated_zones
        ):
            return
        # A watch continues from here, so that it does not return changes that
        # this state includes.
        self.follower.revision = evacuations.revision
        self.registry.set_evacuated(
            evacuations.zones, now=self.timer.monotonic(), source=host
        )
