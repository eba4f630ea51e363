"""Guard against an outcome table that loses tokens or grows unbounded."""

from hypothesis import given
from hypothesis import strategies
from returns.result import Failure
from returns.result import Success

from samphirelug.components.execution import handover
from samphirelug.components.execution import model
from samphirelug.components.execution import outcomes
from samphirelug.components.execution import tokens
from samphirelug.components.peers import model as peers_model
from samphirelug import core
from samphirelug.helpers import timer
from samphirelug import result_codes
from samphirelug.result_codes import ResultCode
from standins import builders

HOST = builders.make_host()
BUSY = result_codes.Refusal(ResultCode.OVERLOADED, "busy")


class SmallTable:
    """Hold a small outcome table with its clock."""

    def __init__(self) -> None:
        self.clock = timer.ManualTimerService()
        self.table = self.make_table(HOST)

    def make_table(self, host: core.EntryHost) -> outcomes.OutcomeTable:
        """Return a table for 4 tokens and 2000 bytes of answers."""
        return outcomes.OutcomeTable(
            host=host,
            timer=self.clock,
            started_at_s=0.0,
            max_outcomes=4,
            max_total_bytes=2000,
            max_answer_bytes=1000,
        )

    def run(self, token: tokens.RunToken, size: int) -> None:
        """Claim a token and finish it with an answer of the given size."""
        assert self.table.begin(token, b"d").state is model.ClaimState.FIRST
        self.table.finish(token, Success(make_answer(size)))

    def repeat(self, token: tokens.RunToken) -> ResultCode:
        """Return the code that a repeated request gets; OK for an answer."""
        outcome = self.table.begin(token, b"d").outcome
        assert outcome is not None
        if isinstance(outcome, Success):
            return ResultCode.OK
        return outcome.failure().code


def make_answer(size: int) -> core.Answer:
    """Return an answer with a body of the given size in bytes."""
    return core.Answer(200, "OK", (), b"x" * size, "filing-1")


def make_token(name: str, *, expires_ms: int = 120_000) -> tokens.RunToken:
    """Return a token of the table's incarnation."""
    return tokens.RunToken(
        name, "file-claim", HOST.name, HOST.incarnation, "tartu", expires_ms
    )


def test_large_answer_is_not_kept() -> None:
    """Guard against large answers that use up the memory."""
    fixture = SmallTable()
    fixture.run(make_token("a"), 1001)
    assert fixture.repeat(make_token("a")) is ResultCode.OUTCOME_NOT_KEPT
    assert fixture.table.kept_bytes == 0


def test_oldest_answers_are_dropped_first() -> None:
    """Guard against an unbounded total size of kept answers."""
    fixture = SmallTable()
    for name in "abc":
        fixture.run(make_token(name), 700)
    codes = [fixture.repeat(make_token(name)) for name in "abc"]
    assert codes == [
        ResultCode.OUTCOME_NOT_KEPT,
        ResultCode.OK,
        ResultCode.OK,
    ]
    assert fixture.table.kept_bytes <= 2000


def test_full_table_starts_no_work() -> None:
    """Guard against the eviction of a used token to free space."""
    fixture = SmallTable()
    for name in "abcd":
        fixture.run(make_token(name), 1)
    assert fixture.repeat(make_token("e")) is ResultCode.OVERLOADED
    revoked = fixture.table.revoke(make_token("e"))
    assert revoked.code == ResultCode.OUTCOME_NOT_KEPT
    fixture.clock.advance(182.0)
    later = make_token("e", expires_ms=300_000)
    assert fixture.table.begin(later, b"d").state is model.ClaimState.FIRST
    assert len(fixture.table.entries) == 1


def test_refused_tokens_leave_no_entries() -> None:
    """Guard against growth by callers that retry refused requests."""
    fixture = SmallTable()
    for _ in range(10):
        fixture.table.begin(make_token("a"), b"d")
        fixture.table.finish(make_token("a"), Failure(BUSY))
    assert not fixture.table.entries
    assert not any(fixture.table._removals.values())


@given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from("abcdef"),
            strategies.sampled_from(["begin", "ok", "busy", "revoke"]),
            strategies.floats(0.0, 90.0),
        ),
        max_size=40,
    )
)
def test_token_starts_once(steps: list[tuple[str, str, float]]) -> None:
    """Guard against a second run after expiry, eviction or revocation."""
    fixture = SmallTable()
    running: set[str] = set()
    used: set[str] = set()
    revoked: set[str] = set()
    for name, action, elapsed_s in steps:
        token = make_token(name)
        fixture.clock.advance(elapsed_s)
        if action == "begin":
            claim = fixture.table.begin(token, b"d")
            if claim.state is model.ClaimState.FIRST:
                assert name not in running | used | revoked
                running.add(name)
            else:
                is_running = claim.state is model.ClaimState.RUNNING
                assert is_running is (name in running)
        elif action == "revoke":
            record = fixture.table.revoke(token)
            not_run = (
                ResultCode(record.code).effect is result_codes.Effect.NOT_RUN
            )
            assert not (not_run and name in running | used)
            if record.code == ResultCode.TOKEN_REVOKED:
                revoked.add(name)
        elif name in running:
            running.remove(name)
            if action == "ok":
                used.add(name)
                fixture.table.finish(token, Success(make_answer(600)))
            else:
                fixture.table.finish(token, Failure(BUSY))


def test_handover_is_bounded_and_idempotent() -> None:
    """Guard against a peer whose outcomes use up the memory."""
    fixture = SmallTable()
    for name in "abcd":
        fixture.run(make_token(name), 400)
    messages = handover.build_messages(
        incarnation=HOST.incarnation,
        records=fixture.table.records(),
        clock_ms=1000,
        max_bytes=1000,
    )
    assert [message.complete for message in messages].count(True) == 1
    assert messages[-1].complete
    assert all(record.answer is None for record in messages[-1].records)
    peer = fixture.make_table(builders.make_host("eh2"))
    for message in (*messages, *messages):
        assert peer.accept_handover(message)
    codes = {peer.handed_over_record(make_token(n)).code for n in "abcd"}
    assert codes <= {ResultCode.OK, ResultCode.OUTCOME_NOT_KEPT}
    others = peers_model.OutcomeHandover("x-1", messages[-1].records, True, 9)
    assert not peer.accept_handover(others)
    fixture.clock.advance(181.0)
    lost = peer.handed_over_record(make_token("a"))
    assert lost.code == ResultCode.ENTRY_HOST_LOST


def test_split_token_list_is_not_marked_complete() -> None:
    """Guard against a split list of tokens that is reported as complete."""
    records = tuple(
        peers_model.OutcomeRecord(f"t{number}", 2002, "reset", None, 1)
        for number in range(50)
    )
    messages = handover.build_messages(
        incarnation="eh1-1", records=records, clock_ms=1, max_bytes=1000
    )
    assert not any(message.complete for message in messages)
    assert sum(len(message.records) for message in messages) == 50
