"""Hold the times of the watch over entry hosts."""

BEAT = "beat"
ASK = "ask"
ABSENT = "absent"
PRESENT = "present"
LEAVING = "leaving"

BEAT_INTERVAL_S = 0.75
# Hosts that get the beats of each host; one may stop at the same time.
MONITORS = 2
# Two beats may be lost before the host is asked.
ASK_AFTER_S = 1.6
# Callers time out after a second at a host that does not answer.
ABSENT_AFTER_S = 2.75
# Longer than any delay of a sound event loop.
PAUSED_AFTER_S = 1.5
# Notices are sent again this much later, since datagrams may get lost.
REPEAT_AFTER_S = 0.3
# A list up to this old shows hosts that have joined.
LIST_INTERVAL_S = 2.0
KIND = "entry-hosts"
