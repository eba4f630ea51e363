"""Hold limits of the exchanges with callers and backend servers."""

# Two attempts fit into the time in which a caller gives up connecting, and a
# lost opening packet is only sent again after a second.
CONNECT_TIMEOUT_S = 0.3
CONNECT_TRIES = 2
READ_CHUNK_BYTES = 65536
# Bounds the answers held in memory.
MAX_ANSWER_BYTES = 16 * 1024 * 1024
# Kept connections are given up this long before the server closes them.
KEPT_MARGIN_S = 1.0
# Kept this long where a server names no time.
KEPT_DEFAULT_S = 2.0
# A request that may run once only uses a connection that was in use this
# recently: one that the server has closed unseen leaves its outcome unknown.
KEPT_ONCE_ONLY_S = 1.0
# Idle connections kept to one server.
MAX_KEPT = 8
# Time in which a caller takes the last response and closes.
LINGER_S = 1.0
SWEEP_INTERVAL_S = 0.5
# Requests of one connection that are handled at the same time.
MAX_PIPELINED = 16
LISTEN_BACKLOG = 1024
# Used before the first configuration names the limits.
DEFAULT_HEADER_BYTES = 16 * 1024
DEFAULT_BODY_BYTES = 16 * 1024 * 1024
DEFAULT_HEADER_TIMEOUT_S = 5.0
DEFAULT_IDLE_TIMEOUT_S = 30.0
# Callers reuse a connection up to the idle timeout itself.
IDLE_MARGIN_S = 1.0
