"""Hold limits and intervals that several components share."""

# Longest deadline that a request may have. Units of quota stay reserved for
# at least this long after their holder was lost.
MAX_REQUEST_S = 30.0
# A server may still work on a request for this long after its deadline.
ORPHAN_MARGIN_S = 0.5

HEARTBEAT_INTERVAL_S = 0.5
PEER_TIMEOUT_S = 2.0

LOOKUP_KEEP_S = 10.0
LOOKUP_MAX_ENTRY_HOSTS = 4
TOKEN_TTL_S = 120.0

MAX_HEADER_BYTES = 16 * 1024
MAX_BODY_BYTES = 16 * 1024 * 1024
# The store takes values of up to a megabyte.
MAX_OBJECT_BYTES = 1024 * 1024
MAX_PEER_MESSAGE_BYTES = 1024 * 1024

HEADER_DEADLINE_MS = "Samphirelug-Deadline-Ms"
HEADER_RUN_TOKEN = "Samphirelug-Run-Token"
HEADER_HOME_REGION = "Samphirelug-Home-Region"
HEADER_WORK = "Samphirelug-Work"
WORK_NOT_RUN = "not-run"
HEADER_DRAIN = "Samphirelug-Drain"
HEADER_REQUEST_ID = "X-Request-Id"
