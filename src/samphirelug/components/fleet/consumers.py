"""Take stored objects over into what this process believes."""

from collections.abc import Sequence
import logging

from returns.result import Failure

from samphirelug.components.fleet import decoder as fleet_decoder
from samphirelug.components.fleet import model
from samphirelug.components.fleet import registry as fleet_registry
from samphirelug.components.routing import table
from samphirelug.components.store import follower
from samphirelug.components.store import model as store_model
from samphirelug.helpers import timer as timer_helper

_LOGGER = logging.getLogger(__name__)
SOURCE = "store"


class ConfigurationConsumer(follower.ObjectConsumer):
    """Put newer configurations in force."""

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

    def replace_all(
        self,
        objects: Sequence[store_model.StoredObject],
        *,
        grace_s: float,
    ) -> None:
        """Take over a complete list."""
        del grace_s
        for stored in objects:
            self.change(stored)

    def change(self, stored: store_model.StoredObject) -> None:
        """Take over a new or changed object."""
        decoded = self.decoder.configuration(stored)
        if isinstance(decoded, Failure):
            _log_malformed(stored, decoded.failure().detail)
            return
        self.state.apply(
            decoded.unwrap(), now=self.timer.monotonic(), source=SOURCE
        )

    def remove(self, name: str, *, grace_s: float) -> None:
        """Keep the configuration in force."""
        _LOGGER.warning(
            "configuration object removed, the last one stays in force",
            extra={"object": name, "grace_s": grace_s},
        )


class ServerConsumer(follower.ObjectConsumer):
    """Keep the registry of backend servers up to date."""

    def __init__(
        self,
        *,
        registry: fleet_registry.ServerRegistry,
        decoder: fleet_decoder.ObjectDecoder,
        timer: timer_helper.TimerService,
    ) -> None:
        self.registry = registry
        self.decoder = decoder
        self.timer = timer

    def replace_all(
        self,
        objects: Sequence[store_model.StoredObject],
        *,
        grace_s: float,
    ) -> None:
        """Take over a complete list."""
        servers = [self._decode(stored) for stored in objects]
        self.registry.replace_all(
            [server for server in servers if server is not None],
            now=self.timer.monotonic(),
            grace_s=grace_s,
            source=SOURCE,
        )
        self._expire_after(grace_s)

    def change(self, stored: store_model.StoredObject) -> None:
        """Take over a new or changed object."""
        server = self._decode(stored)
        if server is not None:
            self.registry.put(server, source=SOURCE)
            return
        self.remove(stored.key, grace_s=0.0)

    def remove(self, name: str, *, grace_s: float) -> None:
        """Note that an object is gone."""
        self.registry.remove(
            name,
            now=self.timer.monotonic(),
            grace_s=grace_s,
            source=SOURCE,
        )
        self._expire_after(grace_s)

    def _expire_after(self, grace_s: float) -> None:
        """Forget in time what does not come back."""
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


class EvacuationConsumer(follower.ObjectConsumer):
    """Keep the set of evacuated availability zones up to date."""

    def __init__(self, *, registry: fleet_registry.ServerRegistry) -> None:
        self.registry = registry

    def replace_all(
        self,
        objects: Sequence[store_model.StoredObject],
        *,
        grace_s: float,
    ) -> None:
        """Take over a complete list."""
        del grace_s
        self.registry.set_evacuated(
            frozenset(stored.key for stored in objects)
        )

    def change(self, stored: store_model.StoredObject) -> None:
        """Take over a new or changed object."""
        self.registry.set_evacuated(
            self.registry.evacuated_zones | {stored.key}
        )

    def remove(self, name: str, *, grace_s: float) -> None:
        """Note that an object is gone."""
        del grace_s
        self.registry.set_evacuated(self.registry.evacuated_zones - {name})


def _log_malformed(stored: store_model.StoredObject, detail: str) -> None:
    _LOGGER.warning(
        "stored object is malformed",
        extra={
            "object": stored.key,
            "revision": stored.revision,
            "detail": detail,
        },
    )
