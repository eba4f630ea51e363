"""Define header names and responses of the exchanges with both sides."""

from typing import NamedTuple


class HeaderNames(NamedTuple):
    """Name the header fields that carry the system's own information.

    The names belong to the deployment; all are in lower case.
    """

    request_id: str
    # Milliseconds that the sender waits for the answer.
    deadline_ms: str
    # Cookie that names the object of a request.
    affinity_cookie: str
    # Signature of a server's answer.
    response_seal: str
    # Instance that alone may run the request.
    expected_instance: str
    # Running, waiting, slots.
    server_load: str
    # Present where a server did not run the request.
    not_executed: str
    # Milliseconds for which a server stays cold.
    cold_ms: str


class Response(NamedTuple):
    """Hold a whole response to a caller."""

    status: int
    reason: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
