"""Store the outcome of each run token in memory, without I/O."""

from collections.abc import Iterable
from typing import NamedTuple

from returns.result import Failure
from returns.result import Success

from samphirelug.components.execution import const
from samphirelug.components.execution import model
from samphirelug.components.execution import tokens
from samphirelug.components.peers import model as peers_model
from samphirelug import const as shared_const
from samphirelug import core
from samphirelug.helpers import timer as timer_helper
from samphirelug import result_codes
from samphirelug.result_codes import ResultCode

_ANSWER_OVERHEAD_BYTES = 256


class TokenEntry(NamedTuple):
    """Hold the state of one run token of this incarnation."""

    # Digest of the request; empty for a token revoked before its use.
    digest: bytes
    # None while the work is running.
    code: ResultCode | None
    detail: str
    answer: core.Answer | None
    retained_until_ms: int


class ReceivedHandover(NamedTuple):
    """Hold the outcomes that a stopped incarnation handed over."""

    records: dict[str, peers_model.OutcomeRecord]
    # The incarnation's clock in ms when it stopped accepting tokens; None
    # until a complete list of its tokens has been received.
    closed_at_ms: int | None
    retained_until_s: float


class OutcomeTable:
    """Let each run token start its work once and store the outcome."""

    def __init__(
        self,
        *,
        host: core.EntryHost,
        timer: timer_helper.TimerService,
        started_at_s: float,
        max_outcomes: int = const.MAX_OUTCOMES,
        max_total_bytes: int = const.MAX_KEPT_TOTAL_BYTES,
        max_answer_bytes: int = const.MAX_KEPT_ANSWER_BYTES,
    ) -> None:
        self.host = host
        self.timer = timer
        self.started_at_s = started_at_s
        self.max_outcomes = max_outcomes
        self.max_total_bytes = max_total_bytes
        self.max_answer_bytes = max_answer_bytes
        self.entries: dict[str, TokenEntry] = {}
        # Size in bytes of each kept answer by token id, oldest first.
        self.kept_answers: dict[str, int] = {}
        self.kept_bytes = 0
        self.closed = False
        self.handed_over: dict[str, ReceivedHandover] = {}
        # Token ids by the second in which their entries are removed.
        self._removals: dict[int, set[str]] = {}
        self._next_removal_s = 0

    def clock_ms(self) -> int:
        """Return milliseconds since this incarnation started."""
        return int((self.timer.monotonic() - self.started_at_s) * 1000)

    def begin(self, token: tokens.RunToken, digest: bytes) -> model.Claim:
        """Claim a token of this incarnation, or return its state or outcome.

        The digest identifies the request that the token is used for.
        """
        self._remove_expired()
        entry = self.entries.get(token.token_id)
        if entry is not None:
            return _claim_from_entry(entry, digest)
        expiry = self._expiry_refusal(token)
        if expiry is not None:
            return _refused_claim(expiry)
        if self.closed:
            return _refused_claim(
                result_codes.Refusal(
                    ResultCode.STOPPING, "the entry host is stopping"
                )
            )
        if len(self.entries) >= self.max_outcomes:
            return _refused_claim(
                result_codes.Refusal(
                    ResultCode.OVERLOADED, "the outcome table is full", 1.0
                )
            )
        self._put(token, digest=digest, code=None, detail="", answer=None)
        return model.Claim(model.ClaimState.FIRST)

    def finish(self, token: tokens.RunToken, outcome: model.Outcome) -> None:
        """Store the outcome of a token that was claimed with begin().

        A token whose work was certainly not run can be claimed again.
        """
        entry = self.entries[token.token_id]
        if isinstance(outcome, Success):
            self._put(
                token,
                digest=entry.digest,
                code=ResultCode.OK,
                detail="",
                answer=outcome.unwrap(),
            )
            return
        refusal = outcome.failure()
        if refusal.code.effect is result_codes.Effect.NOT_RUN:
            # Refused requests that are retried must not fill the table.
            self._removals[_removal_second(entry.retained_until_ms)].discard(
                token.token_id
            )
            del self.entries[token.token_id]
            return
        self._put(
            token,
            digest=entry.digest,
            code=refusal.code,
            detail=refusal.detail,
            answer=None,
        )

    def revoke(self, token: tokens.RunToken) -> peers_model.OutcomeRecord:
        """Return a token's outcome; revoke the token if it is unused."""
        if token.incarnation != self.host.incarnation:
            return self.handed_over_record(token)
        self._remove_expired()
        entry = self.entries.get(token.token_id)
        if entry is not None:
            return self._entry_record(token.token_id, entry)
        expiry = self._expiry_refusal(token)
        if expiry is not None:
            return _make_record(token, expiry.code, expiry.detail)
        revocation = (ResultCode.TOKEN_REVOKED, "the run token is revoked")
        # In a closed table no token can be claimed, so none is needed.
        if not self.closed:
            if len(self.entries) >= self.max_outcomes:
                return _make_record(
                    token,
                    ResultCode.OUTCOME_NOT_KEPT,
                    "the outcome table is full",
                )
            self._put(
                token,
                digest=b"",
                code=revocation[0],
                detail=revocation[1],
                answer=None,
            )
        return _make_record(token, *revocation)

    def is_unused(self, token: tokens.RunToken) -> bool:
        """Return whether a token of this incarnation was certainly not run.

        Its work may still start later.
        """
        self._remove_expired()
        entry = self.entries.get(token.token_id)
        if entry is not None:
            return entry.code is ResultCode.TOKEN_REVOKED
        return self.clock_ms() < _retained_until_ms(token)

    def close(self) -> None:
        """Let no further token be claimed; outcomes can still be queried."""
        self.closed = True

    def records(self) -> tuple[peers_model.OutcomeRecord, ...]:
        """Close the table and return all outcomes for a hand-over."""
        self.close()
        self._remove_expired()
        records = []
        for token_id, entry in self.entries.items():
            record = self._entry_record(token_id, entry)
            if entry.code is ResultCode.TOKEN_REVOKED:
                continue
            if entry.code is None:
                record = record._replace(
                    code=ResultCode.ENTRY_HOST_LOST,
                    detail="the entry host stopped while the work was running",
                )
            records.append(record)
        return tuple(records)

    def accept_handover(self, handover: peers_model.OutcomeHandover) -> bool:
        """Store outcomes of a stopped incarnation; false if too many.

        A complete hand-over lists every token of the incarnation, so the
        loss of an earlier message loses answers but no token.
        """
        self._remove_expired()
        previous = self.handed_over.get(handover.incarnation)
        records = dict(previous.records) if previous is not None else {}
        for record in handover.records:
            if (
                record.token_id not in records
                or records[record.token_id].answer is None
            ):
                records[record.token_id] = self._limit_answer_bytes(record)
        other_count = sum(
            len(received.records) for received in self.handed_over.values()
        )
        other_count -= len(previous.records) if previous is not None else 0
        if other_count + len(records) > self.max_outcomes:
            return False
        closed_at_ms = previous.closed_at_ms if previous is not None else None
        if handover.complete and closed_at_ms is None:
            closed_at_ms = handover.clock_ms
        self.handed_over[handover.incarnation] = ReceivedHandover(
            records=records,
            closed_at_ms=closed_at_ms,
            retained_until_s=self.timer.monotonic() + handover.ttl_ms / 1000,
        )
        self._limit_handover_bytes(handover.incarnation)
        return True

    def handed_over_record(
        self, token: tokens.RunToken
    ) -> peers_model.OutcomeRecord:
        """Return the handed-over outcome of another incarnation's token.

        The code is ENTRY_HOST_LOST if nothing is known of the token.
        """
        self._remove_expired()
        received = self.handed_over.get(token.incarnation)
        if received is not None:
            record = received.records.get(token.token_id)
            if record is not None:
                return record
            if (
                received.closed_at_ms is not None
                and token.expires_ms > received.closed_at_ms
            ):
                return _make_record(
                    token,
                    ResultCode.TOKEN_REVOKED,
                    "the entry host stopped before the run token was used",
                )
        return _make_record(
            token,
            ResultCode.ENTRY_HOST_LOST,
            "the entry host of the run token has stopped or is unreachable",
        )

    def _expiry_refusal(
        self, token: tokens.RunToken
    ) -> result_codes.Refusal | None:
        now_ms = self.clock_ms()
        if now_ms < token.expires_ms:
            return None
        if now_ms < _retained_until_ms(token):
            return result_codes.Refusal(
                ResultCode.TOKEN_EXPIRED,
                "the run token expired before it was used",
            )
        return result_codes.Refusal(
            ResultCode.TOKEN_EXPIRED_UNKNOWN,
            "the run token expired and its outcome is no longer kept",
        )

    def _put(
        self,
        token: tokens.RunToken,
        *,
        digest: bytes,
        code: ResultCode | None,
        detail: str,
        answer: core.Answer | None,
    ) -> None:
        token_id = token.token_id
        if token_id not in self.entries:
            second = _removal_second(_retained_until_ms(token))
            self._removals.setdefault(second, set()).add(token_id)
        size = _answer_bytes(answer)
        if size > self.max_answer_bytes:
            answer = None
            size = 0
        previous = self.entries.get(token_id)
        retained_until_ms = (
            previous.retained_until_ms
            if previous
            else _retained_until_ms(token)
        )
        self.entries[token_id] = TokenEntry(
            digest, code, detail, answer, retained_until_ms
        )
        if answer is None:
            return
        self.kept_answers[token_id] = size
        self.kept_bytes += size
        while self.kept_bytes > self.max_total_bytes:
            self._drop_answer(next(iter(self.kept_answers)))

    def _drop_answer(self, token_id: str) -> None:
        self.kept_bytes -= self.kept_answers.pop(token_id, 0)
        entry = self.entries[token_id]
        self.entries[token_id] = entry._replace(answer=None)

    def _remove_expired(self) -> None:
        end_s = self.clock_ms() // 1000 + 1
        for second in range(self._next_removal_s, end_s):
            for token_id in self._removals.pop(second, ()):
                if self.entries[token_id].code is None:
                    # The entry of running work stays; check it later again.
                    self._extend_retention(token_id, end_s)
                    continue
                self._drop_answer(token_id)
                del self.entries[token_id]
        self._next_removal_s = end_s
        now_s = self.timer.monotonic()
        for incarnation, received in list(self.handed_over.items()):
            if received.retained_until_s <= now_s:
                del self.handed_over[incarnation]

    def _extend_retention(self, token_id: str, now_s: int) -> None:
        second = now_s + int(shared_const.MAX_REQUEST_S)
        self._removals.setdefault(second, set()).add(token_id)
        entry = self.entries[token_id]
        self.entries[token_id] = entry._replace(
            retained_until_ms=second * 1000 - 1
        )

    def _entry_record(
        self, token_id: str, entry: TokenEntry
    ) -> peers_model.OutcomeRecord:
        code, detail = entry.code, entry.detail
        if code is None:
            code, detail = ResultCode.ATTEMPT_RUNNING, "the work is running"
        elif code is ResultCode.OK and entry.answer is None:
            code, detail = ResultCode.OUTCOME_NOT_KEPT, _NOT_KEPT
        return peers_model.OutcomeRecord(
            token_id=token_id,
            code=code,
            detail=detail,
            answer=entry.answer,
            ttl_ms=max(0, entry.retained_until_ms - self.clock_ms()),
            digest=entry.digest,
        )

    def _limit_answer_bytes(
        self, record: peers_model.OutcomeRecord
    ) -> peers_model.OutcomeRecord:
        if _answer_bytes(record.answer) <= self.max_answer_bytes:
            return record
        return _without_answer(record)

    def _limit_handover_bytes(self, incarnation: str) -> None:
        records = self.handed_over[incarnation].records
        total = sum(
            _answer_bytes(record.answer)
            for received in self.handed_over.values()
            for record in received.records.values()
        )
        for token_id, record in records.items():
            if total <= self.max_total_bytes:
                return
            total -= _answer_bytes(record.answer)
            records[token_id] = _without_answer(record)


