"""Hold limits of the traffic to backend servers."""

# A server that does not accept a connection this fast is tried elsewhere.
CONNECT_TIMEOUT_S = 1.0
PROBE_INTERVAL_S = 1.0
# A failed server that may be tried again is probed this often.
NEEDED_PROBE_INTERVAL_S = 0.25
PROBE_TIMEOUT_S = 1.0
MAX_PROBE_ANSWER_BYTES = 16 * 1024
