"""Define header names and responses of HTTP exchanges."""

from typing import NamedTuple


class HeaderNames(NamedTuple):
    """Hold the names of header fields that are specific to this system.

    The platform sets the names. Those of header fields are in lower case.
    """

    request_id: str
    # Milliseconds for which the sender waits for the answer.
    deadline_ms: str
    # Name of the cookie whose value is the affinity key of a request.
    affinity_cookie: str
    # Signature of a server's answer; an answer without it is rejected.
    response_seal: str
    # ID of the only server instance that may run the request.
    expected_instance: str
    # Numbers of running requests, waiting requests and slots of a server.
    server_load: str
    # Present in an answer if the server did not run the request.
    not_executed: str
    # Milliseconds for which a server remains cold.
    cold_ms: str
    # "1" in the answers of a server that is leaving.
    server_leaving: str
    # Requests per second that a server in need takes from all entry hosts.
    server_limit: str
    # Key of the team that a request is from; no server gets it.
    credential: str
    # Name of the team that a request is from, for the server.
    team: str


class Response(NamedTuple):
    """Hold a complete response to a caller."""

    status: int
    reason: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
