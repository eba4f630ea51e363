"""Build tables from the status of entry hosts."""

from collections.abc import Iterable
from collections.abc import Sequence
from typing import Any
from typing import NamedTuple

# Keys of single servers and work entries are shown in the JSON output only.
SHOWN_KEY_PREFIXES = ("region:", "shift:", "link:")
# Fields of a quota key in the status, and columns of its table.
UNIT_STATES = ("limit", "share", "free", "held", "lent", "borrowed")


class StatusTable(NamedTuple):
    """Represent a table whose cells are formatted as text."""

    title: str
    header: tuple[str, ...]
    rows: tuple[tuple[str, ...], ...]


def build_tables(
    statuses: Sequence[dict[str, Any]],
) -> tuple[StatusTable, ...]:
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
            _sorted_rows(
                (reason, _field_text(status, "name"), count)
                for status in statuses
                for reason, count in status.get("refusals", {}).items()
            ),
        ),
        StatusTable(
            "store calls",
            ("kind", "outcome", "entry host", "count"),
            _sorted_rows(
                (
                    call["kind"],
                    call["outcome"],
                    _field_text(status, "name"),
                    count,
                )
                for status in statuses
                for call in status.get("store_calls", ())
                for count in (call["count"],)
            ),
        ),
    )


def _host_row(status: dict[str, Any]) -> tuple[str, ...]:
    seats = status.get("seats", {})
    return (
        _field_text(status, "name"),
        _field_text(status, "availability_zone"),
        _field_text(status, "state"),
        _field_text(status, "catalogue_position"),
        _field_text(status, "in_flight"),
        _field_text(status, "loop_lag_s"),
        str(min(seats.values())) if seats else "-",
        ", ".join(sorted(status.get("leaving_servers", ()))) or "-",
    )


def _headroom_rows(
    statuses: Sequence[dict[str, Any]],
) -> tuple[tuple[str, ...], ...]:
    sums: dict[tuple[str, str], tuple[int, int]] = {}
    for status in statuses:
        for region_headroom in status.get("headroom", ()):
            region_and_service = (
                region_headroom["region"],
                region_headroom["service"],
            )
            free, held = sums.get(region_and_service, (0, 0))
            sums[region_and_service] = (
                free + region_headroom["free"],
                held + region_headroom["held"],
            )
    return _sorted_rows(
        (*region_and_service, *amounts)
        for region_and_service, amounts in sums.items()
    )


def _quota_rows(
    statuses: Sequence[dict[str, Any]],
) -> tuple[tuple[str, ...], ...]:
    return _sorted_rows(
        (
            key,
            _field_text(status, "name"),
            *(account[state] for state in UNIT_STATES),
        )
        for status in statuses
        for key, account in status.get("quota", {}).items()
        if key.startswith(SHOWN_KEY_PREFIXES)
    )


def _rank_rows(
    statuses: Sequence[dict[str, Any]],
) -> tuple[tuple[str, ...], ...]:
    # Not sorted: each host reports its ranks in order, most urgent first.
    return tuple(
        (rank, _field_text(status, "name"), str(queued), str(round(wait_s, 3)))
        for status in statuses
        for rank, queued in status.get("queued", {}).items()
        for wait_s in (status["wait_s"][rank],)
    )


def _field_text(status: dict[str, Any], field: str) -> str:
    return str(status.get(field, "-"))


def _sorted_rows(rows: Iterable[Sequence[Any]]) -> tuple[tuple[str, ...], ...]:
    return tuple(sorted(tuple(map(str, row)) for row in rows))
