"""Track the known backend servers and which of them may get requests."""

from collections.abc import Callable
from collections.abc import Iterable
import logging
from typing import Any

from samphirelug.components.fleet import model
from samphirelug.components.fleet import unconfirmed_starts

_LOGGER = logging.getLogger(__name__)
# Number of incarnations that are remembered as leaving or removed. A fleet
# restarts a few hundred servers a day, so that this lasts for weeks.
MAX_LEAVING = 10_000


class ServerRegistry:
    """Hold the known servers and evacuated zones, and the usable servers.

    During an outage of the store, entries of running servers can expire. A
    server that is removed with a grace period therefore stays usable for that
    time, and is kept if its entry is added again in the meantime.
    """

    def __init__(self) -> None:
        self.servers: dict[str, model.ServerInstance] = {}
        self.evacuated_zones: frozenset[str] = frozenset()
        # Time at which this host learned of the end of a zone's evacuation.
        self.restored_at_s: dict[str, float] = {}
        # End of the grace period of each server that is missing after an
        # outage of the store, by instance id.
        self.missing_until_s: dict[str, float] = {}
        # Incarnations that announced their leaving in an answer or that
        # another host heard it from, oldest first. An entry that still says
        # "ready", or one that is written again after an outage, does not
        # make them usable.
        self.leaving: dict[model.Incarnation, None] = {}
        # Number of the last report of each incarnation that was draining when
        # its entry went, oldest first. The store may carry out an earlier
        # report after that.
        self.last_reports: dict[model.Incarnation, int] = {}
        # Incarnations whose entries were removed or superseded, oldest first.
        self.removed: dict[model.Incarnation, None] = {}
        # Entries that are not in force, since their starts may have ended.
        self.unconfirmed = unconfirmed_starts.UnconfirmedStarts()
        # Incremented whenever the usable servers may have changed.
        self.generation = 0
        self.usable_by_service: dict[str, list[model.ServerInstance]] = {}
        # Whether a list is being applied, after which the usable servers are
        # determined once.
        self.applying_list = False
        # Called with each removed server and each superseded incarnation.
        self.on_removed: list[Callable[[model.ServerInstance], None]] = []
        # Called with each incarnation that is newly known to leave.
        self.on_leaving: list[Callable[[model.Incarnation], None]] = []

    def usable(self, service: str) -> list[model.ServerInstance]:
        """Return the servers of a service that may get new requests."""
        return self.usable_by_service.get(service, [])

    def may_be_sent(self, server: model.ServerInstance) -> bool:
        """Return whether this incarnation may get new requests."""
        known = self.servers.get(server.instance_id)
        return (
            known is not None
            and known.incarnation == server.incarnation
            and self._is_usable(known)
        )

    def has_removed(self, server: model.ServerInstance) -> bool:
        """Return whether this start had an entry that was removed."""
        return (
            server.instance_id not in self.servers
            and server.incarnation in self.removed
        )

    def mark_leaving(
        self, incarnation: model.Incarnation, *, source: str
    ) -> None:
        """Stop new requests to an incarnation that announced its leaving."""
        if incarnation in self.leaving:
            return
        self.leaving[incarnation] = None
        _limit(self.leaving)
        self._rebuild_usable()
        server = self.servers.get(incarnation.instance_id)
        _LOGGER.info(
            "backend server announced its leaving",
            extra={
                "server": incarnation.instance_id,
                "started_unix_ms": incarnation.started_unix_ms,
                "listed": server is not None
                and server.incarnation == incarnation,
                "source": source,
            },
        )
        for listener in self.on_leaving:
            listener(incarnation)

    def put(self, server: model.ServerInstance, *, source: str) -> None:
        """Add or replace a server, unless its report is an outdated one.

        One of a start that may have ended is held back.
        """
        previous = self.servers.get(server.instance_id)
        unconfirmed = self.unconfirmed.get(server.instance_id)
        if unconfirmed and unconfirmed.incarnation != server.incarnation:
            self._discard_unconfirmed(server.instance_id)
        # An outdated report, too, shows that the entry exists.
        self.missing_until_s.pop(server.instance_id, None)
        last_report = self._last_report(server, previous)
        if server.report_number < last_report:
            _LOGGER.info(
                "ignored an outdated report of a backend server",
                extra={
                    "server": server.instance_id,
                    "started_unix_ms": server.started_unix_ms,
                    "draining": server.draining,
                    "report_number": server.report_number,
                    "last_report": last_report,
                    "source": source,
                },
            )
            return
        if previous is not None and self._may_have_ended(server, previous):
            self._hold_back(server, previous, source)
            return
        self._apply(server, previous, source)

    def confirm_standing(self, *, elapsed_s: float, is_current: bool) -> None:
        """Put the entries of unconfirmed starts that have stood for long.

        elapsed_s are the seconds since the last call or the first entry that
        was held back, and is_current whether the store's state was known.
        """
        for server in self.unconfirmed.advance(
            elapsed_s=elapsed_s, is_current=is_current
        ):
            previous = self.servers.get(server.instance_id)
            self._apply(server, previous, "entry stands")

    def _apply(
        self,
        server: model.ServerInstance,
        previous: model.ServerInstance | None,
        source: str,
    ) -> None:
        self.servers[server.instance_id] = server
        if previous is not None and previous == server._replace(
            report_number=previous.report_number
        ):
            return
        if (
            previous is not None
            and previous.incarnation == server.incarnation
            and previous.draining
            and not server.draining
        ):
            # The server has changed its mind, after what it said in answers.
            self.leaving.pop(server.incarnation, None)
        if previous is not None and previous.incarnation != server.incarnation:
            self._forget(previous)
        self._rebuild_usable()
        if self.applying_list and previous is None:
            return
        _LOGGER.info(
            "backend server changed",
            extra={
                "server": server.instance_id,
                "service": server.service,
                "zone": server.zone.name,
                "draining": server.draining,
                "cold_until_s": round(server.cold_until_s, 3),
                "started_unix_ms": server.started_unix_ms,
                "report_number": server.report_number,
                "known": previous is not None,
                "source": source,
            },
        )

    def remove(
        self, instance_id: str, *, now: float, grace_s: float, source: str
    ) -> None:
        """Remove a server at once, or after the grace period if it is not 0.

        A draining server gets no grace period.
        """
        server = self.servers.get(instance_id)
        if server is None:
            return
        self._discard_unconfirmed(instance_id)
        if grace_s and not server.draining:
            self.missing_until_s.setdefault(instance_id, now + grace_s)
            return
        self._remove(server, source)

    def replace_all(
        self,
        servers: Iterable[model.ServerInstance],
        *,
        now: float,
        grace_s: float,
        source: str,
    ) -> None:
        """Apply a complete list; servers missing from it are removed."""
        listed = {server.instance_id: server for server in servers}
        added = len(listed.keys() - self.servers.keys())
        self.applying_list = True
        try:
            for server in listed.values():
                self.put(server, source=source)
            for instance_id in list(self.servers):
                if instance_id not in listed:
                    self.remove(
                        instance_id,
                        now=now,
                        grace_s=grace_s,
                        source=source,
                    )
        finally:
            self.applying_list = False
            self._rebuild_usable()
        # One line for the servers that are new, since a starting host learns
        # of all of them at once.
        _LOGGER.info(
            "backend servers listed",
            extra={"servers": len(listed), "added": added, "source": source},
        )

    def expire_missing(self, *, now: float) -> None:
        """Remove missing servers whose grace period has passed."""
        for instance_id, until_s in list(self.missing_until_s.items()):
            if now >= until_s:
                self._remove(self.servers[instance_id], "grace period expired")

    def set_evacuated(
        self, zones: frozenset[str], *, now: float, source: str
    ) -> None:
        """Set the zones whose servers get no new requests."""
        if zones == self.evacuated_zones:
            return
        _LOGGER.info(
            "evacuated zones changed",
            extra={
                "evacuated": sorted(zones),
                "previously": sorted(self.evacuated_zones),
                "source": source,
            },
        )
        for zone in self.evacuated_zones - zones:
            self.restored_at_s[zone] = now
        self.evacuated_zones = zones
        self._rebuild_usable()

    def _remove(self, server: model.ServerInstance, source: str) -> None:
        self.missing_until_s.pop(server.instance_id, None)
        del self.servers[server.instance_id]
        if not server.started_unix_ms:
            # A later start under the same id would look like this one.
            self.leaving.pop(server.incarnation, None)
        self._rebuild_usable()
        self._forget(server)
        _LOGGER.info(
            "backend server removed",
            extra={
                "server": server.instance_id,
                "service": server.service,
                "zone": server.zone.name,
                "source": source,
            },
        )

    def _may_have_ended(
        self, server: model.ServerInstance, known: model.ServerInstance
    ) -> bool:
        """Return whether a start may have ended before the known one began.

        A clock may have gone back between two starts, so that the order of
        their times alone proves nothing. Without a time, there is no order.
        """
        return (
            server.incarnation != known.incarnation
            and server.started_unix_ms > 0
            and known.started_unix_ms > 0
            and (
                server.started_unix_ms < known.started_unix_ms
                or server.incarnation in self.removed
            )
        )

    def _hold_back(
        self,
        server: model.ServerInstance,
        known: model.ServerInstance,
        source: str,
    ) -> None:
        """Keep the known start in use, as carefully as both starts need."""
        is_new = self.unconfirmed.hold(server)
        if server.incarnation not in self.removed:
            if server.cold_until_s > known.cold_until_s:
                self.servers[server.instance_id] = known._replace(
                    cold_until_s=server.cold_until_s
                )
            self._rebuild_usable()
        if is_new:
            _LOGGER.info(
                "held back a report of an earlier start of a backend server",
                extra={
                    "server": server.instance_id,
                    "started_unix_ms": server.started_unix_ms,
                    "known_started_unix_ms": known.started_unix_ms,
                    "seen_before": server.incarnation in self.removed,
                    "draining": server.draining,
                    "cold_until_s": round(server.cold_until_s, 3),
                    "report_number": server.report_number,
                    "source": source,
                },
            )

    def _discard_unconfirmed(self, instance_id: str) -> None:
        unconfirmed = self.unconfirmed.get(instance_id)
        if unconfirmed is None:
            return
        self.unconfirmed.discard(instance_id)
        if unconfirmed.draining:
            self._rebuild_usable()

    def _last_report(
        self,
        server: model.ServerInstance,
        previous: model.ServerInstance | None,
    ) -> int:
        """Return the number of the server's last known report, else 0."""
        if not (server.started_unix_ms and server.report_number):
            # The numbers start anew with each start, so that without its time
            # they say nothing about the order.
            return 0
        if previous is not None and (
            previous.incarnation == server.incarnation
        ):
            return previous.report_number
        return self.last_reports.get(server.incarnation, 0)

    def _forget(self, server: model.ServerInstance) -> None:
        """Keep no more of a removed incarnation than its last report."""
        if server.started_unix_ms:
            self.removed[server.incarnation] = None
            _limit(self.removed)
        if server.draining and server.started_unix_ms:
            self.last_reports[server.incarnation] = server.report_number
            _limit(self.last_reports)
        for listener in self.on_removed:
            listener(server)

    def _is_usable(self, server: model.ServerInstance) -> bool:
        return (
            not server.draining
            and server.zone.name not in self.evacuated_zones
            and server.incarnation not in self.leaving
            and not self._may_be_draining_start(server.instance_id)
        )

    def _may_be_draining_start(self, instance_id: str) -> bool:
        """Return whether a start that was never in use may run and drain."""
        unconfirmed = self.unconfirmed.get(instance_id)
        return (
            unconfirmed is not None
            and unconfirmed.draining
            and unconfirmed.incarnation not in self.removed
        )

    def _rebuild_usable(self) -> None:
        if self.applying_list:
            return
        self.generation += 1
        usable: dict[str, list[model.ServerInstance]] = {}
        for server in self.servers.values():
            if self._is_usable(server):
                usable.setdefault(server.service, []).append(server)
        self.usable_by_service = usable


def _limit(remembered: dict[model.Incarnation, Any]) -> None:
    """Forget the oldest incarnations beyond the maximum."""
    while len(remembered) > MAX_LEAVING:
        del remembered[next(iter(remembered))]
