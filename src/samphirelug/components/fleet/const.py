"""Define notices and times for the detection of failed entry hosts."""

# Kinds of notices:
# - BEAT is the heartbeat of a running host, sent to its monitors only.
# - ALIVE says that the sender runs, after its start or an ASK. Whoever gets it
#   is not a monitor for that.
# - ASK requests a beat from a host that has been silent.
# - ABSENT reports that a host is silent, PRESENT that it is heard again.
# - LEAVING announces that the sender is about to stop.
# - STARTING answers an ASK while the sender cannot serve yet.
BEAT = "beat"
ASK = "ask"
ABSENT = "absent"
PRESENT = "present"
LEAVING = "leaving"
ALIVE = "alive"
STARTING = "starting"

BEAT_INTERVAL_S = 0.75
# Number of hosts that monitor each host, so that the failure of one of them at
# the same time delays nothing.
MONITORS_PER_HOST = 2
# A host that has been silent this long is asked: two beats may be lost.
ASK_AFTER_S = 1.6
# A host that has not answered for this long is absent. Until then look-up
# answers still list it, and its callers wait for a timeout of one second.
ANSWER_WITHIN_S = 1.15
# Interval at which it is asked until then, since datagrams may be lost.
ASK_INTERVAL_S = 0.3
# Number of hosts that one host asks at the same time.
MAX_ASKED_HOSTS = 8
# A longer gap between two checks means that this process was suspended. The
# event loop of a healthy process is never delayed this long.
SUSPENDED_AFTER_S = 1.5
# Notices other than BEAT, ASK and answers to it are sent a second time after
# this delay, since datagrams may be lost.
RESEND_DELAY_S = 0.3
# A silent cut from the store is noticed within about three seconds, when the
# keep-alive probes of its connections fail. The beats of other hosts stop at
# the cut itself.
STORE_LOSS_DELAY_S = 4.0
# Interval between two checks of this host's entry in the store.
CHECK_INTERVAL_S = 2.0
# A host that has removed its entry is forgotten after this time. Until then
# it may still serve requests, and has its share of what hosts have together.
FORGET_AFTER_S = 20.0
# A host that announced its stop removes its entry within this time, or cannot
# reach the store; then another host removes it.
LEFT_AFTER_S = 2.0
# Interval of the checks for entries of hosts that stopped.
STOPPED_CHECK_INTERVAL_S = 2.0
# The entry of a host that was absent for this long is removed. The host may
# only be out of touch, and goes on counting until then.
LOST_AFTER_S = 600.0
# Number of times that a host that others call absent is asked.
ASK_REPORTED_COUNT = 2
