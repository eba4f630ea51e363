"""Wait until a catalogue change is in force on every entry host."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Mapping
from typing import NamedTuple

from samphirelug.components.commands import io_entry_host
from samphirelug.helpers import timer as timer_helper
from samphirelug import result_codes

POLL_INTERVAL_S = 0.25

Statuses = Mapping[str, io_entry_host.CatalogueStatus | None]


class Propagation(NamedTuple):
    """Represent how far a catalogue change has reached the entry hosts."""

    # Names of hosts on which the change is in force.
    in_force: tuple[str, ...]
    # Hosts on which it is not, with their position or "no answer".
    lagging: tuple[str, ...]
    # Entries of the change that a host rejected, with the reason.
    rejected: tuple[str, ...]

    @property
    def complete(self) -> bool:
        """Return whether all known hosts, at least one, have the change."""
        return bool(self.in_force) and not self.lagging


def merge_statuses(
    statuses: Statuses, *, revision: int, keys: Collection[str]
) -> Propagation:
    """Merge the catalogue statuses that entry hosts report.

    A host that does not answer counts as lagging, since it may be isolated
    and still serve requests with an older catalogue.
    """
    positions: dict[str, int] = {}
    lagging: list[str] = []
    rejected: dict[str, None] = {}
    for url, status in statuses.items():
        if status is None:
            lagging.append(f"{url} (no answer)")
            continue
        if status["position"] < revision:
            lagging.append(f"{url} (at {status['position']})")
            continue
        # Hosts below the revision are skipped above, since their rejections
        # may concern an older version of the entry.
        for key in sorted(status["rejected"].keys() & keys):
            rejected[f"{key}: {status['rejected'][key]}"] = None
    # Entry hosts also report the positions of their peers. Of several reports
    # on a host, the one with the highest position is the newest.
    for status in statuses.values():
        for host in status["hosts"] if status else ():
            positions[host["name"]] = max(
                host["position"], positions.get(host["name"], 0)
            )
    for name, position in sorted(positions.items()):
        if position < revision:
            lagging.append(f"{name} (at {position})")
    return Propagation(
        tuple(
            sorted(
                name
                for name, position in positions.items()
                if position >= revision
            )
        ),
        tuple(lagging),
        tuple(rejected),
    )


async def wait_in_force(
    *,
    fetch_statuses: Callable[[], Awaitable[Statuses]],
    revision: int,
    keys: Collection[str],
    timeout_s: float,
    timer: timer_helper.TimerService,
    on_progress: Callable[[Propagation], None],
) -> result_codes.Refusal | None:
    """Poll until a change is in force; return why it is not, or None."""
    end_s = timer.monotonic() + timeout_s
    while True:
        statuses = await fetch_statuses()
        propagation = merge_statuses(statuses, revision=revision, keys=keys)
        on_progress(propagation)
        if propagation.rejected:
            return result_codes.Refusal(
                result_codes.ResultCode.NOT_IN_FORCE,
                f"hosts rejected {'; '.join(propagation.rejected)}",
            )
        if propagation.complete:
            return None
        if timer.monotonic() >= end_s:
            break
        await timer.sleep(POLL_INTERVAL_S)
    if not any(statuses.values()):
        return result_codes.Refusal(
            result_codes.ResultCode.ENTRY_HOST_UNREACHABLE,
            f"revision {revision} is in the store; no entry host answered:"
            f" {', '.join(statuses)}",
        )
    return result_codes.Refusal(
        result_codes.ResultCode.NOT_IN_FORCE,
        f"revision {revision} is in the store and in force on"
        f" {len(propagation.in_force)} hosts; not in force after"
        f" {timeout_s:g} s on: {', '.join(propagation.lagging) or 'any host'}",
    )
