"""Hold what this process has observed of another entry host."""

from samphirelug.components.fleet import const
from samphirelug.components.fleet import model


class HostRecord:
    """Hold the observed state of another entry host."""

    def __init__(self, *, host: model.HostInstance, now: float) -> None:
        self.host = host
        self.heard_at_s = now
        self.absent = False
        self.leaving = False
        # Time at which it announced that it stops; None if it did not.
        self.left_at_s: float | None = None
        # Whether this process is a monitor of the host: it gets its beats.
        self.monitored = False
        # Whether this process has reported it as absent.
        self.reported_absent = False
        # Whether any notice of the host has been received.
        self.heard = False
        # Number of times to ask the host, since others call it absent.
        self.ask_count = 0
        # Time at which it was last asked while it was absent.
        self.checked_at_s = float("-inf")
        # Time at which its entry was removed; None while it has one.
        self.unlisted_at_s: float | None = None

    def was_heard_lately(self, now: float) -> bool:
        """Return whether the host certainly ran a moment ago."""
        return self.heard and now - self.heard_at_s < const.ASK_AFTER_S
