"""Hold back entries of starts of servers that may have ended before.

The store may carry out a write seconds late, or come back from an older copy.
It then shows an earlier start of a server that has started again under its id,
until the present start reports again. An entry that nobody refreshes expires,
so that one which stands for longer is that of a running server, whose clock
may have gone back.
"""

from typing import NamedTuple

from samphirelug.components.fleet import model

# Time for which an entry stands only if its server refreshes it: it expires
# once three reports have failed to come, 1.5 s each, and another one is due.
CONFIRMED_AFTER_S = 6.0


class UnconfirmedStart(NamedTuple):
    """Hold the entry of a start that may have ended before the known one."""

    server: model.ServerInstance
    # Time for which the store has shown the entry without an outage.
    standing_s: float = 0.0


class UnconfirmedStarts:
    """Hold at most one unconfirmed start of each server, by instance id."""

    def __init__(self) -> None:
        self.by_id: dict[str, UnconfirmedStart] = {}

    def get(self, instance_id: str) -> model.ServerInstance | None:
        """Return the entry of the server's unconfirmed start, if any."""
        unconfirmed = self.by_id.get(instance_id)
        return unconfirmed.server if unconfirmed else None

    def hold(self, server: model.ServerInstance) -> bool:
        """Hold back an entry; return whether its start was not held before.

        Reports of the same start may be out of order, too.
        """
        known = self.by_id.get(server.instance_id)
        if known is None or known.server.incarnation != server.incarnation:
            self.by_id[server.instance_id] = UnconfirmedStart(server)
            return True
        if server.report_number >= known.server.report_number:
            self.by_id[server.instance_id] = known._replace(server=server)
        return False

    def discard(self, instance_id: str) -> None:
        """Forget the unconfirmed start of a server, if there is one."""
        self.by_id.pop(instance_id, None)

    def advance(
        self, *, elapsed_s: float, is_current: bool
    ) -> list[model.ServerInstance]:
        """Return and forget the entries that have stood for long enough.

        The time begins anew while the state of the store is not known.
        """
        confirmed = []
        for instance_id, unconfirmed in list(self.by_id.items()):
            standing_s = unconfirmed.standing_s + elapsed_s
            if not is_current:
                standing_s = 0.0
            if standing_s >= CONFIRMED_AFTER_S:
                confirmed.append(unconfirmed.server)
                del self.by_id[instance_id]
            else:
                self.by_id[instance_id] = unconfirmed._replace(
                    standing_s=standing_s
                )
        return confirmed
