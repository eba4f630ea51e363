"""Hold the gateway's limits."""

from samphirelug import core

# A loop that is later than this can no longer serve all ranks in time.
LOOP_LAG_LIMIT_S = {
    core.Rank.URGENT: 1.0,
    core.Rank.INTERACTIVE: 0.2,
    core.Rank.EXPORT: 0.1,
}
# Connections accepted for a listener in one step of the event loop. A less
# urgent rank gets fewer, so that a flood of it cannot fill the loop.
ACCEPT_BATCH = {
    core.Rank.URGENT: 16,
    core.Rank.INTERACTIVE: 4,
    core.Rank.EXPORT: 1,
}
MAX_CONNECTIONS = {
    core.Rank.URGENT: 2000,
    core.Rank.INTERACTIVE: 1000,
    core.Rank.EXPORT: 500,
}
# Request bodies held in memory by all requests together.
MAX_BUFFERED_BYTES = 64 * 1024 * 1024
IDLE_TIMEOUT_S = 75.0
BODY_TIMEOUT_S = 30.0
LISTEN_BACKLOG = 256
DEFAULT_RETRY_AFTER_S = 1.0
