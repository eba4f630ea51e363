"""Apply stored objects to the state of this process."""

from collections.abc import Callable
from collections.abc import Sequence
import logging

from returns.result import Failure

from samphirelug.components.fleet import decoder as fleet_decoder
from samphirelug.components.fleet import model
from samphirelug.components.fleet import registry as fleet_registry
from samphirelug.components.routing import table
from samphirelug.components.store import model as store_model
from samphirelug.components.store import view as store_view
from samphirelug.helpers import timer as timer_helper

_LOGGER = logging.getLogger(__name__)
# Interval at which entries of servers that are held back are checked.
CONFIRM_INTERVAL_S = 0.5
# Reported as the origin of changes in log records.
SOURCE = "store"


class ConfigurationConsumer(store_view.ObjectConsumer):
    """Put configurations from the store in force if they are newer."""

    def __init__(
        self,
        *,
        state: table.ConfigurationState,
        decoder: fleet_decoder.ObjectDecoder,
        timer: timer_helper.TimerService,
    ) -> None:
        self.state = state
        self.decoder = decoder
        self.timer = timer

    def begin_era(self) -> None:
        """Do nothing, as an older version never replaces the one in force.

        The operators write the newer version again.
        """

    def replace_all(
        self,
        objects: Sequence[store_model.StoredObject],
        *,
        grace_s: float,
    ) -> None:
        """Apply a complete list of objects."""
        del grace_s
        for stored in objects:
            self.upsert(stored)

    def upsert(self, stored: store_model.StoredObject) -> None:
        """Apply a new or changed object."""
        decoded = self.decoder.configuration(stored)
        if isinstance(decoded, Failure):
            _LOGGER.error(
                "configuration refused; keeping the one in force"
                if self.state.version
                else "configuration refused and none is in force, so that this"
                " host is not ready",
                extra={
                    "object": stored.key,
                    "revision": stored.revision,
                    "version_in_force": self.state.version,
                    "detail": decoded.failure().detail,
                },
            )
            return
        self.state.apply(
            decoded.unwrap(), now=self.timer.monotonic(), source=SOURCE
        )

    def remove(self, name: str, *, grace_s: float) -> None:
        """Log the removal; the configuration stays in force."""
        _LOGGER.warning(
            "configuration object removed; keeping the configuration in force",
            extra={"object": name, "grace_s": grace_s},
        )


