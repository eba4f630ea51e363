"""Define times and limits of following the store through other hosts."""

# Version of the frames; hosts with different versions read the store.
PROTOCOL_VERSION = 4
# Number of hosts that each host follows at the same time. When one of them
# fails, changes still arrive through the other.
SOURCES = 2
# Number of hosts of an availability zone that relay changes to the others.
RELAYS_PER_ZONE = 2
# A region with this many hosts has two watchers, which read the store; a
# smaller one has a single watcher.
TWO_WATCHERS_FROM_HOSTS = 8
# Candidates of a zone before those in other zones are tried.
CANDIDATES_IN_ZONE = 4
# Maximum number of candidates that a host tries.
MAX_CANDIDATES = 8
# Interval at which the store confirms its state to a host that reads it, as a
# share of the time in which a change must be in force, and its maximum. A host
# tells its followers how old its view is at the same interval.
CONFIRM_RATIO = 0.25
MAX_CONFIRM_INTERVAL_S = 1.0
# A host that follows others passes their beats on at once, so that the ages do
# not add up from host to host. It ignores those that come sooner after its own
# last beat than this share of the interval, and sends one without them after
# the other share.
MIN_BEAT_RATIO = 0.7
MAX_BEAT_RATIO = 1.2
# A source that has been silent this long is replaced.
SILENT_AFTER_S = 2.2
# Interval of the checks of sources and followers, and the one at the start
# until all views have been read.
TICK_INTERVAL_S = 0.2
START_TICK_INTERVAL_S = 0.1
# A view older than this share of the time in which a change must be in force
# makes the host read the store itself, as does one older than the maximum.
STALE_RATIO = 0.55
MAX_STALE_S = 2.0
# Time that a starting host waits for its first view from its sources, while
# it has any, before it reads the store itself. A source that runs sends its
# view within it; after a restart of many hosts none has any.
START_PATIENCE_S = 0.3
# The same when the whole system starts for the first time: there is time until
# callers come, and reading the store costs each host many calls.
FIRST_START_PATIENCE_S = 3.0
# Time for which a starting host waits for its first source before it dials
# another one, as each sends it all objects.
FIRST_SOURCE_PATIENCE_S = 0.15
# Spread of the first reads of hosts whose sources have lost the store, for
# each host that may read it, and its maximum.
STALE_SPREAD_PER_HOST_S = 0.002
MAX_STALE_SPREAD_S = 0.5
# A host that reads the store since its sources failed goes on at least for
# this long, so that it does not change back and forth.
MIN_DIRECT_S = 3.0
# A failed candidate is not tried again for this long, and one whose view was
# too old for longer, so that all others are tried first.
RETRY_CANDIDATE_AFTER_S = 3.0
RETRY_CANDIDATE_AT_START_S = 0.5
RETRY_OLD_CANDIDATE_AFTER_S = 10.0
# Minimum time between two replacements of sources that are alive but old.
REPLACE_INTERVAL_S = 1.0
# A follower that has not taken a frame for this long is disconnected.
CONGESTED_AFTER_S = 5.0
# A follower that has not said what it knows within this time is disconnected.
HELLO_TIMEOUT_S = 3.0
# Largest frame; a list of 20,000 backend servers fits.
MAX_FRAME_BYTES = 8 * 1024 * 1024
# Largest frame of a follower, which sends its revisions and names of servers.
MAX_FOLLOWER_FRAME_BYTES = 16 * 1024
# Maximum number of followers of one host.
MAX_FOLLOWERS = 2_000
