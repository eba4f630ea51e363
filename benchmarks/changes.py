"""Measure how long a catalogue change takes to be in force everywhere."""

import asyncio
import json
import random

import typer

from benchmarks import deployment as deployment_module

TIMER = deployment_module.TIMER
CHANGES = 5
SLOW_S = 0.5
DOWN_S = 6.0
POLL_S = 0.02
TIMEOUT_S = 60.0


class Changes:
    """Make changes and watch the entry hosts' positions."""

    def __init__(
        self, place: deployment_module.Deployment, rng: random.Random
    ) -> None:
        self.place = place
        self.rng = rng

    async def set_faults(self, **faults: object) -> None:
        """Set faults of the store."""
        await self.place.running.client.fetch(
            f"{self.place.running.store_url}/control/faults",
            method="POST",
            body=json.dumps(faults),
        )

    async def positions(self) -> list[int]:
        """Return the position of each entry host."""
        answers = await asyncio.gather(
            *(
                self.place.running.get_json(
                    f"{self.place.running.operator_url(p.name)}"
                    "/v1/catalogue/status"
                )
                for p in self.place.hosts
            )
        )
        return [int(answer["position"]) for answer in answers]

    async def change(self) -> float:
        """Change a work entry; return the seconds the command took."""
        entry = self.rng.choice(list(self.place.works.values()))
        # Downwards, since one entry has the longest deadline allowed.
        entry["deadline_s"] = round(entry["deadline_s"] - 0.05, 2)
        return await self.place.apply([entry])

    async def in_force_s(self, before: list[int]) -> float:
        """Return the seconds until every host has passed its position."""
        started_s = TIMER.monotonic()
        while TIMER.monotonic() - started_s < TIMEOUT_S:
            now = await self.positions()
            if min(now) > max(before):
                return TIMER.monotonic() - started_s
            await TIMER.sleep(POLL_S)
        return TIMEOUT_S


async def measure(name: str, hosts: int, seed: int) -> None:
    """Time changes with the store well, slow and down."""
    async with deployment_module.Deployment(
        name=name, hosts=hosts, service_s=0.3
    ) as place:
        await TIMER.sleep(3.0)
        changes = Changes(place, random.Random(seed))
        print(
            f"{name}, {hosts} entry hosts, seed {seed}; command: seconds of "
            "the operator's command, a new process; in force: seconds from "
            "its end until the last host has the change"
        )
        for title, faults in (
            ("store well", {"delay_s": 0.0}),
            (f"store answers {SLOW_S} s late", {"delay_s": SLOW_S}),
        ):
            await changes.set_faults(**faults)
            for _ in range(CHANGES):
                before = await changes.positions()
                command_s = await changes.change()
                after_s = await changes.in_force_s(before)
                print(
                    f"  {title:28} command {command_s:5.2f} s, in force "
                    f"{after_s:5.2f} s"
                )
        await changes.set_faults(delay_s=0.0)
        for _ in range(2):
            before = await changes.positions()
            command_s = await changes.change()
            await changes.set_faults(down=True)
            after_s = await changes.in_force_s(before)
            print(
                f"  {'store down after the write':28} command "
                f"{command_s:5.2f} s, in force {after_s:5.2f} s"
            )
            await changes.set_faults(down=False)
            await TIMER.sleep(2.0)
        await changes.set_faults(down=True)
        started_s = TIMER.monotonic()
        try:
            await changes.change()
            print("  store down: the command ended well, which is wrong")
        except RuntimeError as error:
            seconds = TIMER.monotonic() - started_s
            print(f"  store down: refused after {seconds:.1f} s: {error}")
        await TIMER.sleep(DOWN_S)
        before = await changes.positions()
        await changes.set_faults(down=False)
        command_s = await changes.change()
        after_s = await changes.in_force_s(before)
        print(
            f"  {'store back after an outage':28} command {command_s:5.2f} s, "
            f"in force {after_s:5.2f} s"
        )


def main(deployment: str = "estonia", hosts: int = 8, seed: int = 1) -> None:
    """Time catalogue changes."""
    asyncio.run(measure(deployment, hosts, seed))


if __name__ == "__main__":
    typer.run(main)
