"""Test the commands on the platform's configurations."""

import json
import os
import pathlib
import pty
import select
import subprocess
import sys
from typing import Any

import orjson
import pytest
from typer import testing

from samphirelug import __main__
from samphirelug.helpers import credentials
from tests.platform_adapter import test_keys
from tests.platform_adapter import test_objects

KEY = test_keys.KEY
DIGEST = credentials.digest(KEY.encode())


def write(path: pathlib.Path, spec: Any) -> str:
    """Write a configuration and return the name of its file."""
    path.write_bytes(orjson.dumps(spec))
    return str(path)


def run(*arguments: str, key: str | bytes = KEY) -> Any:
    """Return the result of the command with a key on standard input."""
    result = testing.CliRunner().invoke(
        __main__.app, ["configuration", "team", *arguments], input=key
    )
    assert KEY not in result.output
    return result


def version(number: int, **fields: object) -> dict[str, Any]:
    """Return a version of the configuration."""
    return test_keys.changed(Version=f"{number:08x}", **fields)


def test_team_of_a_key_is_named_without_the_key(
    tmp_path: pathlib.Path,
) -> None:
    """Guard against keys in the output, or in the history of a shell."""
    name = write(tmp_path / "a", version(12))
    result = run(name, key=f" {KEY}\r\n")
    assert result.exit_code == 0
    assert result.stdout == (
        f"key with digest {DIGEST[:8]}\nversion 12: team kites\n"
    )
    assert DIGEST not in result.output
    unknown = run(name, key="other")
    assert unknown.exit_code == 9
    assert "version 12: no team holds it" in unknown.stdout
    # As the store returns it.
    stored = {"Metadata": {"Name": "main"}, "Spec": version(12)}
    assert run(write(tmp_path / "b", stored)).stdout == result.stdout


@pytest.mark.parametrize(
    ("earlier", "later", "change", "exit_code"),
    [
        ("kites", None, "removes the key", 0),
        (None, "kites", "adds the key", 0),
        ("kites", "other", "moves the key to another team", 0),
        ("kites", "kites", "does not change this", 0),
        (None, None, "does not change this", 9),
    ],
)
def test_change_between_versions_is_told_whichever_comes_first(
    earlier: str | None,
    later: str | None,
    change: str,
    exit_code: int,
    tmp_path: pathlib.Path,
) -> None:
    """Guard against an added key that is reported as removed."""
    names = [
        write(
            tmp_path / f"v{number}",
            version(
                number,
                Tenants=[
                    {"Name": team or "none", "ApiKeys": [KEY] if team else []}
                ],
            ),
        )
        for number, team in ((5, earlier), (12, later))
    ]
    for file, against in (names, reversed(names)):
        result = run(file, "--against", against, "--json")
        assert result.exit_code == exit_code
        assert json.loads(result.stdout) == {
            "key_digest": DIGEST[:8],
            "versions": [
                {"version": 5, "team": earlier},
                {"version": 12, "team": later},
            ],
            "change": change,
        }
        assert f"version 12 {change}" in run(file, "--against", against).stdout


def test_unusable_input_is_told_in_one_line_without_the_key(
    tmp_path: pathlib.Path,
) -> None:
    """Guard against a traceback, which may show a key."""
    good = write(tmp_path / "good", version(12))
    for number, spec in enumerate((*test_keys.ODD[1:], [KEY], KEY, 7)):
        result = run(write(tmp_path / f"odd-{number}", spec))
        # Not all of them are refused.
        assert result.exit_code in (0, 3, 9)
        assert result.exception is None or isinstance(
            result.exception, SystemExit
        )
    broken = tmp_path / "broken"
    broken.write_bytes(f'{{"ApiKeys": ["{KEY}"'.encode())
    for arguments, key, exit_code in (
        ((str(broken),), KEY, 3),
        ((str(tmp_path / "missing"),), KEY, 2),
        ((good, "--adapter", "no.such.module"), KEY, 2),
        ((good, "--adapter", "json"), KEY, 2),
        ((good,), "", 2),
        ((good,), KEY * 1000, 2),
        ((good,), b"\xff\xfe", 9),
    ):
        result = run(*arguments, key=key)
        assert result.exit_code == exit_code
        assert "Traceback" not in result.output
        if exit_code != 9:
            assert len(result.stderr.splitlines()) == 1


def test_prompt_does_not_echo_the_key(tmp_path: pathlib.Path) -> None:
    """Guard against a key that stays on the screen."""
    name = write(tmp_path / "a", test_objects.CONFIGURATION)
    terminal, inner = pty.openpty()
    process = subprocess.Popen(
        [sys.executable, "-m", "samphirelug", "configuration", "team", name],
        env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)},
        stdin=inner,
        stdout=inner,
        stderr=inner,
        start_new_session=True,
    )
    os.close(inner)
    shown = b""
    try:
        while (
            process.poll() is None or select.select([terminal], [], [], 0)[0]
        ):
            readable, _, _ = select.select([terminal], [], [], 0.1)
            try:
                shown += os.read(terminal, 4096) if readable else b""
            except OSError:
                break
            if shown.endswith(b"Key: "):
                os.write(terminal, f"{KEY}\n".encode())
                shown += b"(asked) "
    finally:
        process.wait(timeout=30)
        os.close(terminal)
    assert b"no team holds it" in shown
    assert KEY.encode() not in shown
