"""Apply the entries of entry hosts in the store to the roster."""

from collections.abc import Sequence
import logging

import pydantic

from samphirelug.components.fleet import model
from samphirelug.components.fleet import roster as fleet_roster
from samphirelug.components.store import model as store_model
from samphirelug.components.store import view as store_view
from samphirelug.helpers import addresses
from samphirelug.helpers import timer as timer_helper

_LOGGER = logging.getLogger(__name__)
_HOST_ADAPTER = pydantic.TypeAdapter(model.HostInstance)


class HostConsumer(store_view.ObjectConsumer):
    """Keep the roster of entry hosts up to date."""

    def __init__(
        self,
        *,
        roster: fleet_roster.HostRoster,
        timer: timer_helper.TimerService,
    ) -> None:
        self.roster = roster
        self.timer = timer
        # Names in the entries of the store.
        self.listed: set[str] = set()
        self.held_until_s = float("-inf")

    def begin_era(self) -> None:
        """Keep hosts that the next list lacks until they register again."""
        self.held_until_s = self.timer.monotonic() + store_view.ERA_HOLD_S
        self.timer.call_at(
            when_s=self.held_until_s, callback=self._remove_unlisted
        )

    def replace_all(
        self,
        objects: Sequence[store_model.StoredObject],
        *,
        grace_s: float,
    ) -> None:
        """Apply a complete list of objects."""
        del grace_s
        now = self.timer.monotonic()
        hosts = decode_all(objects)
        self.listed = {host.name for host in hosts}
        self.roster.update_from_list(hosts, now=now)
        self._remove_unlisted()

    def upsert(self, stored: store_model.StoredObject) -> None:
        """Add or update a host; ignore a malformed entry."""
        hosts = decode_all((stored,))
        self.listed.update(host.name for host in hosts)
        self.roster.update_from_list(hosts, now=self.timer.monotonic())

    def remove(self, name: str, *, grace_s: float) -> None:
        """Record that a host has removed its entry."""
        del grace_s
        self.listed.discard(name)
        self.roster.remove_listed(name, now=self.timer.monotonic())

    def _remove_unlisted(self) -> None:
        now = self.timer.monotonic()
        if now < self.held_until_s:
            return
        for name in self.roster.records.keys() - self.listed:
            self.roster.remove_listed(name, now=now)


def encode(host: model.HostInstance) -> dict[str, object]:
    """Return the value of a host's entry."""
    return {**host._asdict(), "zone": host.zone._asdict()}


def incarnation(stored: store_model.StoredObject) -> str | None:
    """Return the incarnation that an entry names; None if malformed."""
    host = _decode(stored)
    return None if host is None else host.incarnation


def decode_all(
    objects: Sequence[store_model.StoredObject],
) -> list[model.HostInstance]:
    """Return the hosts of the entries that are not malformed."""
    hosts = [_decode(stored) for stored in objects]
    return [host for host in hosts if host is not None]


def _decode(stored: store_model.StoredObject) -> model.HostInstance | None:
    try:
        host = _HOST_ADAPTER.validate_python(stored.value)
        if host.name != stored.key:
            raise ValueError("the name differs from that of the object")
        for address in (host.caller_address, host.peer_address):
            addresses.split(address)
        return host
    except ValueError as error:
        _LOGGER.warning(
            "ignoring malformed entry host object from the store",
            extra={"object": stored.key, "detail": str(error)[:200]},
        )
        return None
