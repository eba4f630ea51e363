"""Define times, shares and sizes of the allowances of teams."""

# Teams are hashed to this many partitions, each of which has one owner. The
# number is fixed, since two owners of a team could exist while hosts differ
# on it. It exceeds the largest number of owners.
PARTITIONS = 256
# One owner for this many hosts. With 62 hosts, a host with requests of all
# teams sends to 8 owners, and each owner hears from 62 hosts.
HOSTS_PER_OWNER = 8
MAX_OWNERS = 128
# Hosts with less of the capacity of the strongest one own no teams.
OWNER_CAPACITY_RATIO = 0.5
# What the bound allows beyond the rate and the burst is divided between the
# capacity of the bucket, tokens in the stocks of hosts, and the variation of
# the time between admission and the start at a server.
CAPACITY_RATIO = 0.25
LIFETIME_RATIO = 0.3
# Part of it that the owner hands out in one window.
WINDOW_RATIO = 0.5
# Part of it that hosts may spend before tokens are handed out, so that
# requests of teams within their limit need not wait for an answer.
CREDIT_RATIO = 0.2
# Interval over which the tokens handed out are added up.
WINDOW_STEP_S = 0.1
# The slack reserved for hosts out of touch with owners.
EMERGENCY_RATIO = 0.25
# Longest lifetime of a token, so that small teams lose few tokens in stocks
# that are not used.
MAX_LIFETIME_S = 2.0

# An answer that takes longer is ignored, so that owner and host agree on the
# time from which a fallback is reserved.
ANSWER_WITHIN_S = 0.25
# A host falls back after this time without an answer; the owner reserves the
# rate of the fallback earlier by ANSWER_WITHIN_S.
FALLBACK_AFTER_S = 1.5
RESERVE_AFTER_S = FALLBACK_AFTER_S - ANSWER_WITHIN_S
# Duration of a fallback. A new owner has its partitions about 3 s after the
# death of the last one.
FALLBACK_S = 4.0
# Time after the end of an owner in which hosts may use what it named.
SUCCESSION_S = FALLBACK_AFTER_S + FALLBACK_S
# A new owner hands out only a part of the rate for this time: the last one
# may learn later of the change, and go on until then.
HANDOVER_S = 1.5
# While the whole system starts for the first time, ownership moves as hosts
# register. Until the second time owners name no fallbacks, so that until the
# first one others need not wait for their end.
FIRST_START_S = 8.0
FIRST_START_NO_FALLBACK_S = 15.0
# Smaller teams have no fallback, so that a new owner need not wait for its
# end. Spread over several hosts, it would be too small to serve anything.
FALLBACK_MIN_TEAM_PER_S = 8.0
# Smaller shares of hosts are not named as fallback.
FALLBACK_MIN_PER_S = 0.2
# A host with a fallback asks at least this often. The time of two questions
# is less than RESERVE_AFTER_S, so that nothing is set aside in calm.
KEEP_INTERVAL_S = 0.5
# Largest sum of fallbacks, as a ratio of the rate. A new owner hands out the
# rest at once.
FALLBACK_RATIO = 0.5
# Time constant of the rate that was granted to a host.
GRANTED_TAU_S = 1.5

# Time constant of a host's own demand.
DEMAND_TAU_S = 1.0
# A host asks ahead for its demand of this time, which covers two round trips
# between regions and the interval of ticks.
AHEAD_S = 0.25
# Largest ratio of a token's lifetime that it is asked for ahead.
AHEAD_LIFETIME_RATIO = 0.5
# Part of a token's lifetime for whose demand a host takes further tokens if
# there are plenty.
EXTRA_LIFETIME_RATIO = 0.7
# Ratio of the bucket that is left for other hosts.
PLENTY_RATIO = 0.75
# A team without requests for this time is no longer asked for.
IDLE_S = 5.0
# Interval at which hosts check whether to ask ahead.
TICK_S = 0.05
# A host asks for no tokens ahead for this time after it got none: some of
# them would expire, while others lack them.
SCARCE_S = 2.0
# An unanswered question is repeated after this time: a round trip between
# regions takes 40 ms, and either host may be stalled for a while.
RESEND_S = 0.1
# The same once the owner counts as unreachable.
UNREACHABLE_RESEND_S = 0.25
# Unanswered questions in a row after which the owner counts as unreachable.
# Further requests do not wait for it.
UNREACHABLE_AFTER = 5
# Longest time for which a request waits for a token.
MAX_WAIT_S = 0.15
# A timer that runs later than this shows that the process was stalled, as weak
# hosts are for parts of a tenth of a second. Answers may be unread then, for
# which a request waits this much longer.
STALL_S = 0.01
WAIT_AFTER_STALL_S = 0.05
# Times named to a host when there are no tokens. The shortest bounds the
# number of questions, the longest the time to find a raised limit.
MIN_REFUSE_S = 0.1
MAX_REFUSE_S = 1.0
# Largest ratio of the bucket that one question takes while it is scarce.
MAX_TAKE_RATIO = 0.5
# Most tokens that one question can ask for.
MAX_TOKENS = 10_000
# Longest time after which refused callers shall return.
MAX_RETRY_AFTER_S = 3.0

# What is known of a host that asked is forgotten after this time.
FORGET_HOST_S = 30.0
# Interval at which an owner looks for hosts to forget.
FORGET_INTERVAL_S = 5.0

# Delay before the socket is opened again after an error.
REOPEN_DELAY_S = 1.0

# Entries in one datagram, and the largest size that is read. An entry takes
# at most 28 bytes, so that a datagram stays below the usual MTU.
MAX_ENTRIES = 40
MAX_DATAGRAM_BYTES = 1_400
MAX_NAME_LENGTH = 128
# Maximum log lines per second for malformed datagrams.
MALFORMED_LOG_LINES_PER_S = 2
# Maximum log lines per second for teams over their limit.
LIMIT_LOG_LINES_PER_S = 5
# A team is within its limit again after this time without a refusal.
BACK_AFTER_S = 5.0
# Teams with a label of their own in the metrics; the others share one.
MAX_TEAM_LABELS = 99
# Interval at which the end of refusals is looked for.
REPORT_INTERVAL_S = 1.0
