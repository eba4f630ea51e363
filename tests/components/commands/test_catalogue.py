"""Test the catalogue commands against the store's stand-in."""

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
    return {
        "position": positions[0],
        "hosts": [
            {
                "name": f"eh{place}",
                "availability_zone": "tallinn-a",
                "position": position,
                "state": "serving",
            }
            for place, position in enumerate(positions, start=1)
        ],
        "rejected": rejected or {},
    }


@pytest.mark.parametrize("name", ["estonia", "norway"])
def test_whole_catalogue(servers: conftest.Servers, name: str) -> None:
    """Guard against an example that cannot be applied."""
    path = str(EXAMPLES / f"{name}.yaml")
    result = servers.run("catalogue", "validate", path)
    assert (result.exit_code, result.stdout) == (0, "12 entries are valid\n")
    result = servers.catalogue("apply", path, "--json")
    assert result.exit_code == 0
    assert json.loads(result.stdout)["revision"] == 12
    result = servers.catalogue("diff", path)
    assert (result.exit_code, result.stdout) == (0, "")
    result = servers.catalogue("list", "--json", "--kind", "work")
    assert len(json.loads(result.stdout)) == 4


def test_edit_of_an_old_version_is_a_conflict(
    servers: conftest.Servers, tmp_path: pathlib.Path
) -> None:
    """Guard against an edit that overwrites a change made since."""
    servers.catalogue("apply", ESTONIA)
    text = servers.catalogue("get", "work/case-status").stdout
    edit = tmp_path / "edit.yaml"
    edit.write_text(text.replace("deadline_s: 5.0", "deadline_s: 6.0"))
    result = servers.catalogue("diff", str(edit))
    assert "-deadline_s: 5.0\n+deadline_s: 6.0" in result.stdout
    result = servers.catalogue("apply", str(edit))
    assert result.exit_code == 0
    assert result.stdout == "work/case-status: applied at revision 13\n"
    edit.write_text(text.replace("deadline_s: 5.0", "deadline_s: 7.0"))
    result = servers.catalogue("apply", str(edit), "--json")
    assert result.exit_code == 4
    detail = json.loads(result.stdout)["refusal"]["detail"]
    assert "deadline_s: 6.0" in detail
    assert "deadline_s: 7.0" in detail
    result = servers.catalogue(
        "delete", "work/case-status", "--revision", "11"
    )
    assert result.exit_code == 4
    result = servers.catalogue("delete", "work/case-status")
    assert result.exit_code == 0
    assert servers.catalogue("get", "work/case-status").exit_code == 9


def test_lost_answer_is_success_once(servers: conftest.Servers) -> None:
    """Guard against a write that is reported lost or made twice."""
    servers.core.faults.lose_answers = 1
    servers.core.faults.lose_requests = 1
    result = servers.catalogue("apply", ESTONIA)
    assert result.exit_code == 0
    assert servers.core.revision == 12


def test_faults_of_files_are_named(
    servers: conftest.Servers, tmp_path: pathlib.Path
) -> None:
    """Guard against an invalid entry that reaches the store."""
    bad = tmp_path / "bad.yaml"
    text = pathlib.Path(ESTONIA).read_text()
    bad.write_text(text.replace("deadline_s: 30.0", "deadline_s: 31.0"))
    result = servers.catalogue("apply", str(bad))
    assert result.exit_code == 3
    assert "entry 12: deadline_s: is 31.0; allowed: less" in result.stderr
    for content in ("a: [", "", "- revision: x\n  kind: work\n"):
        bad.write_text(content)
        assert servers.catalogue("apply", str(bad)).exit_code == 3
    assert servers.catalogue("apply", str(tmp_path)).exit_code == 3
    assert servers.core.revision == 0


def test_wait_names_the_hosts_that_lag(servers: conftest.Servers) -> None:
    """Guard against a change that is reported in force before it is."""
    url = servers.host.url
    wait = ("--wait", "--entry-host-url", url, "--timeout-s", "0.6")
    servers.host.answers[STATUS_PATH] = (200, status_body(12, 11))
    result = servers.catalogue("apply", ESTONIA, *wait)
    assert result.exit_code == 7
    assert "not in force after 0.6 s on: eh2 (at 11)" in result.stderr
    servers.host.answers[STATUS_PATH] = (
        200,
        status_body(12, 12, rejected={"work/pay-fee": "owner: is 1"}),
    )
    result = servers.catalogue("apply", ESTONIA, *wait)
    assert result.exit_code == 7
    assert "hosts refused work/pay-fee: owner: is 1" in result.stderr
    servers.host.answers[STATUS_PATH] = (200, status_body(12, 12))
    # An entry host that does not answer may be isolated, and still serve.
    dead = "http://127.0.0.1:1"
    result = servers.catalogue(
        "apply", ESTONIA, *wait, "--entry-host-url", dead
    )
    assert result.exit_code == 7
    assert f"{dead} (no answer)" in result.stderr
    result = servers.catalogue("apply", ESTONIA, *wait)
    assert result.exit_code == 0
    assert result.stdout.endswith("in force on every host\n")
    servers.host.answers.clear()
    assert servers.catalogue("apply", ESTONIA, *wait).exit_code == 8


def test_wait_returns_when_the_last_host_has_it(
    servers: conftest.Servers,
) -> None:
    """Guard against a wait that asks only once."""
    servers.host.answers[STATUS_PATH] = (200, status_body(12, 3))

    def catch_up() -> None:
        time.sleep(1.0)
        servers.host.answers[STATUS_PATH] = (200, status_body(12, 12))

    thread = threading.Thread(target=catch_up)
    thread.start()
    result = servers.catalogue(
        *("apply", ESTONIA, "--wait", "--json"),
        *("--entry-host-url", servers.host.url),
    )
    thread.join()
    assert result.exit_code == 0
    assert json.loads(result.stdout)["in_force"] is True


def test_status(servers: conftest.Servers) -> None:
    """Guard against a status that hides lagging hosts and refusals."""
    servers.host.answers[STATUS_PATH] = (
        200,
        status_body(5, 4, rejected={"work/w": "owner: is 1"}),
    )
    ask = ("catalogue", "status", "--entry-host-url", servers.host.url)
    result = servers.run(*ask)
    assert result.exit_code == 0
    assert "eh2   tallinn-a          4         serving" in result.stdout
    assert "refused work/w: owner: is 1" in result.stderr
    assert servers.run(*ask, "--revision", "4").exit_code == 0
    result = servers.run(*ask, "--revision", "5", "--json")
    assert result.exit_code == 7
    assert "eh2 (at 4)" in result.stderr
    assert json.loads(result.stdout)[servers.host.url]["position"] == 5


def test_store_that_is_down(servers: conftest.Servers) -> None:
    """Guard against an exit code that hides the outage."""
    servers.core.faults.down = True
    result = servers.catalogue("apply", ESTONIA, "--json")
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
def test_bad_setting_is_one_line(
    servers: conftest.Servers,
    monkeypatch: pytest.MonkeyPatch,
    variable: str,
    value: str,
    allowed: str,
) -> None:
    """Guard against a bad environment variable that is taken as is."""
    monkeypatch.setenv("SAMPHIRELUG_STORE_URL", servers.store_url)
    monkeypatch.setenv(variable, value)
    result = servers.run("catalogue", "list")
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
def test_bad_flag_is_one_line(
    servers: conftest.Servers, arguments: tuple[str, ...]
) -> None:
    """Guard against a bad flag that is taken as is."""
    result = servers.run(*arguments)
    assert result.exit_code == 2
    assert result.stderr.count("\n") == 1
