"""Provide handlers of requests for tests of the listener."""

from samphirelug.components.http import io_pipeline
from samphirelug.components.http import request_parser


class SequentialHandler(io_pipeline.RequestHandler):
    """Run the requests of a connection one after the other to their end."""

    def may_run_concurrently(
        self, message: request_parser.CallerMessage
    ) -> bool:
        """Return that requests may not run concurrently."""
        del message
        return False

    def cancel_on_disconnect(
        self, message: request_parser.CallerMessage
    ) -> bool:
        """Return that requests are not cancelled."""
        del message
        return False
