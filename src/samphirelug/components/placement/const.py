"""Define thresholds of placement, refusals and retry times."""

# A server is full when its running and queued requests reach this multiple
# of its slots. It exceeds 1 because a warm server frees a slot sooner than a
# refused caller retries.
FULL_RATIO = 1.6
# The second server of an object accepts its requests only while its load is
# below this multiple of its slots.
SPILL_RATIO = 0.35
# Maximum number of servers considered for the requests of one object.
SERVERS_PER_OBJECT = 2
# Half-life of a server's load report, as a multiple of the server's mean
# request time. Other hosts keep sending new requests, so the report decays
# more slowly than the reported requests end.
REPORT_HALF_LIFE_FACTOR = 2.0
# Upper bound of that half-life. After this time the report of a slow server
# is of little use, and the server is tried again.
MAX_HALF_LIFE_S = 1.0
# Weight of the newest answer in a server's exponentially weighted mean
# request time; it averages over about 5 answers.
SERVER_TIME_EWMA_WEIGHT = 0.2
# First pause of a failing server; doubles up to MAX_PAUSE_S. Also the
# Retry-After time of callers that are refused because no server is usable.
INITIAL_PAUSE_S = 0.5
MAX_PAUSE_S = 4.0
# Consecutive failures after which a reachable server is paused.
FAILURES_BEFORE_PAUSE = 3
# Memory of cached server orders at which the cache is cleared: a twelfth of
# that of the smallest hosts.
MAX_CACHED_ORDER_BYTES = 16 * 1024 * 1024
# Memory of a cached order's key and of its place in the cache.
CACHED_KEY_BYTES = 256
# Bounds of the Retry-After time of refused callers. A slot that was refused
# stays busy for at least the minimum. Callers wait for at most a third of
# their deadline, and the maximum fits into that.
MIN_RETRY_AFTER_S = 0.15
MAX_RETRY_AFTER_S = 0.8
# A server's wish for a time without requests is extended by up to this
# fraction of it, by a hash of host and server. Otherwise all hosts would send
# again at the same moment.
HOLD_SPREAD_RATIO = 0.25
# Upper bound of the Retry-After time of callers that are refused while all
# servers of their object want no requests.
MAX_HELD_RETRY_AFTER_S = 5.0
# Requests that all hosts together may save up at a server that names a limit:
# those of a time at the limit, and a number.
LIMIT_BURST_S = 1.5
LIMIT_BURST = 2.0
# Requests per second of all hosts to a server with a lower limit. They show
# when the limit ends.
MIN_LIMIT_PER_S = 0.5
# Additional delay for each lower priority, as a fraction of the service time.
PRIORITY_DELAY_RATIO = 0.25
# Additional delay for callers of a team over its share, as a fraction of the
# service time: half a priority, so that priority goes before fairness.
OVER_SHARE_DELAY_RATIO = 0.125
# Upper bound of the earliest Retry-After time under shortage among teams. The
# rest up to the maximum is left for spreading the retries.
MAX_EARLIEST_RETRY_AFTER_S = 0.6
# Number of different times in that rest, also where slots become free less
# often than that.
MIN_RETRY_TIMES = 8
# Assumed time that a request occupies a slot, used until the first answer has
# been measured.
INITIAL_SERVICE_TIME_S = 0.5
# Weight of the newest answer in a service's exponentially weighted mean
# service time; it averages over about 20 answers.
SERVICE_TIME_EWMA_WEIGHT = 0.05
# Requests per slot up to which a server takes everybody's requests, also
# under shortage. A lower value would refuse requests while slots are free.
SHORT_RATIO = 1.0
# Time constant in which counted requests decay. It spans several requests of
# most teams at a host that gets a few requests a second.
SHARE_MEMORY_S = 3.0
# Shares of refused requests at which a shortage begins and ends. Between them
# it persists, so that single refusals do not begin and end it.
SHORTAGE_BEGIN_SHARE = 0.03
SHORTAGE_END_SHARE = 0.01
# Share of more urgent requests that are refused at which a request may no
# longer queue at all.
FULL_YIELD_SHARE = 0.3
# Requests in memory that a team may have beyond its share. Without it, teams
# with a single recent request count as over their share on a host with little
# traffic.
SHARE_SLACK = 1.0
# Excess over its share, as a fraction of the share, at which a team's requests
# may no longer queue at all.
EXCESS_RATIO = 0.1
# Part of the reserve that a team over its share leaves to others. The rest
# is for its more urgent requests, before its less urgent ones.
OVER_SHARE_YIELD = 0.75
# Shortest interval at which the shares of a service are computed.
SHARE_INTERVAL_S = 0.25
# Teams whose shares are computed for each counted request. A computation takes
# 1 to 2 microseconds a team, so that a request bears less than 0.05 ms.
TEAMS_PER_EVENT = 16
# Bounds of memory: teams and priorities counted at a service, and services.
MAX_COUNTED_TEAMS = 4096
MAX_COUNTED_PRIORITIES = 16
MAX_COUNTED_SERVICES = 256
# Decayed requests below which a team is no longer counted.
MIN_COUNTED_REQUESTS = 0.05
# Largest exponent of the weight of a counted request. Weights stay far from
# the range in which they lose precision.
MAX_SCALE_EXPONENT = 20.0
# Log lines a second about shortages, and teams that a line names.
SHORTAGE_LOG_LINES_PER_S = 2
MAX_LOGGED_TEAMS = 10
