"""Measure what the path adds to a request, and one entry host's rates."""

import asyncio
import pathlib

from hdrh import histogram
from tornado import httpclient
import typer

from samphirelug import const
from samphirelug import core
from samphirelug.helpers import timer
from standins import demo
from standins import fleet

WARM_UP_REQUESTS = 50
MAX_LATENCY_US = 60_000_000
TIMER = timer.LoopTimerService()


def new_histogram() -> histogram.HdrHistogram:
    """Return a histogram of microseconds with three digits."""
    return histogram.HdrHistogram(1, MAX_LATENCY_US, 3)


async def time_requests(
    client: httpclient.AsyncHTTPClient,
    urls: list[str],
    *,
    count: int,
    at_once: int,
    headers: dict[str, str] | None = None,
    body: str | None = None,
) -> tuple[histogram.HdrHistogram, float, int]:
    """Return latencies in us, seconds in all, and answers not 200."""
    latencies = new_histogram()
    numbers = iter(range(count))
    failed = 0

    async def worker() -> None:
        nonlocal failed
        for number in numbers:
            started_s = TIMER.monotonic()
            response = await client.fetch(
                httpclient.HTTPRequest(
                    urls[number % len(urls)],
                    method="GET" if body is None else "POST",
                    headers=headers or {},
                    body=body,
                ),
                raise_error=False,
            )
            elapsed_s = TIMER.monotonic() - started_s
            latencies.record_value(max(1, int(elapsed_s * 1e6)))
            failed += response.code != 200

    started_s = TIMER.monotonic()
    await asyncio.gather(*(worker() for _ in range(at_once)))
    return latencies, TIMER.monotonic() - started_s, failed


def resident_mb(process_id: int) -> float:
    """Return a process's resident memory in MB."""
    status = pathlib.Path(f"/proc/{process_id}/status").read_text()
    line = next(x for x in status.splitlines() if x.startswith("VmRSS"))
    return int(line.split()[1]) / 1024


def processor_s(process_id: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    fields = pathlib.Path(f"/proc/{process_id}/stat").read_text()
    after_name = fields.rpartition(")")[2].split()
    return (int(after_name[11]) + int(after_name[12])) / 100


def show_latency(title: str, latencies: histogram.HdrHistogram) -> None:
    """Print median and p99 in milliseconds."""
    median = latencies.get_value_at_percentile(50) / 1000
    p99 = latencies.get_value_at_percentile(99) / 1000
    print(f"{title:34} median {median:.2f} ms, p99 {p99:.2f} ms")


async def measure(requests: int, service_s: float) -> None:
    """Run all measurements of the path."""
    places = demo.HOSTS
    async with fleet.Fleet(hosts=places) as running:
        names = [
            f"{z}-{i}"
            for zs in demo.REGIONS.values()
            for z in zs
            for i in "12"
        ]
        await running.start_servers("servers", names, service_s=service_s)
        await asyncio.gather(
            *(running.start_host(p.name, wait=False) for p in places)
        )
        await demo.apply_catalogue(running)
        for place in places:
            await running.wait_host_ready(place.name)
        await TIMER.sleep(2.0)
        host = places[0].name
        process_id = running.processes[host].pid
        print(f"memory at rest {resident_mb(process_id):.1f} MB")
        client = httpclient.AsyncHTTPClient(
            force_instance=True, max_clients=100
        )
        servers = [
            f"http://127.0.0.1:{running.server_ports[name]}/x"
            for name in names[:4]
        ]
        rank = core.Rank.INTERACTIVE
        path = f"{running.caller_url(host, rank)}/v1/run/case-status/x"
        headers = {const.HEADER_HOME_REGION: "tallinn"}
        for urls in (servers, [path]):
            await time_requests(
                client, urls, count=WARM_UP_REQUESTS, at_once=1, body="x"
            )
        for at_once in (1, 4):
            direct, _, _ = await time_requests(
                client, servers, count=requests, at_once=at_once, body="x"
            )
            through, _, failed = await time_requests(
                client,
                [path],
                count=requests,
                at_once=at_once,
                headers=headers,
                body="x",
            )
            show_latency(f"direct, {at_once} at once", direct)
            show_latency(f"through an entry host, {at_once}", through)
            for percentile in (50, 99):
                ratio = through.get_value_at_percentile(
                    percentile
                ) / direct.get_value_at_percentile(percentile)
                print(f"  ratio at {percentile}: {ratio:.2f}")
            print(f"  not answered: {failed}")
        before_s = processor_s(process_id)
        _, seconds, failed = await time_requests(
            client,
            [path],
            count=requests * 4,
            at_once=8,
            headers=headers,
            body="x",
        )
        used_s = processor_s(process_id) - before_s
        print(
            f"requests {requests * 4 / seconds:.0f}/s with 8 at once, "
            f"{used_s / requests / 4 * 1e3:.2f} ms processor time each, "
            f"not answered {failed}"
        )
        lookup = (
            f"{running.caller_url(host)}/v1/lookup/case-status?from=tallinn"
        )
        before_s = processor_s(process_id)
        _, seconds, failed = await time_requests(
            client, [lookup], count=requests * 4, at_once=8
        )
        used_s = processor_s(process_id) - before_s
        print(
            f"look-ups {requests * 4 / seconds:.0f}/s with 8 at once (the "
            f"client's loop is the bound), {used_s / requests / 4 * 1e6:.0f} "
            f"us processor time each, so {requests * 4 / used_s:.0f}/s a core"
        )


def main(requests: int = 500, service_s: float = 0.0) -> None:
    """Measure the path with a number of requests for each figure."""
    asyncio.run(measure(requests, service_s))


if __name__ == "__main__":
    typer.run(main)
