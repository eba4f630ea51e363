"""Hold thresholds of placement and admission."""

# Requests at a server, running and waiting, as a multiple of its slots, up
# to which a further one is sent there. A warm server frees a slot sooner
# than a refused caller comes back.
FULL_RATIO = 1.4
# A second server takes an object only below this multiple of its slots.
SPILL_RATIO = 0.7
# Servers that one object is spread over.
SERVERS_PER_OBJECT = 2
# A server's report of its load loses half its weight in this time, which is
# about the time that a warm request takes.
REPORT_HALF_LIFE_S = 0.25
# First pause of a server that cannot be reached; doubles up to the maximum.
SUSPEND_FIRST_S = 0.5
SUSPEND_MAX_S = 4.0
# Failures in a row after which a server that can be reached is paused.
FAILURES_TO_SUSPEND = 3
# Orderings kept before the cache is emptied.
MAX_CACHED_ORDERS = 20_000
# About the time in which a busy warm server frees a slot.
REFUSED_RETRY_AFTER_S = 0.25
