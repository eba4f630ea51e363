"""Define limits of HTTP connections to callers and backend servers."""

# Two attempts of this length fit into the connect timeout of callers. The
# kernel would retransmit a lost SYN only after 1 s.
CONNECT_TIMEOUT_S = 0.3
CONNECT_ATTEMPTS = 2
READ_CHUNK_BYTES = 65536
# Bytes that are read at a time while no body is being received. Most heads are
# shorter, and what has been read is held until it is parsed.
HEAD_CHUNK_BYTES = 4096
# Larger answers are rejected, as answers are held in memory.
MAX_ANSWER_BYTES = 16 * 1024 * 1024
# Limit of all answers that are being received or sent at the same time. The
# smallest hosts have 200 MB, of which the process itself uses about 70 MB.
MAX_HELD_ANSWER_BYTES = 64 * 1024 * 1024
# Share of a process's memory that requests may take, on all connections
# together. Completing one takes twice its size for a moment.
HELD_REQUESTS_SHARE = 0.25
# Delay after which a caller may repeat a request that was refused for memory.
MEMORY_RETRY_AFTER_S = 0.5
# A response is written in steps of this size, so that its progress shows.
WRITE_STEP_BYTES = 256 * 1024
# A caller that has read nothing for this long loses its response if memory is
# short.
UNREAD_AFTER_S = 1.0
# A longer body is written apart from its head, as joining them would copy it.
MAX_JOINED_BODY_BYTES = 65536
# Limit of heads, trailers and framing in one exchange. Servers send heads of
# at most a few kilobytes.
MAX_FRAMING_BYTES = 64 * 1024
# Framing allowed beyond that for each byte of a body. A chunk of one byte has
# five bytes of framing.
FRAMING_BYTES_PER_BODY_BYTE = 8
# An idle connection is closed this long before the server would close it.
KEEP_ALIVE_MARGIN_S = 1.0
# Used if the server sends no timeout in a Keep-Alive header field.
DEFAULT_KEEP_ALIVE_S = 2.0
# A request that is not idempotent only uses a connection that was idle for at
# most this long. If the server has closed the connection and the close has
# not arrived yet, the outcome of the request is unknown.
MAX_IDLE_NOT_IDEMPOTENT_S = 1.0
# Idle connections that are kept open to one server incarnation.
MAX_IDLE_CONNECTIONS = 8
# Time that a caller has to read the last response and close the connection.
LINGER_S = 1.0
# Interval of the checks for idle connections and slow requests.
TIMEOUT_CHECK_INTERVAL_S = 0.5
# Requests of one connection that are handled at the same time.
MAX_PIPELINED = 16
LISTEN_BACKLOG = 1024
# Connections that are accepted in one iteration of the event loop.
ACCEPT_BATCH = 128
# Time after which a listener that had no room tries again to accept.
ACCEPT_PAUSE_S = 0.1
# Share of the host's descriptors that connections of callers may take. The
# remaining 0.15 are for backend servers and the store.
CALLER_DESCRIPTORS_SHARE = 0.6
# The same for look-ups. A caller keeps a connection for them only for seconds.
DIRECTORY_DESCRIPTORS_SHARE = 0.08
# The same for probes and for reads of the metrics, each of which comes once
# per second or less often.
PROBE_DESCRIPTORS_SHARE = 0.02
# The same for links of other hosts: 500 on the smallest hosts. A zone has
# at most two hosts that all others of it follow.
LINK_DESCRIPTORS_SHARE = 0.13
# Connections that each listener may have on hosts with few descriptors.
MIN_CONNECTIONS = 16
# Share of a listener's connections that one address may take. Callers behind
# one address may still be many.
PEER_SHARE = 0.5
# A connection whose other end has moved nothing for this long may be closed
# for room. Ordinary clients move something within a round trip.
STALLED_AFTER_S = 1.0
# A part of a request counts as a move from this size on, so that one byte at a
# time does not.
PROGRESS_BYTES = 1024
# Share of the connections that is closed at a time for room, since choosing
# them takes a scan of all.
CLOSED_SHARE = 1 / 16
# Pressure has ended when no connection was closed for room for this long.
PRESSURE_ENDS_AFTER_S = 5.0
# Limit of remembered scans without a result, one for each address.
MAX_REMEMBERED_SCANS = 1000
# Bytes of memory of a process that holds nothing for others (52 to 57 MB).
PROCESS_BYTES = 57_000_000
# Share of its memory that a process may take, and the share that what it holds
# for others may take in any case.
MEMORY_SHARE = 2 / 3
MIN_HELD_SHARE = 1 / 16
# Bytes of memory of a connection without requests, its tasks included.
CONNECTION_BYTES = 12_000
# The same for a connection of another host, with the web server's objects.
LINK_BYTES = 30_000
# Bytes of memory of a request that is being handled, besides its message.
PENDING_BYTES = 4_000
# The system keeps this much of answers that it has not sent yet. More would
# hide that a caller does not read.
UNSENT_BYTES = 65536
# In force until the first configuration sets the limits.
DEFAULT_HEADER_BYTES = 16 * 1024
DEFAULT_BODY_BYTES = 16 * 1024 * 1024
DEFAULT_HEADER_TIMEOUT_S = 5.0
DEFAULT_IDLE_TIMEOUT_S = 30.0
# Limits of requests to endpoints that take no bodies. The web server collects
# a body before it looks for who handles the request.
ENDPOINT_BODY_BYTES = 1024
ENDPOINT_BUFFER_BYTES = 128 * 1024
# Maximum log lines per second for rejected messages and for pauses of accept,
# since hostile clients can cause any number.
REJECTION_LOG_LINES_PER_S = 5
# Added to the idle timeout, as callers reuse a connection right up to it.
IDLE_MARGIN_S = 1.0
