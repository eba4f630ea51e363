"""Select the fields of messages that a proxy forwards, and check values."""

from collections.abc import Iterable

# Fields that apply to a single connection only (RFC 9110, section 7.6.1).
HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
# Optional white space around a value, which the HTTP parser leaves behind it.
BLANKS = " \t"
# The largest whole number that fields are read as; longer ones count as this.
MAX_WHOLE_DIGITS = 15
MAX_WHOLE = 10**MAX_WHOLE_DIGITS
# A client must not interpret others (RFC 9110, section 15).
VALID_STATUSES = range(100, 600)

# Characters of field names other than letters, digits and the hyphen. Servers
# that pass fields on as variables replace them, most of them the underscore.
_ODD_NAME_CHARACTERS = str.maketrans(dict.fromkeys("!#$%&'*+.^_`|~", "-"))


def without_spellings(
    fields: Iterable[tuple[str, str]], *, names: frozenset[str]
) -> tuple[tuple[str, str], ...]:
    """Return the fields without those that a server may read as named ones.

    The names are in lower case.
    """
    return tuple(
        field
        for field in fields
        if field[0].lower().translate(_ODD_NAME_CHARACTERS) not in names
    )


def end_to_end_fields(
    fields: Iterable[tuple[str, str]], *, dropped: frozenset[str]
) -> tuple[tuple[str, str], ...]:
    """Return the fields to forward, without hop-by-hop and dropped ones.

    The names in dropped are in lower case.
    """
    pairs = tuple(fields)
    connection_options = {
        token.strip().lower()
        for name, value in pairs
        if name.lower() == "connection"
        for token in value.split(",")
    }
    excluded = connection_options | HOP_BY_HOP | dropped
    return tuple(pair for pair in pairs if pair[0].lower() not in excluded)


def parse_decimal(text: str) -> float | None:
    """Return a decimal number that is not negative, None if it is none."""
    # float() also accepts forms such as "inf", "nan" and "1_0".
    if not text.replace(".", "", 1).isdecimal() or not text.isascii():
        return None
    return float(text)


def parse_whole(text: str) -> int | None:
    """Return a whole number that is not negative, None if it is none.

    A larger one than MAX_WHOLE is read as this.
    """
    # isdigit() also accepts characters that int() does not, such as "²", and
    # int() fails with thousands of digits.
    if not (text.isascii() and text.isdecimal()):
        return None
    digits = text.lstrip("0") or "0"
    return int(digits) if len(digits) <= MAX_WHOLE_DIGITS else MAX_WHOLE
