"""Split outcomes into hand-over messages for a planned stop."""

from samphirelug.components.execution import const
from samphirelug.components.execution import outcomes
from samphirelug.components.peers import model as peers_model
from samphirelug import const as shared_const

# Allowance for the keys, code, lifetime and CBOR framing of a record, and
# again for those of its answer.
_FRAMING_BYTES = 160


def build_messages(
    *,
    incarnation: str,
    records: tuple[peers_model.OutcomeRecord, ...],
    clock_ms: int,
    max_bytes: int = const.HANDOVER_MESSAGE_BYTES,
) -> tuple[peers_model.OutcomeHandover, ...]:
    """Return hand-over messages in sending order, the complete one last.

    The message with the flag "complete" lists every token, without answers,
    so that it is sufficient even if the receiver restarted or missed an
    earlier message. If the tokens do not fit in one message, no message has
    the flag, and the outcome of a token that is not listed stays unknown.
    """
    batches: list[list[peers_model.OutcomeRecord]] = []
    for group in (
        [record for record in records if record.answer is not None],
        [record for record in records if record.answer is None],
    ):
        batches.extend(_split_into_batches(group, max_bytes))
    messages = [
        _build_message(incarnation, batch, False, clock_ms)
        for batch in batches
    ]
    without_answers = list(outcomes.without_answers(records))
    if sum(_estimate_bytes(record) for record in without_answers) <= max_bytes:
        messages.append(
            _build_message(incarnation, without_answers, True, clock_ms)
        )
    return tuple(messages)


def _split_into_batches(
    records: list[peers_model.OutcomeRecord], max_bytes: int
) -> list[list[peers_model.OutcomeRecord]]:
    batches: list[list[peers_model.OutcomeRecord]] = []
    free_bytes = 0
    for record in records:
        size = _estimate_bytes(record)
        if size > free_bytes or not batches:
            batches.append([])
            free_bytes = max_bytes
        batches[-1].append(record)
        free_bytes -= size
    return batches


def _build_message(
    incarnation: str,
    records: list[peers_model.OutcomeRecord],
    complete: bool,
    clock_ms: int,
) -> peers_model.OutcomeHandover:
    # After this time no token of the incarnation is accepted any more.
    ttl_s = shared_const.TOKEN_TTL_S + const.RETENTION_AFTER_EXPIRY_S
    return peers_model.OutcomeHandover(
        incarnation=incarnation,
        records=tuple(records),
        complete=complete,
        ttl_ms=int(ttl_s * 1000),
        clock_ms=clock_ms,
    )


def _estimate_bytes(record: peers_model.OutcomeRecord) -> int:
    size = _FRAMING_BYTES + len(record.token_id) + len(record.detail.encode())
    if record.answer is None:
        return size
    headers = sum(
        len(name.encode()) + len(value.encode()) + 8
        for name, value in record.answer.headers
    )
    return size + len(record.answer.body) + headers + _FRAMING_BYTES
