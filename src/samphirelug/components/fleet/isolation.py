"""Detect that this host has no news of servers and other entry hosts."""

import logging

from samphirelug.components.fleet import roster as fleet_roster
from samphirelug.components.store import availability as store_availability
from samphirelug.helpers import timer as timer_helper

_LOGGER = logging.getLogger(__name__)


class IsolationDetector:
    """Combine what is known of the store and of other entry hosts.

    A host without the store still learns of evacuations from other hosts.
    """

    def __init__(
        self,
        *,
        availability: store_availability.StoreAvailability,
        roster: fleet_roster.HostRoster,
        timer: timer_helper.TimerService,
    ) -> None:
        self.availability = availability
        self.roster = roster
        self.timer = timer
        self.was_isolated = False

    def is_isolated(self) -> bool:
        """Return whether neither the store nor any other host is heard."""
        isolated = self.availability.lost_at_s is not None and (
            self.roster.is_cut_off(now=self.timer.monotonic())
        )
        if isolated != self.was_isolated:
            self.was_isolated = isolated
            _LOGGER.info(
                "isolated from the store and other entry hosts"
                if isolated
                else "no longer isolated",
                extra={"heard_at_s": round(self.roster.heard_at_s, 3)},
            )
        return isolated