_NOT_KEPT = "the work was run; its answer is not kept"
_OTHER_REQUEST = result_codes.Refusal(
    ResultCode.TOKEN_INVALID, "the run token was used for a different request"
)


def without_answers(
    records: Iterable[peers_model.OutcomeRecord],
) -> tuple[peers_model.OutcomeRecord, ...]:
    """Return the records without their answers."""
    return tuple(_without_answer(record) for record in records)


def outcome_from_record(
    record: peers_model.OutcomeRecord, digest: bytes = b""
) -> model.Outcome:
    """Convert a record to an outcome.

    Fails with TOKEN_INVALID if the record belongs to another digest.
    """
    if record.digest and digest and record.digest != digest:
        return Failure(_OTHER_REQUEST)
    if record.answer is not None:
        return Success(record.answer)
    try:
        code = ResultCode(record.code)
    except ValueError:
        code = ResultCode.ENTRY_HOST_LOST
    if code is ResultCode.OK:
        code = ResultCode.OUTCOME_NOT_KEPT
    retry_after_s = 0.0
    if code is ResultCode.ATTEMPT_RUNNING:
        retry_after_s = const.RUNNING_RETRY_AFTER_S
    return Failure(result_codes.Refusal(code, record.detail, retry_after_s))


def _claim_from_entry(entry: TokenEntry, digest: bytes) -> model.Claim:
    if entry.digest and entry.digest != digest:
        return _refused_claim(_OTHER_REQUEST)
    if entry.code is None:
        return model.Claim(model.ClaimState.RUNNING)
    if entry.answer is not None:
        return model.Claim(model.ClaimState.SETTLED, Success(entry.answer))
    if entry.code is ResultCode.OK:
        return _refused_claim(
            result_codes.Refusal(ResultCode.OUTCOME_NOT_KEPT, _NOT_KEPT)
        )
    return _refused_claim(result_codes.Refusal(entry.code, entry.detail))


def _refused_claim(refusal: result_codes.Refusal) -> model.Claim:
    return model.Claim(model.ClaimState.SETTLED, Failure(refusal))


def _make_record(
    token: tokens.RunToken, code: ResultCode, detail: str
) -> peers_model.OutcomeRecord:
    return peers_model.OutcomeRecord(token.token_id, code, detail, None, 0)


def _without_answer(
    record: peers_model.OutcomeRecord,
) -> peers_model.OutcomeRecord:
    if record.answer is None:
        return record
    return record._replace(
        code=ResultCode.OUTCOME_NOT_KEPT, detail=_NOT_KEPT, answer=None
    )


def _retained_until_ms(token: tokens.RunToken) -> int:
    return token.expires_ms + int(const.RETENTION_AFTER_EXPIRY_S * 1000)


def _removal_second(retained_until_ms: int) -> int:
    return retained_until_ms // 1000 + 1


def _answer_bytes(answer: core.Answer | None) -> int:
    if answer is None:
        return 0
    headers = sum(len(name) + len(value) for name, value in answer.headers)
    return len(answer.body) + headers + _ANSWER_OVERHEAD_BYTES
