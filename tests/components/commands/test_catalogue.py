"""Test the catalogue commands against a fake store."""

import json
import pathlib
import threading
import time

import pytest

from tests.components.commands import conftest

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"
ESTONIA = str(EXAMPLES / "estonia.yaml")
STATUS_PATH = "/v1/catalogue/status"


def status_body(
    *positions: int, rejected: dict[str, str] | None = None
) -> dict[str, object]:
    """Return a catalogue status in which hosts have these positions."""
    return {
        "position": positions[0],
        "hosts": [
            {
                "name": f"eh{number}",
                "availability_zone": "tallinn-a",
                "position": position,
                "state": "serving",
            }
            for number, position in enumerate(positions, start=1)
        ],
        "rejected": rejected or {},
    }


@pytest.mark.parametrize("name", ["estonia", "norway"])
def test_example_catalogue_can_be_applied(
    environment: conftest.CommandEnvironment, name: str
) -> None:
    """Guard against an example that the commands reject or change."""
    path = str(EXAMPLES / f"{name}.yaml")
    result = environment.run("catalogue", "validate", path)
    assert (result.exit_code, result.stdout) == (0, "12 entries are valid\n")
    result = environment.catalogue("apply", path, "--json")
    assert result.exit_code == 0
    assert json.loads(result.stdout)["revision"] == 12
    result = environment.catalogue("diff", path)
    assert (result.exit_code, result.stdout) == (0, "")
    result = environment.catalogue("list", "--json", "--kind", "work")
    assert len(json.loads(result.stdout)) == 4


def test_edit_of_an_old_revision_is_a_conflict(
    environment: conftest.CommandEnvironment, tmp_path: pathlib.Path
) -> None:
    """Guard against an edit that overwrites a change made since."""
    environment.catalogue("apply", ESTONIA)
    text = environment.catalogue("get", "work/case-status").stdout
    edit = tmp_path / "edit.yaml"
    edit.write_text(text.replace("deadline_s: 5.0", "deadline_s: 6.0"))
    result = environment.catalogue("diff", str(edit))
    assert "-deadline_s: 5.0\n+deadline_s: 6.0" in result.stdout
    result = environment.catalogue("apply", str(edit))
    assert result.exit_code == 0
    assert result.stdout == "work/case-status: applied at revision 13\n"
    edit.write_text(text.replace("deadline_s: 5.0", "deadline_s: 7.0"))
    result = environment.catalogue("apply", str(edit), "--json")
    assert result.exit_code == 4
    detail = json.loads(result.stdout)["refusal"]["detail"]
    assert "deadline_s: 6.0" in detail
    assert "deadline_s: 7.0" in detail
    result = environment.catalogue(
        "delete", "work/case-status", "--revision", "11"
    )
    assert result.exit_code == 4
    result = environment.catalogue("delete", "work/case-status")
    assert result.exit_code == 0
    assert environment.catalogue("get", "work/case-status").exit_code == 9


def test_write_with_lost_answer_is_applied_once(
    environment: conftest.CommandEnvironment,
) -> None:
    """Guard against a write that is reported as failed or repeated."""
    environment.store.faults.lose_answers = 1
    environment.store.faults.lose_requests = 1
    result = environment.catalogue("apply", ESTONIA)
    assert result.exit_code == 0
    assert environment.store.revision == 12


def test_errors_in_files_are_reported(
    environment: conftest.CommandEnvironment, tmp_path: pathlib.Path
) -> None:
    """Guard against an invalid entry that reaches the store."""
    invalid_file = tmp_path / "invalid.yaml"
    text = pathlib.Path(ESTONIA).read_text()
    invalid_file.write_text(
        text.replace("deadline_s: 30.0", "deadline_s: 31.0")
    )
    result = environment.catalogue("apply", str(invalid_file))
    assert result.exit_code == 3
    assert "entry 12: deadline_s: is 31.0; allowed: less" in result.stderr
    for content in ("a: [", "", "- revision: x\n  kind: work\n"):
        invalid_file.write_text(content)
        assert environment.catalogue("apply", str(invalid_file)).exit_code == 3
    assert environment.catalogue("apply", str(tmp_path)).exit_code == 3
    assert environment.store.revision == 0