class ServerConsumer(store_view.ObjectConsumer):
    """Keep the registry of backend servers up to date."""

    def __init__(
        self,
        *,
        registry: fleet_registry.ServerRegistry,
        decoder: fleet_decoder.ObjectDecoder,
        timer: timer_helper.TimerService,
        is_current: Callable[[], bool],
    ) -> None:
        self.registry = registry
        self.decoder = decoder
        self.timer = timer
        # Whether the view shows the present state of the store.
        self.is_current = is_current
        # Whether entries that are held back are being checked.
        self.is_confirming = False
        # Entries of servers that had been removed before the store came back
        # from an older copy, until the servers write them again.
        self.held: dict[str, store_model.StoredObject] = {}
        self.held_until_s = float("-inf")

    def begin_era(self) -> None:
        """Hold back servers that the next list shows again."""
        self.held_until_s = self.timer.monotonic() + store_view.ERA_HOLD_S
        self.timer.call_at(
            when_s=self.held_until_s, callback=self._release_held
        )

    def replace_all(
        self,
        objects: Sequence[store_model.StoredObject],
        *,
        grace_s: float,
    ) -> None:
        """Apply a complete list of objects."""
        is_holding = self.timer.monotonic() < self.held_until_s
        self.held.clear()
        servers = []
        for stored in objects:
            server = self._decode(stored)
            if server is None:
                continue
            if is_holding and self.registry.has_removed(server):
                self.held[stored.key] = stored
            else:
                servers.append(server)
        self.registry.replace_all(
            servers,
            now=self.timer.monotonic(),
            grace_s=grace_s,
            source=SOURCE,
        )
        self._schedule_expiry(grace_s)
        self._schedule_confirmation()

    def upsert(self, stored: store_model.StoredObject) -> None:
        """Put the decoded server; remove it if its object is malformed."""
        self.held.pop(stored.key, None)
        server = self._decode(stored)
        if server is not None:
            self.registry.put(server, source=SOURCE)
            self._schedule_confirmation()
            return
        self.remove(stored.key, grace_s=0.0)

    def remove(self, name: str, *, grace_s: float) -> None:
        """Remove a server, after the grace period if it is not 0."""
        self.held.pop(name, None)
        self.registry.remove(
            name,
            now=self.timer.monotonic(),
            grace_s=grace_s,
            source=SOURCE,
        )
        self._schedule_expiry(grace_s)

    def _release_held(self) -> None:
        """Put the servers whose entries the store still shows."""
        if self.timer.monotonic() < self.held_until_s:
            return
        for stored in list(self.held.values()):
            self.upsert(stored)

    def _schedule_confirmation(self) -> None:
        """Schedule the next check of entries that are held back, if any."""
        if self.is_confirming or not self.registry.unconfirmed.by_id:
            return
        self.is_confirming = True
        self.timer.call_at(
            when_s=self.timer.monotonic() + CONFIRM_INTERVAL_S,
            callback=self._confirm_standing,
        )

    def _confirm_standing(self) -> None:
        self.is_confirming = False
        self.registry.confirm_standing(
            elapsed_s=CONFIRM_INTERVAL_S, is_current=self.is_current()
        )
        self._schedule_confirmation()

    def _schedule_expiry(self, grace_s: float) -> None:
        """Schedule the removal of servers missing after the grace period."""
        if not grace_s:
            return
        self.timer.call_at(
            when_s=self.timer.monotonic() + grace_s,
            callback=lambda: self.registry.expire_missing(
                now=self.timer.monotonic()
            ),
        )

    def _decode(
        self, stored: store_model.StoredObject
    ) -> model.ServerInstance | None:
        decoded = self.decoder.server(stored, now=self.timer.monotonic())
        if isinstance(decoded, Failure):
            _log_malformed(stored, decoded.failure().detail)
            return None
        return decoded.unwrap()


class EvacuationConsumer(store_view.ObjectConsumer):
    """Keep the set of evacuated availability zones up to date.

    The key of each object is the name of an evacuated zone.
    """

    def __init__(
        self,
        *,
        registry: fleet_registry.ServerRegistry,
        timer: timer_helper.TimerService,
    ) -> None:
        self.registry = registry
        self.timer = timer
        # Zones that the store shows as evacuated.
        self.listed: frozenset[str] = frozenset()
        # Zones that were evacuated before the store came back from an older
        # copy, until the operators have written that again.
        self.held: frozenset[str] = frozenset()
        self.held_until_s = float("-inf")

    def begin_era(self) -> None:
        """Hold the present evacuations, which the next list may lack."""
        self.held = self.registry.evacuated_zones
        self.held_until_s = self.timer.monotonic() + store_view.ERA_GRACE_S
        self.timer.call_at(
            when_s=self.held_until_s, callback=self._release_held
        )

    def replace_all(
        self,
        objects: Sequence[store_model.StoredObject],
        *,
        grace_s: float,
    ) -> None:
        """Apply a complete list of objects."""
        del grace_s
        self._set_listed(frozenset(stored.key for stored in objects))

    def upsert(self, stored: store_model.StoredObject) -> None:
        """Mark an availability zone as evacuated."""
        self._set_listed(self.listed | {stored.key})

    def remove(self, name: str, *, grace_s: float) -> None:
        """End the evacuation of an availability zone."""
        del grace_s
        self.held -= {name}
        self._set_listed(self.listed - {name})

    def _release_held(self) -> None:
        if self.timer.monotonic() >= self.held_until_s:
            self.held = frozenset()
            self._set_listed(self.listed)

    def _set_listed(self, zones: frozenset[str]) -> None:
        self.listed = zones
        self.registry.set_evacuated(
            zones | self.held, now=self.timer.monotonic(), source=SOURCE
        )


def _log_malformed(stored: store_model.StoredObject, detail: str) -> None:
    _LOGGER.warning(
        "malformed object in the store",
        extra={
            "object": stored.key,
            "revision": stored.revision,
            "detail": detail,
        },
    )
