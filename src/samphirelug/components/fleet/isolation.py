"""Detect that this host may lack news of evacuations."""

import logging

from samphirelug.components.fleet import const
from samphirelug.components.fleet import roster as fleet_roster
from samphirelug.components.store import availability as store_availability
from samphirelug.helpers import timer as timer_helper

_LOGGER = logging.getLogger(__name__)


class IsolationDetector:
    """Combine what is known of the store and of other entry hosts.

    A host without the store still learns of evacuations from other hosts. If
    beats stop at about the time when the store is lost, this host is probably
    behind a partition, alone or with hosts that know no more than it does. An
    outage of the store alone stops no beats.
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
        """Return whether this host is probably behind a partition."""
        lost_at_s = self.availability.lost_at_s
        isolated = lost_at_s is not None and self.roster.has_lost_host(
            now=self.timer.monotonic(),
            since_s=lost_at_s - const.STORE_LOSS_DELAY_S,
        )
        if isolated != self.was_isolated:
            self.was_isolated = isolated
            _LOGGER.info(
                "isolated from the store and other entry hosts"
                if isolated
                else "no longer isolated",
                extra={
                    "absent": sorted(
                        record.host.name
                        for record in self.roster.records.values()
                        if record.absent
                    )
                },
            )
        return isolated
