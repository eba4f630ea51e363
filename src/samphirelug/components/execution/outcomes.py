"""Remember the outcome of each run token, without input or output."""

from collections.abc import Iterable
from typing import NamedTuple

from returns.result import Failure
from returns.result import Success

from samphirelug.components.execution import const
from samphirelug.components.execution import model
from samphirelug.components.execution import tokens
from samphirelug.components.peers import model as peer_model
from samphirelug import const as common_const
from samphirelug import core
from samphirelug.helpers import timer as timer_module
from samphirelug import result_codes
from samphirelug.result_codes import ResultCode

_RECORD_OVERHEAD_BYTES = 256


class Entry(NamedTuple):
    """Keep what is known of one token of this incarnation."""

    # Empty for a token that was revoked before it arrived.
    digest: bytes
    # None while the work is running.
    code: ResultCode | None
    detail: str
    answer: core.Answer | None
    forget_ms: int


class HandedOver(NamedTuple):
    """Keep the outcomes of an incarnation that has stopped."""

    records: dict[str, peer_model.OutcomeRecord]
    # Clock of the incarnation when its set was closed, in ms; None while
    # the set is not known to be complete.
    closed_at_ms: int | None
    forget_at_s: float


class OutcomeTable:
    """Let each run token start once and answer what became of it."""

    def __init__(
        self,
        *,
        host: core.EntryHost,
        timer: timer_module.TimerService,
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
        self.entries: dict[str, Entry] = {}
        # Tokens whose answer is kept, the oldest first, and their bytes.
        self.kept: dict[str, int] = {}
        self.kept_bytes = 0
        self.closed = False
        self.handed_over: dict[str, HandedOver] = {}
        # Tokens by the second in which they may be forgotten.
        self._expiries: dict[int, set[str]] = {}
        self._expired_to_s = 0

    def clock_ms(self) -> int:
        """Return milliseconds since this incarnation started."""
        return int((self.timer.monotonic() - self.started_at_s) * 1000)

    def begin(self, token: tokens.RunToken, digest: bytes) -> model.Claim:
        """Start a token of this incarnation, or say what became of it.

        The digest identifies the request that the token is used for.
        """
        self._forget()
        entry = self.entries.get(token.token_id)
        if entry is not None:
            return _claim(entry, digest)
        expired = self._expiry_refusal(token)
        if expired is not None:
            return _refused(expired)
        if self.closed:
            return _refused(
                result_codes.Refusal(
                    ResultCode.STOPPING, "the entry host is stopping"
                )
            )
        if len(self.entries) >= self.max_outcomes:
            return _refused(
                result_codes.Refusal(
                    ResultCode.OVERLOADED, "the outcome book is full", 1.0
                )
            )
        self._put(token, digest=digest, code=None, detail="", answer=None)
        return model.Claim(model.Standing.FIRST)

    def finish(self, token: tokens.RunToken, outcome: model.Outcome) -> None:
        """Keep the outcome of a token that begin() has started.

        A token whose work was certainly not run may be started again.
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
            # Callers that retry while refused must not fill the book.
            self._expiries[_second(entry.forget_ms)].discard(token.token_id)
            del self.entries[token.token_id]
            return
        self._put(
            token,
            digest=entry.digest,
            code=refusal.code,
            detail=refusal.detail,
            answer=None,
        )

    def revoke(self, token: tokens.RunToken) -> peer_model.OutcomeRecord:
        """Return a token's outcome; one that has not started never will."""
        if token.incarnation != self.host.incarnation:
            return self.record_of_stopped(token)
        self._forget()
        entry = self.entries.get(token.token_id)
        if entry is not None:
            return self._record(token.token_id, entry)
        expired = self._expiry_refusal(token)
        if expired is not None:
            return _bare_record(token, expired.code, expired.detail)
        revoked = (ResultCode.TOKEN_REVOKED, "the token will never run")
        # A closed book starts no token, so there is nothing to remember.
        if not self.closed:
            if len(self.entries) >= self.max_outcomes:
                return _bare_record(
                    token,
                    ResultCode.OUTCOME_NOT_KEPT,
                    "the outcome book is full",
                )
            self._put(
                token,
                digest=b"",
                code=revoked[0],
                detail=revoked[1],
                answer=None,
            )
        return _bare_record(token, *revoked)

    def is_unused(self, token: tokens.RunToken) -> bool:
        """Return whether a token of this incarnation was certainly not run.

        Its work may still be started later.
        """
        self._forget()
        entry = self.entries.get(token.token_id)
        if entry is not None:
            return entry.code is ResultCode.TOKEN_REVOKED
        return self.clock_ms() < _forget_ms(token)

    def close(self) -> None:
        """Start no further token; outcomes are still given."""
        self.closed = True

    def records(self) -> tuple[peer_model.OutcomeRecord, ...]:
        """Return all outcomes for a hand-over; closes the book."""
        self.close()
        self._forget()
        records = []
        for token_id, entry in self.entries.items():
            record = self._record(token_id, entry)
            if entry.code is ResultCode.TOKEN_REVOKED:
                continue
            if entry.code is None:
                record = record._replace(
                    code=ResultCode.ENTRY_HOST_LOST,
                    detail="the entry host stopped while the work was running",
                )
            records.append(record)
        return tuple(records)

    def accept_handover(self, handover: peer_model.OutcomeHandover) -> bool:
        """Keep outcomes of a stopped incarnation; false when full.

        A complete hand-over names every token of the incarnation by itself,
        so a lost earlier message loses answers but no token.
        """
        self._forget()
        known = self.handed_over.get(handover.incarnation)
        records = dict(known.records) if known is not None else {}
        for record in handover.records:
            if (
                record.token_id not in records
                or records[record.token_id].answer is None
            ):
                records[record.token_id] = self._within_bounds(record)
        others = sum(len(one.records) for one in self.handed_over.values())
        others -= len(known.records) if known is not None else 0
        if others + len(records) > self.max_outcomes:
            return False
        closed_at_ms = known.closed_at_ms if known is not None else None
        if handover.complete and closed_at_ms is None:
            closed_at_ms = handover.clock_ms
        self.handed_over[handover.incarnation] = HandedOver(
            records=records,
            closed_at_ms=closed_at_ms,
            forget_at_s=self.timer.monotonic() + handover.ttl_ms / 1000,
        )
        self._bound_handed_over(handover.incarnation)
        return True

    def record_of_stopped(
        self, token: tokens.RunToken
    ) -> peer_model.OutcomeRecord:
        """Return the outcome of another incarnation's token."""
        self._forget()
        handed_over = self.handed_over.get(token.incarnation)
        if handed_over is not None:
            record = handed_over.records.get(token.token_id)
            if record is not None:
                return record
            if (
                handed_over.closed_at_ms is not None
                and token.expires_ms > handed_over.closed_at_ms
            ):
                return _bare_record(
                    token,
                    ResultCode.TOKEN_REVOKED,
                    "the entry host stopped without running the token",
                )
        return _bare_record(
            token,
            ResultCode.ENTRY_HOST_LOST,
            "the entry host that was to run the token is gone",
        )

    def _expiry_refusal(
        self, token: tokens.RunToken
    ) -> result_codes.Refusal | None:
        now_ms = self.clock_ms()
        if now_ms < token.expires_ms:
            return None
        if now_ms < _forget_ms(token):
            return result_codes.Refusal(
                ResultCode.TOKEN_EXPIRED, "the token expired unused"
            )
        return result_codes.Refusal(
            ResultCode.TOKEN_EXPIRED_UNKNOWN,
            "the token's outcome is no longer kept",
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
            second = _second(_forget_ms(token))
            self._expiries.setdefault(second, set()).add(token_id)
        size = _size(answer)
        if size > self.max_answer_bytes:
            answer = None
            size = 0
        before = self.entries.get(token_id)
        forget_ms = before.forget_ms if before else _forget_ms(token)
        self.entries[token_id] = Entry(digest, code, detail, answer, forget_ms)
        if answer is None:
            return
        self.kept[token_id] = size
        self.kept_bytes += size
        while self.kept_bytes > self.max_total_bytes:
            self._drop_answer(next(iter(self.kept)))

    def _drop_answer(self, token_id: str) -> None:
        self.kept_bytes -= self.kept.pop(token_id, 0)
        entry = self.entries[token_id]
        self.entries[token_id] = entry._replace(answer=None)

    def _forget(self) -> None:
        end_s = self.clock_ms() // 1000 + 1
        for second in range(self._expired_to_s, end_s):
            for token_id in self._expiries.pop(second, ()):
                if self.entries[token_id].code is None:
                    # Work that still runs is looked at again later.
                    self._postpone(token_id, end_s)
                    continue
                self._drop_answer(token_id)
                del self.entries[token_id]
        self._expired_to_s = end_s
        now_s = self.timer.monotonic()
        for incarnation, one in list(self.handed_over.items()):
            if one.forget_at_s <= now_s:
                del self.handed_over[incarnation]

    def _postpone(self, token_id: str, now_s: int) -> None:
        second = now_s + int(common_const.MAX_REQUEST_S)
        self._expiries.setdefault(second, set()).add(token_id)
        entry = self.entries[token_id]
        self.entries[token_id] = entry._replace(forget_ms=second * 1000 - 1)

    def _record(self, token_id: str, entry: Entry) -> peer_model.OutcomeRecord:
        code, detail = entry.code, entry.detail
        if code is None:
            code, detail = ResultCode.ATTEMPT_RUNNING, "the work is running"
        elif code is ResultCode.OK and entry.answer is None:
            code, detail = ResultCode.OUTCOME_NOT_KEPT, _NOT_KEPT
        return peer_model.OutcomeRecord(
            token_id=token_id,
            code=code,
            detail=detail,
            answer=entry.answer,
            ttl_ms=max(0, entry.forget_ms - self.clock_ms()),
            digest=entry.digest,
        )

    def _within_bounds(
        self, record: peer_model.OutcomeRecord
    ) -> peer_model.OutcomeRecord:
        if _size(record.answer) <= self.max_answer_bytes:
            return record
        return _without_answer(record)

    def _bound_handed_over(self, incarnation: str) -> None:
        records = self.handed_over[incarnation].records
        total = sum(
            _size(record.answer)
            for one in self.handed_over.values()
            for record in one.records.values()
        )
        for token_id, record in records.items():
            if total <= self.max_total_bytes:
                return
            total -= _size(record.answer)
            records[token_id] = _without_answer(record)


_NOT_KEPT = "the work was run; its answer is not kept"
_OTHER_REQUEST = result_codes.Refusal(
    ResultCode.TOKEN_INVALID, "the token was used for a different request"
)


def without_answers(
    records: Iterable[peer_model.OutcomeRecord],
) -> tuple[peer_model.OutcomeRecord, ...]:
    """Return the records with their answers left out."""
    return tuple(_without_answer(record) for record in records)


def outcome_of(
    record: peer_model.OutcomeRecord, digest: bytes = b""
) -> model.Outcome:
    """Return the outcome that a record stands for.

    A request with another digest than the record's gets TOKEN_INVALID.
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


def _claim(entry: Entry, digest: bytes) -> model.Claim:
    if entry.digest and entry.digest != digest:
        return _refused(_OTHER_REQUEST)
    if entry.code is None:
        return model.Claim(model.Standing.RUNNING)
    if entry.answer is not None:
        return model.Claim(model.Standing.SETTLED, Success(entry.answer))
    if entry.code is ResultCode.OK:
        return _refused(
            result_codes.Refusal(ResultCode.OUTCOME_NOT_KEPT, _NOT_KEPT)
        )
    return _refused(result_codes.Refusal(entry.code, entry.detail))


def _refused(refusal: result_codes.Refusal) -> model.Claim:
    return model.Claim(model.Standing.SETTLED, Failure(refusal))


def _bare_record(
    token: tokens.RunToken, code: ResultCode, detail: str
) -> peer_model.OutcomeRecord:
    return peer_model.OutcomeRecord(token.token_id, code, detail, None, 0)


def _without_answer(
    record: peer_model.OutcomeRecord,
) -> peer_model.OutcomeRecord:
    if record.answer is None:
        return record
    return record._replace(
        code=ResultCode.OUTCOME_NOT_KEPT, detail=_NOT_KEPT, answer=None
    )


def _forget_ms(token: tokens.RunToken) -> int:
    return token.expires_ms + int(const.KEEP_AFTER_EXPIRY_S * 1000)


def _second(forget_ms: int) -> int:
    return forget_ms // 1000 + 1


def _size(answer: core.Answer | None) -> int:
    if answer is None:
        return 0
    headers = sum(len(name) + len(value) for name, value in answer.headers)
    return len(answer.body) + headers + _RECORD_OVERHEAD_BYTES
