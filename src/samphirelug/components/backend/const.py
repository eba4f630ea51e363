"""Define limits of requests and probes to backend servers."""

# A connection attempt that takes longer fails; another server is tried.
CONNECT_TIMEOUT_S = 1.0
PROBE_INTERVAL_S = 1.0
# Interval for failed servers whose backoff has ended, so that they are used
# again soon after they recover.
RECOVERY_PROBE_INTERVAL_S = 0.25
PROBE_TIMEOUT_S = 1.0
MAX_PROBE_ANSWER_BYTES = 16 * 1024
