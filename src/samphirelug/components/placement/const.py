"""Hold thresholds of placement and admission."""

# Requests at a server, running and waiting, as a multiple of its slots, up
# to which a further one is sent there. A warm server frees a slot sooner
# than a refused caller comes back.
FULL_RATIO = 1.6
# A second server takes an object only below this multiple of its slots.
SPILL_RATIO = 0.35
# Servers that one object is spread over.
SERVERS_PER_OBJECT = 2
# A server's report of its load loses half its weight in this multiple of the
# time that its requests take. Others send new ones meanwhile, so it fades more
# slowly than the reported requests end.
REPORT_HALF_LIFE = 2.0
# A slow server's report says little after this time, and it is tried again.
MAX_HALF_LIFE_S = 1.0
# Weight of the newest answer in a server's mean request time: about 5 answers.
SERVER_TIME_GAIN = 0.2
# First pause of a server that cannot be reached; doubles up to the maximum.
SUSPEND_FIRST_S = 0.5
SUSPEND_MAX_S = 4.0
# Failures in a row after which a server that can be reached is paused.
FAILURES_TO_SUSPEND = 3
# Orderings kept before the cache is emptied.
MAX_CACHED_ORDERS = 20_000
# Bounds of the time after which a refused caller comes back. A slot that was
# refused is busy for at least the shorter one; callers wait for at most a
# third of their time, which the longer one fits into.
MIN_RETRY_AFTER_S = 0.15
MAX_RETRY_AFTER_S = 0.8
# Further wait of each less urgent priority, as a part of the service time.
PRIORITY_DELAY = 0.25
# Time that a request holds a slot, before the first answer tells.
INITIAL_SERVICE_TIME_S = 0.5
# Weight of the newest answer in the mean service time: about 20 answers.
SERVICE_TIME_GAIN = 0.05
