"""Define limits and timeouts for the execution of requests."""

# Attempts for one request, including the first one.
MAX_ATTEMPTS = 4
# Retries allowed per first attempt.
RETRY_RATIO = 0.1
# Retries allowed regardless of traffic; without them a host with few
# requests could never retry.
MIN_RETRIES_PER_S = 1.0
MIN_RETRIES_BURST = 3.0
# This bound limits the burst of retries after a long period with few failures.
MAX_RETRY_CREDIT = 100.0
# Upper bound of the random delay before the second and each later retry,
# which keeps many requests from retrying at the same moment.
RETRY_JITTER_S = 0.02
# No retry is made with this much time or less left before the deadline.
MIN_RETRY_TIME_S = 0.005

# Must stay below MAX_PEER_MESSAGE_BYTES, since an outcome is sent to a peer
# in a single message.
MAX_KEPT_ANSWER_BYTES = 256 * 1024
MAX_KEPT_TOTAL_BYTES = 32 * 1024 * 1024
# When this many outcomes are stored, new tokens are refused; evicting the
# outcome of a used token could let its work run twice.
MAX_OUTCOMES = 50_000
# Outcomes are retained this long after their token has expired, so that the
# absence of an outcome proves that a recently expired token was not used.
# Must exceed the maximum age of a stopping host's last heartbeat.
RETENTION_AFTER_EXPIRY_S = 60.0

OUTCOME_QUERY_TIMEOUT_S = 1.0
HANDOVER_TIMEOUT_S = 2.0
HANDOVER_TRIES = 2
HANDOVER_MESSAGE_BYTES = 768 * 1024
RUNNING_RETRY_AFTER_S = 1.0
NOT_RUN_RETRY_AFTER_S = 1.0
# Added to the deadline while waiting for a run, so that the attempt can
# report its own timeout first.
WAIT_MARGIN_S = 0.25
