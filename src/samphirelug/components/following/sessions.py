"""Hold the state of the links between a host and its followers; no I/O."""

from collections.abc import Callable
from collections.abc import Mapping
import logging

from samphirelug.components.fleet import model as fleet_model
from samphirelug.components.following import const
from samphirelug.components.following import frames
from samphirelug.components.following import links
from samphirelug.components.store import feed
from samphirelug.components.store import view as store_view

_LOGGER = logging.getLogger(__name__)
Views = Mapping[feed.ObjectKind, store_view.ObjectView]
NEVER = float("inf")


class SourceSession(links.FrameReceiver):
    """Receive the views of a host that this one follows."""

    def __init__(
        self,
        *,
        host: fleet_model.HostInstance,
        now: float,
        clock: Callable[[], float],
        on_frame: Callable[["SourceSession", frames.Frame], None],
        on_close: Callable[["SourceSession", str], None],
    ) -> None:
        self.host = host
        self.clock = clock
        self.on_frame = on_frame
        self.on_close = on_close
        self.link: links.FrameLink | None = None
        self.heard_at_s = now
        # Age of the source's view when it was last reported.
        self.reported_age_s = NEVER
        self.reported_at_s = now
        # Host whose reading of the store that age counts from.
        self.reported_reader = 0
        self.closed = False

    def age_s(self, now: float) -> float:
        """Return the age of the source's view, infinite if not known."""
        return self.reported_age_s + (now - self.reported_at_s)

    def handle_frame(self, data: bytes) -> None:
        """Decode a frame and pass it on; close the link if it is malformed."""
        if self.closed:
            return
        try:
            frame = frames.decode(data)
        except ValueError as error:
            _LOGGER.warning(
                "malformed frame of a source",
                extra={
                    "host": self.host.name,
                    "detail": str(error)[:200],
                },
            )
            self.close("malformed frame")
            return
        now = self.clock()
        self.heard_at_s = now
        if isinstance(frame, frames.Beat):
            self.reported_at_s = now
            self.reported_reader = frame.reader_id
            self.reported_age_s = (
                NEVER if frame.age_ms is None else frame.age_ms / 1000
            )
        self.on_frame(self, frame)

    def handle_close(self) -> None:
        """End the session when the link has closed or was never opened."""
        self.close("connection closed")

    def close(self, reason: str) -> None:
        """End the session; a second call has no effect."""
        if self.closed:
            return
        self.closed = True
        if self.link is not None:
            self.link.close()
        self.on_close(self, reason)


class FollowerSession(links.FrameReceiver):
    """Send this host's views to a host that follows it."""

    def __init__(
        self,
        *,
        link: links.FrameLink,
        now: float,
        on_frame: Callable[["FollowerSession", frames.Frame], None],
        on_close: Callable[["FollowerSession"], None],
    ) -> None:
        self.link = link
        self.on_frame = on_frame
        self.on_close = on_close
        self.name = ""
        # Revisions that the follower has or that are on their way to it;
        # empty until it has sent its own.
        self.sent: dict[feed.ObjectKind, int] = {}
        self.accepted_at_s = now
        # Time at which the link was last not congested.
        self.taken_at_s = now
        self.closed = False

    def handle_frame(self, data: bytes) -> None:
        """Decode a frame and pass it on; close the link if it is malformed."""
        if self.closed:
            return
        try:
            frame = frames.decode(
                data, max_bytes=const.MAX_FOLLOWER_FRAME_BYTES
            )
            if isinstance(frame, frames.Hello):
                self._begin(frame)
        except ValueError as error:
            _LOGGER.warning(
                "malformed frame of a follower",
                extra={"host": self.name, "detail": str(error)[:200]},
            )
            self.close()
            return
        self.on_frame(self, frame)

    def _begin(self, hello: frames.Hello) -> None:
        if hello.version != const.PROTOCOL_VERSION:
            raise ValueError(f"protocol version {hello.version}")
        self.name = hello.name
        self.sent = dict(zip(frames.KINDS, hello.revisions, strict=True))

    def handle_close(self) -> None:
        """End the session when the link has closed."""
        self.close()

    def close(self) -> None:
        """End the session; a second call has no effect."""
        if self.closed:
            return
        self.closed = True
        self.link.close()
        self.on_close(self)


class UpdateEncoder:
    """Encode the updates of views, each once for all followers."""

    def __init__(
        self, *, views: Views, grace_remaining_s: Callable[[], float]
    ) -> None:
        self.views = views
        self.grace_remaining_s = grace_remaining_s
        # Encoded updates to the present revision, by kind and first revision.
        self.encoded: dict[tuple[feed.ObjectKind, int], bytes] = {}
        # Bytes of updates sent to all followers.
        self.sent_bytes = 0
        for view in views.values():
            view.on_changed.append(self.encoded.clear)

    def send_due(self, session: FollowerSession) -> None:
        """Send a follower the changes that it does not know."""
        for kind, sent in session.sent.items():
            view = self.views[kind]
            if view.revision <= sent:
                continue
            data = self.encoded.get((kind, sent))
            if data is None:
                update = frames.make_update(
                    kind, view.since(sent), grace_s=self.grace_remaining_s()
                )
                data = self.encoded[kind, sent] = frames.encode(update)
            session.link.send(data)
            self.sent_bytes += len(data)
            session.sent[kind] = view.revision
