"""Measure the latency that an entry host adds, and its request rates."""

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
    """Return a histogram of microseconds with three significant digits."""
    return histogram.HdrHistogram(1, MAX_LATENCY_US, 3)


async def time_requests(
    client: httpclient.AsyncHTTPClient,
    urls: list[str],
    *,
    count: int,
    concurrency: int,
    headers: dict[str, str] | None = None,
    body: str | None = None,
) -> tuple[histogram.HdrHistogram, float, int]:
    """Send requests and return their latencies, duration and failures.

    Latencies are in microseconds, the duration of all requests is in seconds.
    Failures are answers with another status than 200.
    """
    latencies = new_histogram()
    request_numbers = iter(range(count))
    failed = 0

    async def worker() -> None:
        nonlocal failed
        for number in request_numbers:
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
    await asyncio.gather(*(worker() for _ in range(concurrency)))
    return latencies, TIMER.monotonic() - started_s, failed


def resident_mb(process_id: int) -> float:
    """Return a process's resident memory in MB."""
    status = pathlib.Path(f"/proc/{process_id}/status").read_text()
    line = next(
        line for line in status.splitlines() if line.startswith("VmRSS")
    )
    return int(line.split()[1]) / 1024


def cpu_time_s(process_id: int) -> float:
    """Return the CPU time that a process has used, in seconds."""
    fields = pathlib.Path(f"/proc/{process_id}/stat").read_text()
    # utime and stime, in ticks of 10 ms. The name in parentheses before the
    # other fields may contain spaces.
    after_name = fields.rpartition(")")[2].split()
    return (int(after_name[11]) + int(after_name[12])) / 100


def print_latency(title: str, latencies: histogram.HdrHistogram) -> None:
    """Print median and p99 in milliseconds."""
    median = latencies.get_value_at_percentile(50) / 1000
    p99 = latencies.get_value_at_percentile(99) / 1000
    print(f"{title:34} median {median:.2f} ms, p99 {p99:.2f} ms")


async def measure(requests: int, service_s: float) -> None:
    """Compare requests to backend servers with those through an entry host."""
    hosts = demo.HOSTS
    async with fleet.Fleet(hosts=hosts) as running:
        names = [
            f"{zone}-{number}"
            for zones in demo.REGIONS.values()
            for zone in zones
            for number in "12"
        ]
        await running.start_servers("servers", names, service_s=service_s)
        await asyncio.gather(
            *(running.start_host(host.name, wait=False) for host in hosts)
        )
        await demo.apply_catalogue(running)
        for host in hosts:
            await running.wait_host_ready(host.name)
        await TIMER.sleep(2.0)
        host_name = hosts[0].name
        process_id = running.processes[host_name].pid
        print(f"memory at rest {resident_mb(process_id):.1f} MB")
        client = httpclient.AsyncHTTPClient(
            force_instance=True, max_clients=100
        )
        server_urls = [
            f"http://127.0.0.1:{running.server_ports[name]}/x"
            for name in names[:4]
        ]
        rank = core.Rank.INTERACTIVE
        run_url = f"{running.caller_url(host_name, rank)}/v1/run/case-status/x"
        headers = {const.HEADER_HOME_REGION: "tallinn"}
        for urls in (server_urls, [run_url]):
            await time_requests(
                client, urls, count=WARM_UP_REQUESTS, concurrency=1, body="x"
            )
        for concurrency in (1, 4):
            direct, _, _ = await time_requests(
                client,
                server_urls,
                count=requests,
                concurrency=concurrency,
                body="x",
            )
            through, _, failed = await time_requests(
                client,
                [run_url],
                count=requests,
                concurrency=concurrency,
                headers=headers,
                body="x",
            )
            print_latency(f"direct, {concurrency} at once", direct)
            print_latency(f"through an entry host, {concurrency}", through)
            for percentile in (50, 99):
                ratio = through.get_value_at_percentile(
                    percentile
                ) / direct.get_value_at_percentile(percentile)
                print(f"  ratio at {percentile}: {ratio:.2f}")
            print(f"  not answered: {failed}")
        start_cpu_s = cpu_time_s(process_id)
        _, seconds, failed = await time_requests(
            client,
            [run_url],
            count=requests * 4,
            concurrency=8,
            headers=headers,
            body="x",
        )
        used_s = cpu_time_s(process_id) - start_cpu_s
        print(
            f"requests {requests * 4 / seconds:.0f}/s with 8 at once, "
            f"{used_s / requests / 4 * 1e3:.2f} ms processor time each, "
            f"not answered {failed}"
        )
        lookup_url = (
            f"{running.caller_url(host_name)}"
            "/v1/lookup/case-status?from=tallinn"
        )
        start_cpu_s = cpu_time_s(process_id)
        _, seconds, failed = await time_requests(
            client, [lookup_url], count=requests * 4, concurrency=8
        )
        used_s = cpu_time_s(process_id) - start_cpu_s
        print(
            f"look-ups {requests * 4 / seconds:.0f}/s with 8 at once (the "
            f"client's loop is the bound), {used_s / requests / 4 * 1e6:.0f} "
            f"us processor time each, so {requests * 4 / used_s:.0f}/s a core"
        )


def main(requests: int = 500, service_s: float = 0.0) -> None:
    """Measure latencies and rates with a number of requests for each."""
    asyncio.run(measure(requests, service_s))


if __name__ == "__main__":
    typer.run(main)
