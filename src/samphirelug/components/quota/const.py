"""Define durations and sizes of quota accounting."""

from samphirelug import const

# A borrower may dispatch requests under a loan for this long.
LOAN_S = 2.0
# Upper bound on the relative difference in speed of two hosts' clocks. A
# borrower ends a loan this fraction earlier, since its clock may run slower
# than the lender's.
MAX_CLOCK_DRIFT = 0.01
# A request dispatched now may occupy its units for this long, not counting
# the release delay of the key. Timed by the lender's clock, which may run
# faster than the borrower's.
REQUEST_HOLD_S = (const.MAX_REQUEST_S + const.ORPHAN_MARGIN_S) * (
    1.0 + MAX_CLOCK_DRIFT
)
# Reserved link bytes stay in use for this long after their request: the
# one-second window of bytes_per_s, extended for clock drift.
LINK_RELEASE_DELAY_S = 1.0 * (1.0 + MAX_CLOCK_DRIFT)
# Bytes reserved on a link for a header block: the largest one accepted, plus
# the fields that the entry host adds to a request, such as its deadline.
LINK_HEADER_BYTES = const.MAX_HEADER_BYTES + 1024
