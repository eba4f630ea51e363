"""Define limits and times of request forwarding."""

# Minimum remaining time for another attempt; with less it cannot succeed.
MIN_ATTEMPT_TIME_S = 0.02
# Upper bound of a request's duration, used when neither the caller's deadline
# nor the route's timeout is shorter.
MAX_REQUEST_S = 60.0
# Fraction of the shared retry budget that the entry hosts use. The rest is
# reserved, since hosts do not count each other's requests.
USABLE_BUDGET_RATIO = 0.8
# Maximum number of times that one request is sent, including repeated sends
# to the same server.
MAX_SENDS = 3
# Retry-After time once attempts have failed: another server is likely to
# have become usable by then.
ATTEMPT_FAILED_RETRY_AFTER_S = 0.25
# Retry-After time while the host starts; it takes about this long to read its
# configuration.
STARTING_RETRY_AFTER_S = 0.3
# Retry-After time once a stopping host cannot finish a request any more. Other
# hosts can serve it at once.
STOPPING_RETRY_AFTER_S = 0.05
# Retry-After time of a team that shares no allowed region with the route. Only
# a new configuration can change that.
NO_REGION_RETRY_AFTER_S = 5.0
# Retry-After time while keys may have been removed without this host knowing.
# Hosts whose source is too old replace it within about this time.
OUTDATED_RETRY_AFTER_S = 1.0
# Maximum log lines per second for answered requests; lines beyond it are
# counted.
ANSWERED_LOG_LINES_PER_S = 50
# Maximum log lines per second for refused or failed requests.
FAILED_LOG_LINES_PER_S = 100
# Maximum log lines per second for requests without the key of a team. Callers
# that guess keys must not take the lines of other failures.
REJECTED_KEY_LOG_LINES_PER_S = 10
# Length of the beginning of a key's digest in the log. It is long enough to
# find the caller by, and too short to test guessed keys against.
LOGGED_DIGEST_LENGTH = 8
