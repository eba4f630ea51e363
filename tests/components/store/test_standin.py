"""Test the control interface and the start of the stand-in store."""

import asyncio
import json
import os
import pathlib
import subprocess
import sys

from tornado import httpclient

from standins import store as store_standin

ROOT = pathlib.Path(__file__).parents[3]


def test_control_endpoint_sets_faults_and_counts_calls() -> None:
    """Guard against a fault that is accepted without taking effect."""

    async def scenario() -> None:
        core = store_standin.StoreCore()
        base_url = f"http://127.0.0.1:{store_standin.listen(core, port=0)}"
        client = httpclient.AsyncHTTPClient()
        await client.fetch(f"{base_url}/v1/objects?prefix=a")
        await client.fetch(
            f"{base_url}/control/faults",
            method="POST",
            body=json.dumps({"down": True, "lose_answers": 2}),
        )
        assert core.faults.down
        assert core.faults.lose_answers == 2
        invalid = await client.fetch(
            f"{base_url}/control/faults",
            method="POST",
            body='{"down": "perhaps"}',
            raise_error=False,
        )
        assert invalid.code == 400
        calls = await client.fetch(f"{base_url}/control/calls")
        assert json.loads(calls.body) == {"list": 1, "waiting": 0}

    asyncio.run(scenario())


def test_process_prints_its_port_once_it_listens() -> None:
    """Guard against a ready line that is printed before the port is open."""
    with subprocess.Popen(
        [sys.executable, "-m", "standins.store"],
        cwd=ROOT,
        env={**os.environ, "PYTHONPATH": f"{ROOT / 'src'}:{ROOT}"},
        stdout=subprocess.PIPE,
        text=True,
    ) as process:
        assert process.stdout is not None
        line = process.stdout.readline()
        port = int(line.removeprefix("ready port="))
        answer = httpclient.HTTPClient().fetch(
            f"http://127.0.0.1:{port}/v1/objects"
        )
        assert json.loads(answer.body) == {"revision": 0, "objects": []}
        process.terminate()
