"""Test how the entry host's command takes bad settings."""

import socket

import pytest

from tests.components.commands import conftest

GOOD = {
    "--name": "eh1",
    "--availability-zone": "tallinn-a",
    "--region": "tallinn",
    "--store-url": "http://127.0.0.1:1",
    "--cluster-secret": "sixteen-characters",
    "--listen-address": "127.0.0.1",
    "--urgent-port": "0",
    "--interactive-port": "0",
    "--export-port": "0",
    "--peer-port": "0",
    "--operator-port": "0",
}


def run(servers: conftest.Servers, flags: dict[str, str]) -> str:
    """Return the line of standard error, after checking the exit code."""
    words = [word for pair in flags.items() for word in pair]
    result = servers.run("entry-host", "run", *words)
    assert result.exit_code == 2, result.stderr
    assert result.stderr.count("\n") == 1
    return str(result.stderr)


@pytest.mark.parametrize(
    ("flag", "value", "allowed"),
    [
        ("--name", "EH 1", "lower-case letters"),
        ("--urgent-port", "x", "0 to 65535"),
        ("--operator-port", "70000", "0 to 65535"),
        ("--listen-address", "host", "an IPv4 address"),
        ("--advertise-address", "0.0.0.0", "reach the host at"),
        ("--store-url", "store", "http://<address>:<port>"),
        ("--peer", "http://127.0.0.1:1", "ws://<address>:<port>"),
        ("--seat-lease-s", "0", "1 to 86400"),
        ("--lookup-keep-s", "nan", "0 to 600"),
        ("--probe-interval-s", "soon", "number of seconds"),
        ("--log-level", "LOUD", "DEBUG, INFO"),
    ],
)
def test_bad_value_is_one_line(
    servers: conftest.Servers, flag: str, value: str, allowed: str
) -> None:
    """Guard against a bad setting that is taken, or met by a traceback."""
    line = run(servers, {**GOOD, flag: value})
    for part in (flag, repr(value).strip("'"), allowed):
        assert part in line


@pytest.mark.parametrize("flag", list(GOOD)[:5])
def test_missing_flag_is_one_line(
    servers: conftest.Servers, flag: str
) -> None:
    """Guard against a start that does not say which setting it lacks."""
    line = run(servers, {key: GOOD[key] for key in GOOD if key != flag})
    variable = f"SAMPHIRELUG_{flag[2:].upper().replace('-', '_')}"
    assert flag in line
    assert variable in line
    assert "Allowed: " in line


def test_short_secret_is_not_printed(servers: conftest.Servers) -> None:
    """Guard against a secret that an error message shows."""
    line = run(servers, {**GOOD, "--cluster-secret": "tooshort"})
    assert "at least 16 characters" in line
    assert "tooshort" not in line


@pytest.mark.parametrize("flag", ["--export-port", "--operator-port"])
def test_address_in_use_is_one_line(
    servers: conftest.Servers, flag: str
) -> None:
    """Guard against a traceback when another process has the port."""
    with socket.create_server(("127.0.0.1", 0)) as taken:
        port = str(taken.getsockname()[1])
        line = run(servers, {**GOOD, flag: port})
    for part in (flag, port, "127.0.0.1", "Address already in use"):
        assert part in line
