"""Define limits of the listeners for callers."""

from samphirelug import core

# Requests of a rank are refused while the event loop lags by more than this,
# since it can no longer serve all ranks in time.
LOOP_LAG_LIMIT_S = {
    core.Rank.URGENT: 1.0,
    core.Rank.INTERACTIVE: 0.2,
    core.Rank.EXPORT: 0.1,
}
# Connections that a listener accepts in one iteration of the event loop. Less
# urgent ranks accept fewer, so that a flood of their connections cannot occupy
# the loop.
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
# Total size of the request bodies in memory above which requests are refused.
MAX_BUFFERED_BYTES = 64 * 1024 * 1024
IDLE_TIMEOUT_S = 75.0
BODY_TIMEOUT_S = 30.0
LISTEN_BACKLOG = 256
DEFAULT_RETRY_AFTER_S = 1.0
