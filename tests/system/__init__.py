"""Test the system with real processes on loopback."""

import pytest

pytest.register_assert_rewrite("tests.system.harness")
