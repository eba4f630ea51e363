"""Hold the admission component's limits and intervals."""

# Bounds of the queue of one rank.
QUEUE_MAX_REQUESTS = 512
QUEUE_MAX_BYTES = 32 * 1024 * 1024
# One work entry may fill this part of a queue, so that one that cannot be
# placed leaves room for the others of its rank.
QUEUE_WORK_PART = 0.5

# Queued requests are checked this often for expired deadlines, and for room
# that nothing announced (ramps, probes, units awaiting release).
TICK_S = 0.02

# A request may leave its home region when its wait there is longer.
SPILL_WAIT_S = 0.5
# A loan takes one round trip to a peer; without one after this time the
# region counts as silent, and what has no share elsewhere is refused.
LOAN_WAIT_S = 0.25
# Time between two requests for loans for the same queued work.
WANT_INTERVAL_S = 0.05
# A request that has lacked link bytes for this long gets the next ones.
CLAIM_AFTER_S = 0.5
# The service time that a queued request needs before its deadline counts up
# to this part of its work entry's deadline.
OWN_TIME_PART = 0.5
# Retry-After where no estimate can be made.
RETRY_AFTER_UNKNOWN_S = 1.0

# A rank that could not use its credit keeps at most this many dispatches.
CREDIT_MAX = 2.0

# Assumed until the first request of a service has ended.
HOLD_DEFAULT_S = 0.05
HOLD_WEIGHT = 0.1
# Average deviations above the mean within which most requests end.
HOLD_DEVIATIONS = 2.0
# Dispatches older than a few times this do not count in a measured rate.
RATE_WINDOW_S = 1.0

# A lender keeps this part of its spare units, so that two hosts in need do
# not pass the same units to and fro.
LEND_KEEP_PART = 0.5
LEND_MAX_BUNDLES = 64
