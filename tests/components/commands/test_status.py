"""Test the status command."""

import json

from tests.components.commands import conftest


def test_status(servers: conftest.Servers) -> None:
    """Guard against a status that leaves out hosts that do not answer."""
    servers.host.answers["/v1/status"] = (200, {"state": "serving"})
    ask = ("status", "--entry-host-url", servers.host.url)
    result = servers.run(*ask)
    assert result.exit_code == 0
    assert "state: serving" in result.stdout
    dead = "http://127.0.0.1:1"
    result = servers.run(*ask, "--entry-host-url", dead, "--json")
    assert result.exit_code == 8
    body = json.loads(result.stdout)
    assert body[servers.host.url] == {"state": "serving"}
    assert body[dead]["name"] == "ENTRY_HOST_UNREACHABLE"
