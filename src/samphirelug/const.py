"""Define limits, intervals and header names shared by components."""

# Longest deadline that a request may have. Quota units stay reserved for at
# least this long after the entry host that held them was lost.
MAX_REQUEST_S = 30.0
# A backend server may continue to process an orphaned request, one that no
# entry host waits for any more, for this long after its deadline.
ORPHAN_MARGIN_S = 0.5

# Interval at which an entry host sends heartbeats to its peers.
HEARTBEAT_INTERVAL_S = 0.5
# A peer counts as lost if no heartbeat was received from it for this long.
PEER_TIMEOUT_S = 2.0

# Default of the time for which callers may reuse a look-up answer.
LOOKUP_KEEP_S = 10.0
# Maximum number of entry hosts that a look-up answer lists.
LOOKUP_MAX_ENTRY_HOSTS = 4
# Lifetime of a run token.
TOKEN_TTL_S = 120.0

MAX_HEADER_BYTES = 16 * 1024
MAX_BODY_BYTES = 16 * 1024 * 1024
# Largest value that the object store accepts.
MAX_OBJECT_BYTES = 1024 * 1024
MAX_PEER_MESSAGE_BYTES = 1024 * 1024

HEADER_DEADLINE_MS = "Samphirelug-Deadline-Ms"
HEADER_RUN_TOKEN = "Samphirelug-Run-Token"
# Region or availability zone of the caller.
HEADER_HOME_REGION = "Samphirelug-Home-Region"
HEADER_WORK = "Samphirelug-Work"
# Value of HEADER_WORK by which a backend server states in its answer that it
# did not run the request.
WORK_NOT_RUN = "not-run"
# Header field that a backend server sends while it is leaving.
HEADER_DRAIN = "Samphirelug-Drain"
HEADER_REQUEST_ID = "X-Request-Id"
