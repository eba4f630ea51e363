"""Define limits and intervals of the admission component."""

# Limits of the queue of each rank.
QUEUE_MAX_REQUESTS = 512
QUEUE_MAX_BYTES = 32 * 1024 * 1024
# Maximum fraction of a queue that one work entry may fill. A work entry whose
# requests cannot be dispatched must not keep out the others of its rank.
QUEUE_WORK_FRACTION = 0.5

# Interval at which queued requests are checked for expired deadlines, and for
# capacity that becomes available without a callback (slow start, probes, units
# awaiting release).
QUEUE_CHECK_INTERVAL_S = 0.02

# A request may be served outside its home region if its wait there is longer.
SPILLOVER_WAIT_S = 0.5
# A loan takes one round trip to a peer. Without a loan after this time,
# requests no longer wait for the region, and are refused if this host has no
# share of another region.
LOAN_TIMEOUT_S = 0.25
# Minimum interval between two requests for loans for the same flow.
LOAN_REQUEST_INTERVAL_S = 0.05
# Time in the queue after which link bytes are reserved for a request that
# lacks them.
LINK_RESERVATION_AFTER_S = 0.5
# Maximum service margin, the time before its deadline at which a queued
# request must be dispatched, as a fraction of its work entry's deadline.
SERVICE_MARGIN_MAX_FRACTION = 0.5
# Retry-After if the wait cannot be estimated.
RETRY_AFTER_UNKNOWN_S = 1.0

# Maximum number of dispatches that a rank can save up as credit.
MAX_CREDIT = 2.0

# Service time assumed until the first request of a service has ended.
INITIAL_SERVICE_TIME_S = 0.05
# Weight of the newest observation in the average service time.
SERVICE_TIME_WEIGHT = 0.1
# Most requests end within the mean plus this many mean absolute deviations.
SERVICE_TIME_DEVIATIONS = 2.0
# Time constant of the decay of measured dispatch rates. Dispatches older than
# a few times this hardly count.
RATE_WINDOW_S = 1.0

# Fraction of its spare units that a lender keeps, so that two hosts short of
# units do not lend each other the same units in turn.
LEND_KEEP_FRACTION = 0.5
LEND_MAX_BUNDLES = 64
