"""Define limits and intervals of the steering component."""

# Maximum age of a load report; older ones are ignored.
LOAD_REPORT_MAX_AGE_S = 5.0

# Consecutive failures after which a server must pass a health probe before it
# is used again.
FAILURES_BEFORE_PROBE = 3
# Delay before a failed server is probed. It doubles, up to the maximum, if the
# server fails again after a successful probe.
INITIAL_PROBE_BACKOFF_S = 0.5
MAX_PROBE_BACKOFF_S = 8.0

# Weight of the newest observation in the average latency of a server.
LATENCY_WEIGHT = 0.2
# Maximum excess of a server's latency over that of the other candidate, as a
# ratio, that counts as cost.
MAX_LATENCY_RATIO = 4.0
# A cost of 1.0 is that of a server whose slots are all in use.
LATENCY_COST = 0.25
FAILURE_COST = 1.0
# Load reports may be outdated or wrong, so they weigh less than the host's own
# observations.
LOAD_COST = 0.25
# Costs are rounded to multiples of this. If they are equal, a server in the
# entry host's own availability zone is preferred.
COST_STEP = 0.05

# The host list may be outdated: within this time after a server's own leaving
# signal, a later list revision that still reports the server as live does not
# clear the signal.
HOST_LIST_LAG_S = 30.0
# Time for which a cleared leaving signal is reported to peers, since they may
# repeat the leaving sighting until they learn that it was cleared.
CLEARED_SIGHTING_KEEP_S = 10.0

# Time for which look-up answers and candidates are cached.
LOOKUP_CACHE_S = 0.25
# A peer whose catalogue position has been behind the newest one without
# progress for longer is not named in look-up answers.
LOOKUP_MAX_LAG_S = 4.0
# A look-up is refused if the wait for the rank exceeds this time, or this
# fraction of the work entry's deadline, at every entry host.
LOOKUP_MAX_WAIT_S = 2.0
LOOKUP_MAX_WAIT_FRACTION = 0.5
LOOKUP_CACHE_MAX_ENTRIES = 4096
