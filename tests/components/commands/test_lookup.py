"""Test the look-up command."""

import json

from tests.components.commands import conftest

PATH = "/v1/lookup/case-status?from=tartu-a"
ANSWER = {
    "work": "case-status",
    "rank": "interactive",
    "keep_s": 10.0,
    "entry_hosts": [
        {
            "name": "eh1",
            "availability_zone": "tartu-a",
            "region": "tartu",
            "url": "http://127.0.0.1:80",
        }
    ],
    "run_token": "t",
}


def test_lookup_tries_the_next_host(
    environment: conftest.CommandEnvironment,
) -> None:
    """Guard against a command that stops at an unreachable host."""
    command = (
        *("lookup", "case-status", "--from", "tartu-a"),
        *("--caller-url", "http://127.0.0.1:1"),
        *("--caller-url", environment.entry_host.url),
    )
    environment.entry_host.answers[PATH] = (200, ANSWER)
    result = environment.run(*command, "--json")
    assert result.exit_code == 0
    assert json.loads(result.stdout) == ANSWER
    assert "eh1   tartu-a" in environment.run(*command).stdout
    environment.entry_host.answers[PATH] = (
        404,
        {"code": 1002, "name": "UNKNOWN_WORK", "detail": "no such work"},
    )
    result = environment.run(*command)
    assert result.exit_code == 1
    assert "UNKNOWN_WORK (1002)" in result.stderr
    environment.entry_host.answers[PATH] = (500, [])
    assert environment.run(*command).exit_code == 8
