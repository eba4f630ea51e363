"""Test the report on a request from the logs of entry hosts."""

import pathlib

import orjson
from typer import testing

from samphirelug import __main__
from samphirelug.components.commands import explain

ATTEMPT = {
    "server": "i-1",
    "zone": "a1",
    "choice": 0,
    "load": 1.5,
    "slots": 3,
    "load_age_ms": 40,
    "took_ms": 900,
    "outcome": "timeout",
    "detail": "no complete answer before the deadline",
}


def log_line(
    second: int, message: str, host: str = "h1", **fields: object
) -> str:
    """Return a log line with the text that a collector adds."""
    return (
        f"  {second}.0 {host} "
        + orjson.dumps(
            {
                "time": f"2026-12-04 10:00:{second:02},000",
                "level": "INFO",
                "name": "samphirelug",
                "message": message,
                "entry_host": host,
                **fields,
            }
        ).decode()
    )


LINES = [
    log_line(1, "store lost", detail="status 503"),
    log_line(2, "backend server paused", server="i-1", reason="not_sent"),
    log_line(2, "backend server paused", server="i-2", reason="not_sent"),
    log_line(3, "store lost", host="h2", detail="status 503"),
    "a line that is no JSON {",
    log_line(
        5,
        "request ended",
        request_id="r1",
        route="filing",
        object="17",
        service="desk",
        version=6,
        version_age_s=2.5,
        took_ms=900,
        attempts=[ATTEMPT],
        status=504,
        code="BACKEND_TIMEOUT",
        detail="no complete answer before the deadline",
    ),
    log_line(
        30,
        "request ended",
        request_id="r2",
        took_ms=0,
        attempts=[],
        status=503,
        code="OVERLOADED",
        detail=(
            "all candidate servers are full: i-2 has 4.8 requests for 3 slots"
        ),
        retry_after_s=0.2,
    ),
]


def describe_request(request_id: str, *, window_s: float = 10.0) -> str:
    """Return the report as one text."""
    log = list(explain.parse(LINES))
    return "\n".join(
        explain.describe_request(log, request_id, window_s=window_s)
    )


def test_attempts_and_estimated_loads_are_reported() -> None:
    """Guard against a failed request whose cause cannot be found."""
    report = describe_request("r1")
    assert "504 BACKEND_TIMEOUT" in report
    assert "1.5 requests for 3 slots (40 ms old): timeout" in report
    assert "configuration 6 in force for 2.5 s" in report


def test_attempt_at_a_cold_server_is_reported_as_such() -> None:
    """Guard against a report that hides which share the host assumed."""
    attempt = {**ATTEMPT, "cold_for_ms": 1200, "hosts": 8}
    line = log_line(1, "request ended", request_id="r1", attempts=[attempt])
    log = list(explain.parse([line]))
    report = "\n".join(explain.describe_request(log, "r1", window_s=10.0))
    assert "cold for 1200 ms, its rate shared by 8 hosts" in report


def test_rejected_key_is_explained_by_its_digest_and_configuration() -> None:
    """Guard against a caller whose keys seem unknown without a cause."""
    log = list(
        explain.parse(
            [
                log_line(
                    1,
                    "configuration refused; keeping the one in force",
                    version_in_force=6,
                ),
                log_line(
                    2,
                    "request ended",
                    request_id="r1",
                    code="CREDENTIAL_UNKNOWN",
                    status=401,
                    key_digest="f9556db3",
                ),
                log_line(3, "request ended", request_id="r2", team="kites"),
            ]
        )
    )
    rejected = "\n".join(explain.describe_request(log, "r1", window_s=9.0))
    assert "digest of the key begins with f9556db3" in rejected
    assert "1.000 s before: configuration refused" in rejected
    assert "  team kites" in explain.describe_request(log, "r2", window_s=9.0)


def test_only_events_of_the_same_host_and_servers_are_reported() -> None:
    """Guard against causes that the host could not know of."""
    report = describe_request("r1")
    assert "4.000 s before: store lost" in report
    assert "server=i-1" in report
    assert "server=i-2" not in report


def test_events_of_servers_named_in_a_refusal_are_reported() -> None:
    """Guard against a refusal without the events of its full servers."""
    assert "server=i-2" in describe_request("r2", window_s=60.0)
    assert "server=i-2" not in describe_request("r2")
    assert "sent to no server" in describe_request("r2")


def test_unknown_request_exits_with_code_1(tmp_path: pathlib.Path) -> None:
    """Guard against success for a request that no host logged."""
    path = tmp_path / "day.log"
    path.write_text("\n".join(LINES))
    runner = testing.CliRunner()
    known = runner.invoke(__main__.app, ["explain", "r1", "--log", str(path)])
    assert known.exit_code == 0
    assert "BACKEND_TIMEOUT" in known.output
    unknown = runner.invoke(
        __main__.app, ["explain", "r9", "--log", str(path)]
    )
    assert unknown.exit_code == 1


def test_error_of_a_server_is_not_called_done() -> None:
    """Guard against a report that calls a failed request a success."""
    line = log_line(1, "request ended", request_id="r1", status=500, code="OK")
    log = list(explain.parse([line]))
    report = "\n".join(explain.describe_request(log, "r1", window_s=10.0))
    assert "done" not in report
    assert "answered with this error" in report


def test_logs_may_be_given_in_any_order(tmp_path: pathlib.Path) -> None:
    """Guard against events that are missing since their file came later."""
    paths = [tmp_path / "late.log", tmp_path / "early.log"]
    paths[0].write_text("\n".join(LINES[4:]))
    paths[1].write_text("\n".join(LINES[:4]))
    result = testing.CliRunner().invoke(
        __main__.app,
        ["explain", "r1", *(f"--log={path}" for path in paths)],
    )
    assert "4.000 s before: store lost" in result.output
