"""Define limits and intervals of the mesh between entry hosts."""

# Protocol versions that this host supports. Version 1 is the first. Both ends
# of a connection must support a common version.
PROTOCOL_MIN = 1
PROTOCOL_MAX = 1

# The most deeply nested message, a catalogue delta, has about 8 levels.
MAX_MESSAGE_DEPTH = 16
JOIN_NONCE_BYTES = 16
# A handshake message describes a single host, so it is always smaller.
MAX_HANDSHAKE_BYTES = 16 * 1024
# Lifetime of a challenge on the clock of the side that issued it, and limit on
# the duration of a handshake.
JOIN_TIMEOUT_S = 5.0
# Accepted connections whose peer has not been authenticated yet.
MAX_PENDING_HANDSHAKES = 64

# Up to this number of hosts, every host connects to every other one.
FULL_MESH_MAX_HOSTS = 16
# How often the peers to connect to are recomputed above the full mesh. Going
# through thousands of hosts at each heartbeat would take more CPU time than
# the budget for all control work.
PLAN_INTERVAL_S = 2.0
# Look-ups query the live peers much more often than these change.
LIVE_PEERS_CACHE_S = 0.1
WATCHERS_PER_ZONE = 2
REMOTE_ZONES_PER_WATCHER = 3

# A connection that receives nothing for this time is closed. Heartbeats are
# sent every 0.5 s, so ten in a row were missed.
RECEIVE_TIMEOUT_S = 5.0
# A peer that does not read delays a planned stop by at most this time.
CLOSE_TIMEOUT_S = 1.0
INITIAL_RECONNECT_BACKOFF_S = 0.2
MAX_RECONNECT_BACKOFF_S = 5.0
# Of each pair, the host with the larger name waits for this time before it
# dials, which avoids duplicate connections.
LARGER_NAME_DIAL_DELAY_S = 0.3
SEND_QUEUE_MESSAGES = 512
SEND_QUEUE_BYTES = 4 * 1024 * 1024
# Idle timeout of a connection opened for a request to a host to which the
# topology does not connect this one.
ON_DEMAND_IDLE_S = 30.0
# Rate limit on heartbeats sent early after a change of state or catalogue
# position.
HEARTBEAT_MIN_INTERVAL_S = 0.05
MAX_RUNNING_HANDLERS = 256

# An unreachable host becomes a candidate for dialling again after this time,
# since it may have recovered without this host receiving a heartbeat.
UNREACHABLE_RETRY_S = 30.0
# Interval at which heartbeats carry new values of headroom, queue lengths and
# wait times above the full mesh. A watcher has about 40 peers; new values in
# each heartbeat would take twice the bandwidth budget for control traffic.
AMOUNTS_INTERVAL_S = 2.0
# A host is removed this long after it was last in the host list or heard from.
MEMBER_EXPIRE_S = 600.0
MAX_SUPERSEDED_INCARNATIONS = 64
MAX_MEMBERS = 20_000

HOST_LIST_WATCH_S = 20.0
HOST_LIST_POLL_S = 60.0
HOST_LIST_RETRY_S = 2.0

# A relayed message takes about six hops of at most one tick each, which is
# well within the 3 s in which a sighting must reach all hosts.
RELAY_TICK_S = 0.25
# A host that has been behind for a shorter time is still catching up and is
# not reported as lagging.
LAG_GRACE_S = 2.0
SUMMARY_MIN_INTERVAL_S = 1.0
# Summaries are sent when they change, which is rare, and to each new peer; the
# repetition only replaces lost ones. With 218 zones, repeating them each
# minute would cost a watcher more bytes than all its other relayed traffic.
SUMMARY_REPEAT_S = 600.0
SUMMARY_EXPIRE_S = 1300.0
SUMMARY_MAX_LAGGING = 8
SUMMARY_ENTRY_HOSTS = 2
# Upper bound on the relative difference in speed of two hosts' clocks.
MAX_CLOCK_DRIFT = 0.01
# Rate limits on relayed traffic, for bursts of sightings. A watcher has about
# 50 peers, so ordinary ticks stay below them.
RELAY_MAX_MESSAGES_PER_S = 240
RELAY_MAX_BYTES_PER_S = 256 * 1024
# Equal sightings from several hosts within this time are forwarded once.
SIGHTING_DEDUPLICATION_S = 2.0
SIGHTING_RETENTION_S = 120.0
SIGHTING_RETENTION_COUNT = 20_000
RELAY_MAX_QUEUED_SIGHTINGS = 1000
RELAY_MAX_ZONES = 1000
