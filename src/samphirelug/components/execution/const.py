"""Hold limits of the execution of requests."""

# Attempts for one request, the first included.
MAX_ATTEMPTS = 4
# Retries as a share of first tries.
RETRY_SHARE = 0.1
# A host with little traffic could otherwise never retry.
RETRY_FLOOR_PER_S = 1.0
RETRY_FLOOR_BURST = 3.0
# Bounds the retries that a quiet period can save up.
RETRY_MAX_SAVED = 100.0
# Spreads the second and later retries of many requests in time.
RETRY_PAUSE_S = 0.02
# An attempt with less time left than this is not worth a retry.
MIN_RETRY_TIME_S = 0.005

# Less than MAX_PEER_MESSAGE_BYTES, since an outcome travels in one message.
MAX_KEPT_ANSWER_BYTES = 256 * 1024
MAX_KEPT_TOTAL_BYTES = 32 * 1024 * 1024
# A full book refuses new tokens; it never forgets a used one.
MAX_OUTCOMES = 50_000
# Records outlive their tokens by this long, so that a token that expired a
# short time ago is known to be unused when there is no record of it. Must
# exceed the age that the last heartbeat of a stopping host can have.
KEEP_AFTER_EXPIRY_S = 60.0

OUTCOME_QUERY_TIMEOUT_S = 1.0
HANDOVER_TIMEOUT_S = 2.0
HANDOVER_TRIES = 2
HANDOVER_MESSAGE_BYTES = 768 * 1024
RUNNING_RETRY_AFTER_S = 1.0
NOT_RUN_RETRY_AFTER_S = 1.0
# Lets the attempt report its own time-out before a waiting caller gives up.
WAIT_MARGIN_S = 0.25
