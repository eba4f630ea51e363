"""Divide outcomes into messages for a planned stop."""

from samphirelug.components.execution import const
from samphirelug.components.execution import outcomes
from samphirelug.components.peers import model as peer_model
from samphirelug import const as common_const

# Keys, code, lifetime and CBOR framing of one record without its answer.
_RECORD_BYTES = 160


def messages_for(
    *,
    incarnation: str,
    records: tuple[peer_model.OutcomeRecord, ...],
    clock_ms: int,
    max_bytes: int = const.HANDOVER_MESSAGE_BYTES,
) -> tuple[peer_model.OutcomeHandover, ...]:
    """Return messages in the order to send; the mark is in the last one.

    The message with the mark names every token, without answers, so that
    it is complete by itself even when the receiver restarted or lost an
    earlier message. Where the tokens do not fit in one message no message
    carries the mark, and unlisted tokens stay "outcome unknown".
    """
    batches: list[list[peer_model.OutcomeRecord]] = []
    for group in (
        [record for record in records if record.answer is not None],
        [record for record in records if record.answer is None],
    ):
        batches.extend(_batches(group, max_bytes))
    messages = [
        _message(incarnation, batch, False, clock_ms) for batch in batches
    ]
    bare = list(outcomes.without_answers(records))
    if sum(_size(record) for record in bare) <= max_bytes:
        messages.append(_message(incarnation, bare, True, clock_ms))
    return tuple(messages)


def _batches(
    records: list[peer_model.OutcomeRecord], max_bytes: int
) -> list[list[peer_model.OutcomeRecord]]:
    batches: list[list[peer_model.OutcomeRecord]] = []
    room = 0
    for record in records:
        size = _size(record)
        if size > room or not batches:
            batches.append([])
            room = max_bytes
        batches[-1].append(record)
        room -= size
    return batches


def _message(
    incarnation: str,
    records: list[peer_model.OutcomeRecord],
    complete: bool,
    clock_ms: int,
) -> peer_model.OutcomeHandover:
    # No token of the incarnation is accepted for longer than this.
    ttl_s = common_const.TOKEN_TTL_S + const.KEEP_AFTER_EXPIRY_S
    return peer_model.OutcomeHandover(
        incarnation=incarnation,
        records=tuple(records),
        complete=complete,
        ttl_ms=int(ttl_s * 1000),
        clock_ms=clock_ms,
    )


def _size(record: peer_model.OutcomeRecord) -> int:
    size = _RECORD_BYTES + len(record.token_id) + len(record.detail.encode())
    if record.answer is None:
        return size
    headers = sum(
        len(name.encode()) + len(value.encode()) + 8
        for name, value in record.answer.headers
    )
    return size + len(record.answer.body) + headers + _RECORD_BYTES
