"""Exchange which zones are evacuated with other entry hosts.

A host that cannot reach the store would keep sending requests to a zone while
it is evacuated, and its full load to the cold servers when they return. Hosts
therefore tell each other what they have read, with the store's position.
"""

import logging

from samphirelug.components.fleet import model
from samphirelug.components.fleet import registry as fleet_registry
from samphirelug.components.store import model as store_model
from samphirelug.components.store import position
from samphirelug.components.store import view as store_view

_LOGGER = logging.getLogger(__name__)


class EvacuationExchange:
    """Provide this host's evacuated zones and adopt newer ones of others."""

    def __init__(
        self,
        *,
        view: store_view.ObjectView,
        registry: fleet_registry.ServerRegistry,
    ) -> None:
        self.view = view
        self.registry = registry

    def current(self) -> model.Evacuations | None:
        """Return what this host knows, None if it has not read anything."""
        if not self.view.revision:
            return None
        return model.Evacuations(
            self.view.revision, frozenset(self.view.objects)
        )

    def receive(self, evacuations: model.Evacuations, *, host: str) -> None:
        """Adopt the evacuated zones of another host if they are newer."""
        if (
            evacuations.revision <= self.view.revision
            or evacuations.zones == self.registry.evacuated_zones
        ):
            return
        _LOGGER.info(
            "evacuated zones adopted",
            extra={
                "host": host,
                **position.log_fields(evacuations.revision),
            },
        )
        # A watch continues from this revision, so that it does not return
        # changes that this state includes.
        self.view.replace_all(
            store_model.Listing(
                evacuations.revision,
                tuple(
                    store_model.StoredObject(
                        zone, position.revision_of(evacuations.revision), {}
                    )
                    for zone in sorted(evacuations.zones)
                ),
            ),
            grace_s=0.0,
        )
