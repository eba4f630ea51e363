"""Guard against a book that forgets a used token or grows without end."""

from hypothesis import given
from hypothesis import strategies
from returns.result import Failure
from returns.result import Success

from samphirelug.components.execution import handover
from samphirelug.components.execution import model
from samphirelug.components.execution import outcomes
from samphirelug.components.execution import tokens
from samphirelug.components.peers import model as peer_model
from samphirelug import core
from samphirelug.helpers import timer
from samphirelug import result_codes
from samphirelug.result_codes import ResultCode
from standins import builders

HOST = builders.make_host()
BUSY = result_codes.Refusal(ResultCode.OVERLOADED, "busy")


class Books:
    """Hold a small book with its clock."""

    def __init__(self) -> None:
        self.clock = timer.ManualTimerService()
        self.book = self.make(HOST)

    def make(self, host: core.EntryHost) -> outcomes.OutcomeTable:
        """Return a book for four tokens and 2000 bytes."""
        return outcomes.OutcomeTable(
            host=host,
            timer=self.clock,
            started_at_s=0.0,
            max_outcomes=4,
            max_total_bytes=2000,
            max_answer_bytes=1000,
        )

    def run(self, token: tokens.RunToken, size: int) -> None:
        """Run a token to an answer of some bytes."""
        assert self.book.begin(token, b"d").state is model.ClaimState.FIRST
        self.book.finish(token, Success(make_answer(size)))

    def repeat(self, token: tokens.RunToken) -> ResultCode:
        """Return what a repeat gets; OK for an answer."""
        outcome = self.book.begin(token, b"d").outcome
        assert outcome is not None
        if isinstance(outcome, Success):
            return ResultCode.OK
        return outcome.failure().code


def make_answer(size: int) -> core.Answer:
    """Return an answer with a body of some bytes."""
    return core.Answer(200, "OK", (), b"x" * size, "filing-1")


def make_token(name: str, *, expires_ms: int = 120_000) -> tokens.RunToken:
    """Return a token of the book's incarnation."""
    return tokens.RunToken(
        name, "file-claim", HOST.name, HOST.incarnation, "tartu", expires_ms
    )


def test_large_answer_is_remembered_without_body() -> None:
    """Guard against large answers that fill the memory."""
    books = Books()
    books.run(make_token("a"), 1001)
    assert books.repeat(make_token("a")) is ResultCode.OUTCOME_NOT_KEPT
    assert books.book.kept_bytes == 0


def test_oldest_answers_are_dropped_first() -> None:
    """Guard against a total of kept answers that is not bounded."""
    books = Books()
    for name in "abc":
        books.run(make_token(name), 700)
    codes = [books.repeat(make_token(name)) for name in "abc"]
    assert codes == [
        ResultCode.OUTCOME_NOT_KEPT,
        ResultCode.OK,
        ResultCode.OK,
    ]
    assert books.book.kept_bytes <= 2000


def test_full_book_starts_nothing() -> None:
    """Guard against forgetting a used token to make room."""
    books = Books()
    for name in "abcd":
        books.run(make_token(name), 1)
    assert books.repeat(make_token("e")) is ResultCode.OVERLOADED
    revoked = books.book.revoke(make_token("e"))
    assert revoked.code == ResultCode.OUTCOME_NOT_KEPT
    books.clock.advance(182.0)
    later = make_token("e", expires_ms=300_000)
    assert books.book.begin(later, b"d").state is model.ClaimState.FIRST
    assert len(books.book.entries) == 1


def test_refused_tokens_leave_nothing_behind() -> None:
    """Guard against growth by callers that retry while refused."""
    books = Books()
    for _ in range(10):
        books.book.begin(make_token("a"), b"d")
        books.book.finish(make_token("a"), Failure(BUSY))
    assert not books.book.entries
    assert not any(books.book._removals.values())


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
    """Guard against a second start by expiry, memory or revocation."""
    books = Books()
    running: set[str] = set()
    used: set[str] = set()
    revoked: set[str] = set()
    for name, action, step_s in steps:
        token = make_token(name)
        books.clock.advance(step_s)
        if action == "begin":
            claim = books.book.begin(token, b"d")
            if claim.state is model.ClaimState.FIRST:
                assert name not in running | used | revoked
                running.add(name)
            else:
                running_now = claim.state is model.ClaimState.RUNNING
                assert running_now is (name in running)
        elif action == "revoke":
            record = books.book.revoke(token)
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
                books.book.finish(token, Success(make_answer(600)))
            else:
                books.book.finish(token, Failure(BUSY))


def test_handover_is_bounded_and_idempotent() -> None:
    """Guard against a peer whose outcomes fill the memory."""
    books = Books()
    for name in "abcd":
        books.run(make_token(name), 400)
    messages = handover.build_messages(
        incarnation=HOST.incarnation,
        records=books.book.records(),
        clock_ms=1000,
        max_bytes=1000,
    )
    assert [message.complete for message in messages].count(True) == 1
    assert messages[-1].complete
    assert all(record.answer is None for record in messages[-1].records)
    peer = books.make(builders.make_host("eh2"))
    for message in (*messages, *messages):
        assert peer.accept_handover(message)
    codes = {peer.handed_over_record(make_token(n)).code for n in "abcd"}
    assert codes <= {ResultCode.OK, ResultCode.OUTCOME_NOT_KEPT}
    others = peer_model.OutcomeHandover("x-1", messages[-1].records, True, 9)
    assert not peer.accept_handover(others)
    books.clock.advance(181.0)
    lost = peer.handed_over_record(make_token("a"))
    assert lost.code == ResultCode.ENTRY_HOST_LOST


def test_too_many_tokens_for_one_message_give_no_mark() -> None:
    """Guard against a mark on a set that is split."""
    records = tuple(
        peer_model.OutcomeRecord(f"t{number}", 2002, "reset", None, 1)
        for number in range(50)
    )
    messages = handover.build_messages(
        incarnation="eh1-1", records=records, clock_ms=1, max_bytes=1000
    )
    assert not any(message.complete for message in messages)
    assert sum(len(message.records) for message in messages) == 50
