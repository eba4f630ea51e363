"""Test which connections give way to others."""

import pytest

from samphirelug.components.http import connection_account
from samphirelug.components.http import const
from samphirelug.components.http import held_memory

LIMIT_BYTES = 1000


class Connection(connection_account.HeldConnection):
    """Represent a connection with set figures."""

    def __init__(
        self,
        *,
        peer: str = "a",
        size: int = 10,
        stalled_s: float | None = 2.0,
    ) -> None:
        self.listener_name = "x"
        self.peer = peer
        self.opened_at_s = 0.0
        self.size = size
        self.fixed_stalled_s = stalled_s
        self.closed = False

    @property
    def overhead_bytes(self) -> int:
        """Return the set size."""
        return self.size

    def stalled_s(self, now: float) -> float | None:
        """Return the set time."""
        del now
        return self.fixed_stalled_s

    def close_for_room(self) -> None:
        """Record the close."""
        self.closed = True


def make_account(
    *connections: Connection,
    max_connections: int = 3,
    max_per_peer: int = 3,
    may_close_active: bool = False,
) -> connection_account.ConnectionAccount:
    """Return an account of connections of one listener."""
    account = connection_account.ConnectionAccount(limit_bytes=LIMIT_BYTES)
    limits = connection_account.ListenerLimits(
        max_connections, max_per_peer, may_close_active
    )
    account.add_listener("x", limits)
    for connection in connections:
        account.add(connection)
    return account


def test_connection_that_holds_most_and_moves_least_gives_way() -> None:
    """Guard against callers that are closed in place of hostile clients."""
    connections = [
        Connection(size=20, stalled_s=2.0),
        Connection(size=10, stalled_s=5.0),
        Connection(size=90, stalled_s=None),
    ]
    account = make_account(*connections)
    assert account.has_room("x", now=9.0)
    assert [each.closed for each in connections] == [False, True, False]


@pytest.mark.parametrize("stalled_s", [None, 0.5])
def test_connection_in_use_does_not_give_way(stalled_s: float | None) -> None:
    """Guard against requests that are lost for further connections."""
    connections = [Connection(stalled_s=stalled_s) for _ in range(3)]
    account = make_account(*connections)
    assert not account.has_room("x", now=9.0)
    assert not any(each.closed for each in connections)


def test_endpoint_without_effects_serves_a_prober_when_all_are_in_use() -> (
    None
):
    """Guard against a busy crowd that keeps a probe from its answer."""
    connections = [Connection(stalled_s=None) for _ in range(3)]
    account = make_account(*connections, may_close_active=True)
    assert account.has_room("x", now=9.0)
    assert sum(each.closed for each in connections) == 1


def test_address_with_too_many_connections_loses_its_own() -> None:
    """Guard against one address that takes the connections of all."""
    connections = [
        Connection(peer="a"),
        Connection(peer="b", size=90),
    ]
    account = make_account(*connections, max_per_peer=1)
    assert account.admit("x", "c", now=9.0)
    assert account.admit("x", "a", now=9.0)
    assert [each.closed for each in connections] == [True, False]


def test_address_whose_connections_are_in_use_gets_no_more() -> None:
    """Guard against a limit of one address that does not hold."""
    account = make_account(Connection(stalled_s=None), max_per_peer=1)
    assert not account.admit("x", "a", now=9.0)
    assert account.admit("x", "b", now=9.0)
    assert account.closed == {"x": 1}


def test_memory_of_messages_counts_towards_the_limit() -> None:
    """Guard against accounts that are each within their limit alone."""
    memory = held_memory.HeldMemory(limit_bytes=LIMIT_BYTES)
    account = make_account(Connection(), Connection(size=20))
    account.messages = (memory,)
    memory.hold(LIMIT_BYTES - 25)
    assert account.is_over
    account.enforce(now=9.0)
    assert not account.is_over
    assert len(account.connections["x"]) == 1


def test_pressure_is_logged_at_its_start_and_end(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guard against one log line for each connection that is closed."""
    account = make_account(*(Connection() for _ in range(9)))
    for _ in range(9):
        account.has_room("x", now=9.0)
    account.check(now=9.0 + const.PRESSURE_ENDS_AFTER_S)
    assert len(caplog.records) == 1
    account.check(now=9.1 + const.PRESSURE_ENDS_AFTER_S)
    assert len(caplog.records) == 2


@pytest.mark.parametrize("memory_mb", [200, 300, 552])
def test_process_with_all_it_may_hold_fits_into_its_memory(
    memory_mb: int,
) -> None:
    """Guard against a limit that leaves no room for the process itself."""
    memory_bytes = memory_mb * 1_000_000
    held_bytes = connection_account.held_limit_bytes(memory_bytes)
    assert held_bytes > 0.3 * memory_bytes
    assert held_bytes + const.PROCESS_BYTES <= memory_bytes * 2 / 3
