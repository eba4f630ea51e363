"""Hold limits and intervals of the mesh between entry hosts."""

# Version 1 is the first; both ends of a connection must share one.
PROTOCOL_MIN = 1
PROTOCOL_MAX = 1

# Deepest message is a catalogue delta, at about 8 levels.
MAX_MESSAGE_DEPTH = 16
JOIN_NONCE_BYTES = 16
# Handshake messages name one host, so anything larger is not one.
MAX_HANDSHAKE_BYTES = 16 * 1024
# A challenge expires after this time on the clock of the side that sent it.
JOIN_VALID_S = 5.0
# Connections that have not proved themselves are bounded in number.
MAX_UNJOINED_CONNECTIONS = 64

FULL_MESH_MAX_HOSTS = 16
# Above the full mesh, going through thousands of hosts at each heartbeat
# would take more of a core than all control work may.
PLAN_INTERVAL_S = 2.0
# Look-ups ask for the live peers far more often than these change.
LIVE_PEERS_KEEP_S = 0.1
WATCHERS_PER_ZONE = 2
FAR_ZONES = 3

# Heartbeats come every 0.5 s, so a silent connection missed ten of them.
SILENT_CONNECTION_S = 5.0
# A peer that reads nothing would hold up a planned stop.
CLOSE_S = 1.0
RECONNECT_MIN_S = 0.2
RECONNECT_MAX_S = 5.0
# The host with the larger name dials later, which avoids double connections.
SECOND_DIAL_DELAY_S = 0.3
SEND_QUEUE_MESSAGES = 512
SEND_QUEUE_BYTES = 4 * 1024 * 1024
# Connection opened for one request beyond the topology closes when unused.
ON_DEMAND_IDLE_S = 30.0
# Bounds the heartbeats sent early, for a changed state or position.
HEARTBEAT_MIN_INTERVAL_S = 0.05
MAX_REQUESTS_HANDLED = 256

# A silent host counts as a candidate again after this time, so that a host
# that came back unseen is dialled again.
SILENT_RETRY_S = 30.0
# Above the full mesh, headroom, queues and waits are sent this often. With
# each heartbeat they would cost a watcher, which has about 40 peers, twice
# the bytes that control may use.
AMOUNTS_INTERVAL_S = 2.0
FORGET_AFTER_S = 600.0
RETIRED_INCARNATIONS = 64
MAX_MEMBERS = 20_000

HOST_LIST_WATCH_S = 20.0
HOST_LIST_POLL_S = 60.0
HOST_LIST_RETRY_S = 2.0

# About six hops of one tick each stay well below the 3 s of a sighting.
RELAY_TICK_S = 0.25
# A host behind for less than this is catching up and is not named.
LAG_GRACE_S = 2.0
SUMMARY_MIN_INTERVAL_S = 1.0
# Summaries change seldom and reach new neighbours at once; the repeat only
# replaces lost ones. At 218 zones a repeat each minute would cost a watcher
# more bytes than everything else that it relays.
SUMMARY_REPEAT_S = 600.0
SUMMARY_EXPIRE_S = 1300.0
SUMMARY_MAX_LAGGING = 8
SUMMARY_ENTRY_HOSTS = 2
# Clocks of two hosts differ in speed by less than this.
CLOCK_DRIFT = 0.01
# Bounds what a flood of sightings can cost. A watcher has about 50 peers, so
# that ordinary ticks use a part of it.
RELAY_MAX_MESSAGES_PER_S = 240
RELAY_MAX_BYTES_PER_S = 256 * 1024
# The same sighting from many hosts at once is passed on once.
SIGHTING_REPEAT_S = 2.0
SIGHTING_MEMORY_S = 120.0
SIGHTING_MEMORY_COUNT = 20_000
RELAY_MAX_PENDING = 1000
RELAY_MAX_ZONES = 1000