def test_wait_reports_lagging_hosts(
    environment: conftest.CommandEnvironment,
) -> None:
    """Guard against reporting a change in force before it is."""
    url = environment.entry_host.url
    wait = ("--wait", "--entry-host-url", url, "--timeout-s", "0.6")
    environment.entry_host.answers[STATUS_PATH] = (200, status_body(12, 11))
    result = environment.catalogue("apply", ESTONIA, *wait)
    assert result.exit_code == 7
    assert "not in force after 0.6 s on: eh2 (at 11)" in result.stderr
    environment.entry_host.answers[STATUS_PATH] = (
        200,
        status_body(12, 12, rejected={"work/pay-fee": "owner: is 1"}),
    )
    result = environment.catalogue("apply", ESTONIA, *wait)
    assert result.exit_code == 7
    assert "hosts rejected work/pay-fee: owner: is 1" in result.stderr
    environment.entry_host.answers[STATUS_PATH] = (200, status_body(12, 12))
    # An entry host that does not answer may be isolated and still serve.
    unreachable_url = "http://127.0.0.1:1"
    result = environment.catalogue(
        "apply", ESTONIA, *wait, "--entry-host-url", unreachable_url
    )
    assert result.exit_code == 7
    assert f"{unreachable_url} (no answer)" in result.stderr
    result = environment.catalogue("apply", ESTONIA, *wait)
    assert result.exit_code == 0
    assert result.stdout.endswith("in force on every host\n")
    environment.entry_host.answers.clear()
    assert environment.catalogue("apply", ESTONIA, *wait).exit_code == 8


def test_wait_ends_when_the_last_host_has_the_change(
    environment: conftest.CommandEnvironment,
) -> None:
    """Guard against a wait that queries the hosts only once."""
    environment.entry_host.answers[STATUS_PATH] = (200, status_body(12, 3))

    def update_last_host() -> None:
        time.sleep(1.0)
        environment.entry_host.answers[STATUS_PATH] = (
            200,
            status_body(12, 12),
        )

    thread = threading.Thread(target=update_last_host)
    thread.start()
    result = environment.catalogue(
        *("apply", ESTONIA, "--wait", "--json"),
        *("--entry-host-url", environment.entry_host.url),
    )
    thread.join()
    assert result.exit_code == 0
    assert json.loads(result.stdout)["in_force"] is True


def test_status_shows_lagging_hosts_and_rejections(
    environment: conftest.CommandEnvironment,
) -> None:
    """Guard against a status that hides lagging hosts or rejections."""
    environment.entry_host.answers[STATUS_PATH] = (
        200,
        status_body(5, 4, rejected={"work/w": "owner: is 1"}),
    )
    command = (
        "catalogue",
        "status",
        "--entry-host-url",
        environment.entry_host.url,
    )
    result = environment.run(*command)
    assert result.exit_code == 0
    assert "eh2   tallinn-a          4         serving" in result.stdout
    assert "rejected work/w: owner: is 1" in result.stderr
    assert environment.run(*command, "--revision", "4").exit_code == 0
    result = environment.run(*command, "--revision", "5", "--json")
    assert result.exit_code == 7
    assert "eh2 (at 4)" in result.stderr
    assert (
        json.loads(result.stdout)[environment.entry_host.url]["position"] == 5
    )


def test_store_outage_has_its_own_exit_code(
    environment: conftest.CommandEnvironment,
) -> None:
    """Guard against an exit code that does not show an outage."""
    environment.store.faults.down = True
    result = environment.catalogue("apply", ESTONIA, "--json")
    assert result.exit_code == 5
    refusal = json.loads(result.stdout)["refusal"]
    assert refusal["name"] == "STORE_UNAVAILABLE"


@pytest.mark.parametrize(
    ("variable", "value", "allowed"),
    [
        ("SAMPHIRELUG_STORE_URL", "store:80", "http://HOST:PORT"),
        ("SAMPHIRELUG_STORE_URL", "http://h:99999", "http://HOST:PORT"),
        ("SAMPHIRELUG_JSON", "perhaps", "true"),
        ("SAMPHIRELUG_KIND", "queue", "region, link"),
    ],
)
def test_invalid_variable_is_reported_in_one_line(
    environment: conftest.CommandEnvironment,
    monkeypatch: pytest.MonkeyPatch,
    variable: str,
    value: str,
    allowed: str,
) -> None:
    """Guard against an invalid environment variable that is accepted."""
    monkeypatch.setenv("SAMPHIRELUG_STORE_URL", environment.store_url)
    monkeypatch.setenv(variable, value)
    result = environment.run("catalogue", "list")
    assert result.exit_code == 2
    assert result.stderr.count("\n") == 1
    flag = variable.removeprefix("SAMPHIRELUG_").lower().replace("_", "-")
    for part in (f"--{flag}", variable, value, allowed):
        assert part in result.stderr


@pytest.mark.parametrize(
    "arguments",
    [
        ("catalogue", "list"),
        ("catalogue", "list", "--store-ur", "x"),
        ("catalogue", "status"),
        ("catalogue", "status", "--timeout-s", "nan"),
        ("catalogue", "status", "--revision", "-1"),
        ("catalogue", "get", "work", "--store-url", "http://127.0.0.1:1"),
        ("lookup", "w"),
        ("status", "--entry-host-url", "x"),
    ],
)
def test_invalid_flag_is_reported_in_one_line(
    environment: conftest.CommandEnvironment, arguments: tuple[str, ...]
) -> None:
    """Guard against an invalid flag that is accepted."""
    result = environment.run(*arguments)
    assert result.exit_code == 2
    assert result.stderr.count("\n") == 1
