"""Test that the pages agree with the program."""

import pathlib
import re

from samphirelug import result_codes

DOCS = pathlib.Path(__file__).parent.parent / "docs"
ROW = re.compile(r"^\| (\d+) \| ([A-Z_]+) \| (\w+) \| (\d+|-) \| (\d+|-) \|")


def test_result_code_table_matches_the_program() -> None:
    """Guards against a code that callers meet but cannot look up."""
    table = {}
    for line in (DOCS / "result-codes.md").read_text().splitlines():
        if match := ROW.match(line):
            table[match[2]] = match.groups()
    assert set(table) == {code.name for code in result_codes.ResultCode}
    for code in result_codes.ResultCode:
        number, _, effect, http_status, exit_code = table[code.name]
        assert int(number) == code
        assert effect == code.effect.value
        if http_status != "-":
            assert int(http_status) == code.http_status
        if exit_code != "-":
            assert int(exit_code) == code.exit_code
