"""Hold the times that loans and holds of quota units last."""

from samphirelug import const

# A borrower may dispatch under a loan for this long.
LOAN_S = 2.0
# The borrower stops earlier by this fraction, since its clock may run slower
# than the lender's.
CLOCK_DRIFT = 0.01
# A request dispatched now may occupy its units for this long, without the
# linger time of the key. It is timed by the lender's clock, which may run
# faster than the borrower's.
REQUEST_HOLD_S = (const.MAX_REQUEST_S + const.ORPHAN_MARGIN_S) * (
    1.0 + CLOCK_DRIFT
)
# Reserved link bytes count for this long, the window of bytes_per_s.
LINK_RELEASE_DELAY_S = 1.0 * (1.0 + CLOCK_DRIFT)
# Bound of a header block on a link, with the fields that the entry host adds
# to a request, such as its deadline.
LINK_HEADER_BYTES = const.MAX_HEADER_BYTES + 1024
