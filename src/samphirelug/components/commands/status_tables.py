"""Lay out the status of entry hosts as tables."""

from collections.abc import Iterable
from collections.abc import Sequence
from typing import Any
from typing import NamedTuple

# Keys of single servers and work entries are in the JSON form only.
SHOWN_KEYS = ("region:", "shift:", "link:")
UNIT_STATES = ("limit", "share", "free", "held", "lent", "borrowed")


class StatusTable(NamedTuple):
    """Hold one table, ready to print."""

    title: str
    header: tuple[str, ...]
    rows: tuple[tuple[str, ...], ...]


def tables(statuses: Sequence[dict[str, Any]]) -> tuple[StatusTable, ...]:
    """Return the tables; a field that a host lacks is shown as "-"."""
    return (
        StatusTable(
            "entry hosts",
            (
                *("name", "zone", "state", "position", "in flight"),
                *("loop lag s", "seat left s", "leaving servers"),
            ),
            tuple(_host_row(status) for status in statuses),
        ),
        StatusTable(
            "headroom",
            ("region", "service", "free", "share"),
            _headroom_rows(statuses),
        ),
        StatusTable(
            "quota units",
            ("key", "entry host", *UNIT_STATES),
            _quota_rows(statuses),
        ),
        StatusTable(
            "ranks",
            ("rank", "entry host", "queued", "wait s"),
            _rank_rows(statuses),
        ),
        StatusTable(
            "refusals",
            ("reason", "entry host", "count"),
            _rows(
                (reason, _text(status, "name"), count)
                for status in statuses
                for reason, count in status.get("refusals", {}).items()
            ),
        ),
        StatusTable(
            "store calls",
            ("kind", "outcome", "entry host", "count"),
            _rows(
                (call["kind"], call["outcome"], _text(status, "name"), count)
                for status in statuses
                for call in status.get("store_calls", ())
                for count in (call["count"],)
            ),
        ),
    )


def _host_row(status: dict[str, Any]) -> tuple[str, ...]:
    seats = status.get("seats", {})
    return (
        _text(status, "name"),
        _text(status, "availability_zone"),
        _text(status, "state"),
        _text(status, "catalogue_position"),
        _text(status, "in_flight"),
        _text(status, "loop_lag_s"),
        str(min(seats.values())) if seats else "-",
        ", ".join(sorted(status.get("leaving_servers", ()))) or "-",
    )


def _headroom_rows(
    statuses: Sequence[dict[str, Any]],
) -> tuple[tuple[str, ...], ...]:
    sums: dict[tuple[str, str], tuple[int, int]] = {}
    for status in statuses:
        for room in status.get("headroom", ()):
            place = (room["region"], room["service"])
            free, held = sums.get(place, (0, 0))
            sums[place] = (free + room["free"], held + room["held"])
    return _rows((*place, *amounts) for place, amounts in sums.items())


def _quota_rows(
    statuses: Sequence[dict[str, Any]],
) -> tuple[tuple[str, ...], ...]:
    return _rows(
        (
            key,
            _text(status, "name"),
            *(account[state] for state in UNIT_STATES),
        )
        for status in statuses
        for key, account in status.get("quota", {}).items()
        if key.startswith(SHOWN_KEYS)
    )


def _rank_rows(
    statuses: Sequence[dict[str, Any]],
) -> tuple[tuple[str, ...], ...]:
    # Kept in the order of the ranks, the most urgent first.
    return tuple(
        (rank, _text(status, "name"), str(queued), str(round(wait_s, 3)))
        for status in statuses
        for rank, queued in status.get("queued", {}).items()
        for wait_s in (status["wait_s"][rank],)
    )


def _text(status: dict[str, Any], field: str) -> str:
    return str(status.get(field, "-"))


def _rows(rows: Iterable[Sequence[Any]]) -> tuple[tuple[str, ...], ...]:
    return tuple(sorted(tuple(map(str, row)) for row in rows))
