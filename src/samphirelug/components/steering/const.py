"""Hold the steering component's limits and intervals."""

# A load report older than this counts as missing.
LOAD_REPORT_MAX_AGE_S = 5.0

# Failures in a row after which a server is probed before it is used again.
FAILURES_BEFORE_PROBE = 3
# A server that keeps failing after good probes is left alone for longer.
PROBE_BACKOFF_S = 0.5
PROBE_BACKOFF_MAX_S = 8.0

# Weight of the newest observation in a server's average latency.
LATENCY_WEIGHT = 0.2
# A server is at most this much worse than its rival through latency alone.
LATENCY_RATIO_MAX = 4.0
LATENCY_COST = 0.25
FAILURE_COST = 1.0
# Load reports may lag or mislead, so they weigh less than own observations.
LOAD_COST = 0.25
# Costs closer than this are equal, and the own availability zone decides.
COST_STEP = 0.05

# The host list lags: until this time after a server's own leaving signal a
# later list that still calls the server live does not clear the signal.
HOST_LIST_LAG_S = 30.0
# Peers may repeat a leaving sighting until they hear that it was cleared.
CLEARED_KEEP_S = 10.0

LOOKUP_REUSE_S = 0.25
# A peer whose catalogue position stands still behind this host's for longer
# is not named in look-up answers.
LOOKUP_LAG_S = 4.0
# A look-up is refused when every entry host's wait for the rank is longer
# than this, or than this part of the work entry's deadline.
LOOKUP_WAIT_S = 2.0
LOOKUP_WAIT_PART = 0.5
LOOKUP_CACHE_ENTRIES = 4096
