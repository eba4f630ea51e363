"""Let the last report of a worker's former lifetime come late."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "standins-3"))

import lab

HOSTS = 3
CLIENTS_PER_HOST = 12
PAUSE_S = 0.1
COLD_S = 3.0
COLD_PER_S = 2.7
COLD_OVERAGE = 1.5
COLD_SLACK = 5
DOWN_S = 2.0
# The store carries out the last report of the former lifetime this long after
# it was sent, and the new lifetime reports DOWN_S after it.
LATE_S = 2.3
ROUNDS = 3


async def case(record, folder, started):
    """Return whether the cold worker got no more than it tolerates."""
    store = lab.Store()
    await store.start()
    rules = [lab.rule("status", "safe", "desk")]
    store.put(
        "config", "main", lab.configuration(rules, cold_per_s=COLD_PER_S)
    )
    worker = lab.Worker(name="i-1", service="desk", record=record, slots=6)
    worker.work_s = 0.1
    await worker.start()
    port = int(worker.address.rpartition(":")[2])
    worker.beat(store)
    hosts = []
    for number in range(HOSTS):
        host = lab.Host(number=number, folder=folder, store=store)
        started.append(host)
        hosts.append(host)
        await host.start()
    for host in hosts:
        await host.wait_ready()
    counts = {}
    sent_at_s = {}
    stopped = asyncio.Event()

    async def send(host, number):
        client = lab.Client(host)
        count = 0
        while not stopped.is_set():
            count += 1
            request_id = f"{host.name}-{number}-{count}"
            sent_at_s[request_id] = time.monotonic()
            answer = await client.send(
                "/status/a", request_id, key=str(count % 24)
            )
            status = answer[0] if answer else "connection closed"
            counts[status] = counts.get(status, 0) + 1
            await asyncio.sleep(PAUSE_S)

    senders = [
        asyncio.ensure_future(send(host, number))
        for host in hosts
        for number in range(CLIENTS_PER_HOST)
    ]
    await asyncio.sleep(4.0)
    allowed = COLD_PER_S * COLD_OVERAGE + COLD_SLACK
    worst = 0
    for number in range(ROUNDS):
        last_report = worker.entry()
        reported_s = time.monotonic()
        worker.crash()
        record.write(f"lifetime {worker.born} ends")
        await asyncio.sleep(DOWN_S)
        await worker.start(port=port)
        began_s = time.monotonic()
        worker.cold_until_s = began_s + COLD_S
        worker.arrivals.clear()
        worker.beat(store)
        record.write(f"lifetime {worker.born} begins, cold for {COLD_S} s")
        await asyncio.sleep(reported_s + LATE_S - time.monotonic())
        if lab.has_trouble():
            record.write(f"late report of lifetime {last_report['born']}")
            store.put("servers", worker.name, last_report)
        await asyncio.sleep(began_s + COLD_S - time.monotonic())
        # Each request with when it was sent and when it arrived.
        requests = [
            (sent_at_s[request_id], at_s)
            for at_s, request_id in worker.arrivals
        ]
        most = max(
            (
                sum(
                    1
                    for other_sent_s, other_s in requests
                    if begin_s <= other_sent_s and other_s < begin_s + 1.0
                )
                for begin_s, _ in requests
            ),
            default=0,
        )
        record.write(
            f"round {number}: {len(requests)} requests while cold, at most"
            f" {most} within a second; allowed {allowed:.2f}"
        )
        worst = max(worst, most)
        await asyncio.sleep(4.0)
    stopped.set()
    await asyncio.gather(*senders)
    worker.beating.cancel()
    record.write(f"answers by status: {counts}")
    return worst <= allowed


lab.run_case(case)
