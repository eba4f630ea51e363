"""Carry out a leaving worker's earlier status report late."""

import asyncio
import os
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

import world as standins  # noqa: E402

HOSTS = 2
CLIENTS_PER_HOST = 10
HEARTBEAT_S = 1.5
DRAIN_S = 2.5
# A write without an answer is done 1 to 6 s later.
LATE_S = 4.2
# The worker serves for the drain time and "at times many seconds" more.
SERVES_AFTER_LEAVING_S = 4.2
RUN_S = 16.0


class ReportingWorker(standins.Worker):
    """Write a status report at each heartbeat, and leave when told to."""

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.sequence = 1
        self.state = "ready"
        # Seconds after which the next report is done, and not answered.
        self.lose_next_s = 0.0
        # Request IDs that reached it, with the time.
        self.arrivals = []

    async def run(self):
        """Report until the process ends."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.report()

    def report(self):
        """Write the present state."""
        self.sequence += 1
        if self.lose_next_s:
            self.record.write(
                f"worker {self.name} reports {self.state}, Sequence"
                f" {self.sequence}; no answer"
            )
            asyncio.get_running_loop().call_later(
                self.lose_next_s, self.write, self.state, self.sequence
            )
            self.lose_next_s = 0.0
            return
        self.write(self.state, self.sequence)

    def write(self, state, sequence):
        """Carry out a report in the store."""
        before = self.store.objects["servers", self.name]["Spec"]["Status"]
        if before["State"] == state:
            # Only the sequence would change, which is no change.
            return
        self.record.write(
            f"store: entry of {self.name} is now {state}, Sequence {sequence}"
        )
        self.write_entry(state, sequence)

    def leave(self):
        """Begin to leave, and report it at once."""
        self.state = "draining"
        self.extra_fields = "Server-Leaving: 1\r\n"
        self.report()

    async def answer(self, message):
        """Note the arrival of a request."""
        self.arrivals.append(
            (message.get(standins.REQUEST_ID), time.monotonic())
        )
        return await super().answer(message)


async def trouble_and_plan(world, worker, *, trouble):
    """Let a worker leave, with or without a late report before that."""
    await asyncio.sleep(4.0)
    worker.lose_next_s = LATE_S if trouble else 0.0
    worker.report()
    await asyncio.sleep(0.5)
    worker.leave()
    world.record.write(f"worker {worker.name} begins to leave")
    await asyncio.sleep(SERVES_AFTER_LEAVING_S)
    world.record.write(f"worker {worker.name} ends")
    world.store.delete("servers", worker.name)
    worker.end()


async def main():
    """Run the case and return the exit code."""
    record = standins.Record(HERE / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    world = standins.World(record)
    counts = {}
    try:
        await world.start(hosts=HOSTS, workers=4, worker_type=ReportingWorker)
        worker = world.workers[0]
        for each in world.workers:
            each.work_s = 0.3
            each.spread_s = 0.6
            world.keepers.append(asyncio.ensure_future(each.run()))
        until_s = time.monotonic() + RUN_S
        clients = [
            standins.SteadyClient(host, record, number=number, counts=counts)
            for host in world.hosts
            for number in range(CLIENTS_PER_HOST)
        ]
        await asyncio.gather(
            trouble_and_plan(world, worker, trouble=trouble),
            *(client.run(until_s) for client in clients),
        )
    except standins.CannotRunError as error:
        record.write(f"cannot run: {error}")
        return 2
    finally:
        world.stop()
    return judge(world, worker, clients, counts)


def judge(world, worker, clients, counts):
    """Return 1 if DRAIN is broken, and record what was seen."""
    broken = False
    for host in world.hosts:
        own = [client for client in clients if client.host is host]
        told = [at_s for client in own for at_s in client.leaving_answers_s]
        if not told:
            world.record.write(f"{host.name} passed on no Server-Leaving")
            continue
        sent = {
            request_id: at_s
            for client in own
            for request_id, at_s in client.sent_at_s.items()
        }
        late = [
            (request_id, sent[request_id] - min(told))
            for request_id, _ in worker.arrivals
            if request_id in sent and sent[request_id] > min(told) + DRAIN_S
        ]
        for request_id, after_s in late[:5]:
            world.record.write(
                f"late: {request_id} was sent {after_s:.2f} s after the first"
                f" Server-Leaving from {host.name} and reached {worker.name}"
            )
        world.record.write(
            f"{host.name}: {len(late)} requests sent later than Drain reached"
            f" the leaving worker, allowed are 0"
        )
        broken = broken or bool(late)
    lost = [
        request_id
        for client in clients
        for request_id, status in client.failures
        if request_id in {name for name, _ in worker.arrivals}
    ]
    world.record.write(
        f"requests that reached the leaving worker and got 502, 504 or no"
        f" answer: {len(lost)}"
    )
    world.record.write(f"answers by status: {sorted(counts.items())}")
    world.record.write("DRAIN is broken" if broken else "DRAIN holds")
    return 1 if broken else 0


if __name__ == "__main__":
    standins.run(main)
