"""Wait until a catalogue change is in force on every host."""

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


class Spread(NamedTuple):
    """Tell which hosts have a change and which lag."""

    in_force: tuple[str, ...]
    # With the position, or the reason why it is not known.
    lagging: tuple[str, ...]
    # Entries of the change that a host refused, with the reason.
    rejected: tuple[str, ...]

    @property
    def complete(self) -> bool:
        """Return whether every known host has the change."""
        return bool(self.in_force) and not self.lagging


def spread_of(
    statuses: Statuses, *, revision: int, keys: Collection[str]
) -> Spread:
    """Merge what entry hosts report about a change.

    A host that does not answer counts as lagging: it may be isolated and
    still serve with an older catalogue.
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
        # Before this revision the host may report an older version.
        for key in sorted(status["rejected"].keys() & keys):
            rejected[f"{key}: {status['rejected'][key]}"] = None
    for status in statuses.values():
        for host in status["hosts"] if status else ():
            positions[host["name"]] = max(
                host["position"], positions.get(host["name"], 0)
            )
    for name, position in sorted(positions.items()):
        if position < revision:
            lagging.append(f"{name} (at {position})")
    return Spread(
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
    ask: Callable[[], Awaitable[Statuses]],
    revision: int,
    keys: Collection[str],
    timeout_s: float,
    timer: timer_helper.TimerService,
    on_progress: Callable[[Spread], None],
) -> result_codes.Refusal | None:
    """Poll until a change is in force everywhere; None says that it is."""
    until_s = timer.monotonic() + timeout_s
    while True:
        statuses = await ask()
        spread = spread_of(statuses, revision=revision, keys=keys)
        on_progress(spread)
        if spread.rejected:
            return result_codes.Refusal(
                result_codes.ResultCode.NOT_IN_FORCE,
                f"hosts refused {'; '.join(spread.rejected)}",
            )
        if spread.complete:
            return None
        if timer.monotonic() >= until_s:
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
        f" {len(spread.in_force)} hosts; not in force after {timeout_s:g} s"
        f" on: {', '.join(spread.lagging) or 'any host'}",
    )
