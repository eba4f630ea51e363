"""Test the start script of the platform."""

import os
import pathlib
import signal
import subprocess
import sys
import time

import orjson
import pytest

from standins.soak import world as soak_world

SCRIPT = pathlib.Path(__file__).parents[2] / "platform" / "start.py"


def handles_sigterm(pid: int) -> bool:
    """Return whether a process has a handler for SIGTERM."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    caught = int(status.split("SigCgt:")[1].split()[0], 16)
    return bool(caught & 1 << (signal.SIGTERM - 1))


@pytest.mark.parametrize("delay_s", [0.0, 0.1, 0.2, 0.3, 0.5, 1.0])
def test_stop_during_the_start_is_no_fault(
    delay_s: float, tmp_path: pathlib.Path
) -> None:
    """Guard against an exit code of -15 when a starting host is stopped.

    Seen in the soak (seed 803): SIGTERM came before its handler was set.
    """
    host = soak_world.HostProcess(
        number=9, folder=tmp_path, store_address="127.0.0.1:9"
    )
    path = tmp_path / "node.json"
    path.write_bytes(orjson.dumps(host.settings))
    process = subprocess.Popen(
        [sys.executable, str(SCRIPT)],
        env={**os.environ, "SAMPHIRELUG_SETTINGS": str(path)},
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    # Before the script has begun to run, no program can handle the signal.
    while not handles_sigterm(process.pid):
        assert process.poll() is None
        time.sleep(0.005)
    time.sleep(delay_s)
    process.send_signal(signal.SIGTERM)
    assert process.wait(timeout=30) == 0
