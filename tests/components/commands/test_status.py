"""Test the status command."""

import json

from tests.components.commands import conftest

STATUS = {
    "name": "eh1",
    "availability_zone": "tallinn-a",
    "state": "serving",
    "catalogue_position": 7,
    "in_flight": 3,
    "loop_lag_s": 0.002,
    "headroom": [
        {"region": "tallinn", "service": "filing", "free": 2, "held": 6}
    ],
    "quota": {
        "region:tallinn": {
            "limit": 12,
            "share": 6,
            "free": 2,
            "held": 3,
            "lent": 1,
            "borrowed": 0,
        }
    },
    "seats": {"region/tallinn": 812.5, "link/tallinn+tartu": 850.0},
    "refusals": {"shift_cap": 9},
    "store_calls": [{"kind": "get", "outcome": "ok", "count": 41}],
    "queued": {"urgent": 0, "interactive": 0, "export": 5},
    "wait_s": {"urgent": 0.0, "interactive": 0.0, "export": 1.25},
    "leaving_servers": ["tallinn-a-1"],
}


def test_status_reports_unreachable_hosts(
    environment: conftest.CommandEnvironment,
) -> None:
    """Guard against a status that omits hosts that do not answer."""
    environment.entry_host.answers["/v1/status"] = (200, {"state": "serving"})
    command = ("status", "--entry-host-url", environment.entry_host.url)
    result = environment.run(*command)
    assert result.exit_code == 0
    # A host of another version may lack fields.
    assert "-     -     serving  -" in result.stdout
    unreachable_url = "http://127.0.0.1:1"
    result = environment.run(
        *command, "--entry-host-url", unreachable_url, "--json"
    )
    assert result.exit_code == 8
    body = json.loads(result.stdout)
    assert body[environment.entry_host.url] == {"state": "serving"}
    assert body[unreachable_url]["name"] == "ENTRY_HOST_UNREACHABLE"


def test_tables_show_all_fields(
    environment: conftest.CommandEnvironment,
) -> None:
    """Guard against missing fields, and --watch that hangs in a pipe."""
    environment.entry_host.answers["/v1/status"] = (200, STATUS)
    command = (
        "status",
        "--watch",
        "--entry-host-url",
        environment.entry_host.url,
    )
    result = environment.run(*command)
    assert result.exit_code == 0
    rows = {" ".join(line.split()) for line in result.stdout.splitlines()}
    assert {
        "eh1 tallinn-a serving 7 3 0.002 812.5 tallinn-a-1",
        "tallinn filing 2 6",
        "region:tallinn eh1 12 6 2 3 1 0",
        "export eh1 5 1.25",
        "shift_cap eh1 9",
        "get ok eh1 41",
    } <= rows
