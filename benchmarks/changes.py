"""Measure how long catalogue changes take to be in force on all hosts."""

import asyncio
import json
import random

import typer

from benchmarks import deployment as deployment_module

TIMER = deployment_module.TIMER
CHANGES = 5
STORE_DELAY_S = 0.5
OUTAGE_S = 6.0
POLL_INTERVAL_S = 0.02
TIMEOUT_S = 60.0


class ChangeTimer:
    """Change the catalogue and poll the entry hosts' positions."""

    def __init__(
        self, deployment: deployment_module.Deployment, rng: random.Random
    ) -> None:
        self.deployment = deployment
        self.rng = rng

    async def set_faults(self, **faults: object) -> None:
        """Set faults of the fake store."""
        await self.deployment.fleet.client.fetch(
            f"{self.deployment.fleet.store_url}/control/faults",
            method="POST",
            body=json.dumps(faults),
        )

    async def positions(self) -> list[int]:
        """Return the catalogue position of each entry host."""
        answers = await asyncio.gather(
            *(
                self.deployment.fleet.get_json(
                    f"{self.deployment.fleet.operator_url(host.name)}"
                    "/v1/catalogue/status"
                )
                for host in self.deployment.hosts
            )
        )
        return [int(answer["position"]) for answer in answers]

    async def apply_change(self) -> float:
        """Change a work entry; return how long the command took in seconds."""
        entry = self.rng.choice(list(self.deployment.works.values()))
        # The deadline is lowered, since that of one entry is the longest
        # allowed.
        entry["deadline_s"] = round(entry["deadline_s"] - 0.05, 2)
        return await self.deployment.apply([entry])

    async def wait_in_force(self, before: list[int]) -> float:
        """Return the seconds until all hosts are past the given positions.

        Returns TIMEOUT_S if that takes longer.
        """
        started_s = TIMER.monotonic()
        while TIMER.monotonic() - started_s < TIMEOUT_S:
            positions = await self.positions()
            if min(positions) > max(before):
                return TIMER.monotonic() - started_s
            await TIMER.sleep(POLL_INTERVAL_S)
        return TIMEOUT_S


async def measure(name: str, hosts: int, seed: int) -> None:
    """Time changes while the store is healthy, slow and unavailable."""
    async with deployment_module.Deployment(
        name=name, hosts=hosts, service_s=0.3
    ) as deployment:
        await TIMER.sleep(3.0)
        change_timer = ChangeTimer(deployment, random.Random(seed))
        print(
            f"{name}, {hosts} entry hosts, seed {seed}; command: seconds of "
            "the operator's command, a new process; in force: seconds from "
            "its end until the last host has the change"
        )
        for title, faults in (
            ("store well", {"delay_s": 0.0}),
            (
                f"store answers {STORE_DELAY_S} s late",
                {"delay_s": STORE_DELAY_S},
            ),
        ):
            await change_timer.set_faults(**faults)
            for _ in range(CHANGES):
                before = await change_timer.positions()
                command_s = await change_timer.apply_change()
                in_force_s = await change_timer.wait_in_force(before)
                print(
                    f"  {title:28} command {command_s:5.2f} s, in force "
                    f"{in_force_s:5.2f} s"
                )
        await change_timer.set_faults(delay_s=0.0)
        for _ in range(2):
            before = await change_timer.positions()
            command_s = await change_timer.apply_change()
            await change_timer.set_faults(down=True)
            in_force_s = await change_timer.wait_in_force(before)
            print(
                f"  {'store down after the write':28} command "
                f"{command_s:5.2f} s, in force {in_force_s:5.2f} s"
            )
            await change_timer.set_faults(down=False)
            await TIMER.sleep(2.0)
        await change_timer.set_faults(down=True)
        started_s = TIMER.monotonic()
        try:
            await change_timer.apply_change()
            print("  store down: the command ended well, which is wrong")
        except RuntimeError as error:
            seconds = TIMER.monotonic() - started_s
            print(f"  store down: refused after {seconds:.1f} s: {error}")
        await TIMER.sleep(OUTAGE_S)
        before = await change_timer.positions()
        await change_timer.set_faults(down=False)
        command_s = await change_timer.apply_change()
        in_force_s = await change_timer.wait_in_force(before)
        print(
            f"  {'store back after an outage':28} command {command_s:5.2f} s, "
            f"in force {in_force_s:5.2f} s"
        )


def main(deployment: str = "estonia", hosts: int = 8, seed: int = 1) -> None:
    """Measure the delays of catalogue changes."""
    asyncio.run(measure(deployment, hosts, seed))


if __name__ == "__main__":
    typer.run(main)
