"""Test how the command entry-host run reports invalid settings."""

import socket

import pytest

from tests.components.commands import conftest

VALID_FLAGS = {
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


def run(
    environment: conftest.CommandEnvironment, flags: dict[str, str]
) -> str:
    """Return the error line of a command that exits with code 2."""
    arguments = [argument for pair in flags.items() for argument in pair]
    result = environment.run("entry-host", "run", *arguments)
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
def test_invalid_value_is_reported_in_one_line(
    environment: conftest.CommandEnvironment,
    flag: str,
    value: str,
    allowed: str,
) -> None:
    """Guard against a setting that is accepted or ends in a traceback."""
    line = run(environment, {**VALID_FLAGS, flag: value})
    for part in (flag, repr(value).strip("'"), allowed):
        assert part in line


@pytest.mark.parametrize("flag", list(VALID_FLAGS)[:5])
def test_missing_flag_is_reported_in_one_line(
    environment: conftest.CommandEnvironment, flag: str
) -> None:
    """Guard against an error that does not name the missing setting."""
    line = run(
        environment,
        {key: VALID_FLAGS[key] for key in VALID_FLAGS if key != flag},
    )
    variable = f"SAMPHIRELUG_{flag[2:].upper().replace('-', '_')}"
    assert flag in line
    assert variable in line
    assert "Allowed: " in line


def test_short_secret_is_not_printed(
    environment: conftest.CommandEnvironment,
) -> None:
    """Guard against an error message that contains the secret."""
    line = run(environment, {**VALID_FLAGS, "--cluster-secret": "tooshort"})
    assert "at least 16 characters" in line
    assert "tooshort" not in line


@pytest.mark.parametrize("flag", ["--export-port", "--operator-port"])
def test_address_in_use_is_reported_in_one_line(
    environment: conftest.CommandEnvironment, flag: str
) -> None:
    """Guard against a traceback when another process uses the port."""
    with socket.create_server(("127.0.0.1", 0)) as other_socket:
        port = str(other_socket.getsockname()[1])
        line = run(environment, {**VALID_FLAGS, flag: port})
    for part in (flag, port, "127.0.0.1", "Address already in use"):
        assert part in line
