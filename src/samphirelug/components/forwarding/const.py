"""Hold thresholds of the attempt loop."""

# With less time left than this, another attempt cannot succeed.
MIN_ATTEMPT_TIME_S = 0.02
# Used where a caller names no deadline and the route's timeout is longer.
MAX_REQUEST_S = 60.0
# Part of the shared retry budget that is kept unused, since entry hosts do
# not count each other's requests.
BUDGET_MARGIN = 0.8
# Times that one request is sent, servers that are tried again included.
MAX_SENDS = 3
# Time in which another server is likely to have become usable.
BUDGET_RETRY_AFTER_S = 0.25
# A host that has just started reads its configuration in about this time.
STARTING_RETRY_AFTER_S = 0.3
# Lines a second for requests that got their answer; the others are counted.
ANSWERED_LINES_PER_S = 50
# Lines a second for requests that were refused or failed.
FAILED_LINES_PER_S = 100
