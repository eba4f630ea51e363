"""Test the encoding of messages, its limits and newer protocols."""

from typing import Any

import cbor2
from hypothesis import given
from hypothesis import strategies
import pytest
from returns.pipeline import is_successful

from samphirelug.components.catalogue import model as catalogue_model
from samphirelug.components.peers import codec
from samphirelug.components.peers import model
from samphirelug.components.quota import model as quota_model
from samphirelug import const
from samphirelug import core
from samphirelug import result_codes
from standins import builders
from tests.components.peers import test_io_mesh

HOST = builders.make_host()
HEARTBEAT = test_io_mesh.make_heartbeat(HOST)._replace(
    headroom=(
        model.RegionHeadroom("tallinn", "filing", 3, 1),
        model.RegionHeadroom("tartu", "filing", -1, 0),
    ),
    sightings=(model.Sighting("s1", "", True, 4),),
)
RECORD = model.OutcomeRecord(
    "t", 0, "", core.Answer(200, "OK", (("a", "b"),), b"\xff\0", "s1"), 5, b"d"
)
WORK = builders.make_work("file-claim", work_class=core.WorkClass.FILING)
SUMMARY = model.ZoneSummary(HOST.zone, 2, 7, ("eh2",), 1, 3, (HEARTBEAT,))
MESSAGES: tuple[model.Message, ...] = (
    model.Challenge(1, 1, "eh1", "n"),
    model.Hello(1, HOST, "t", "n"),
    model.Welcome(1, HOST, "t"),
    model.KnownHosts((HOST,)),
    model.Relayed(
        (model.RelayedSighting("o", 1, HEARTBEAT.sightings[0]),),
        (model.ZonePositions(7, (model.ZoneEpoch(2**32 - 1, 2),)),),
        (SUMMARY,),
        1,
        2,
    ),
    HEARTBEAT,
    HEARTBEAT.sightings[0],
    model.CatalogueRequest(3),
    model.CatalogueReply(
        catalogue_model.CatalogueDelta(
            0,
            9,
            (
                catalogue_model.CatalogueObject("work/a", 8, "c", WORK),
                catalogue_model.CatalogueObject("work/b", 9, "c", None),
            ),
        )
    ),
    model.GrantRequest("file-claim", "tallinn", 2, "tartu", "tartu", 10),
    model.UnitRequest((quota_model.UnitAmount("link:a>b", 10**9),)),
    model.Grant(
        "l",
        (quota_model.Bundle("r", "s", (quota_model.UnitAmount("k", 1),)),),
        2.0,
    ),
    model.UnitGrant("l", (), 2.0),
    model.GrantReturn("l", 0),
    model.OutcomeQuery("token"),
    model.OutcomeReply(RECORD),
    model.OutcomeHandover("eh1-1", (RECORD,), True, 9, 7),
    model.Acknowledgement(),
)


def refusal_code(data: bytes) -> result_codes.ResultCode:
    """Return the result code of the failure to decode the data."""
    return codec.decode(data).failure().code


def test_every_message_is_decoded_as_it_was_encoded() -> None:
    """Guard against types and fields that get lost in encoding."""
    assert {type(m).__name__ for m in MESSAGES} == set(codec.MESSAGE_TYPES)
    for message in MESSAGES:
        data = codec.encode(message, message_id=4, reply_to=2)
        assert codec.decode(data).unwrap() == model.Frame(message, 4, 2)


def test_unknown_fields_and_types_are_tolerated() -> None:
    """Guard against closing connections to hosts with another version."""
    frame = {"type": "GrantReturn", "loan_id": "l", "bundle_number": 1}
    known = codec.decode(cbor2.dumps({**frame, "colour": [1]})).unwrap()
    assert known == model.Frame(model.GrantReturn("l", 1))
    record = ["t", 0, "", None, 5]
    older = {"incarnation": "i", "records": [record], "complete": True}
    older |= {"type": "OutcomeHandover", "ttl_ms": 1}
    handover = codec.decode(cbor2.dumps(older)).unwrap()
    assert isinstance(handover, model.Frame)
    assert isinstance(handover.message, model.OutcomeHandover)
    assert handover.message.clock_ms is None
    assert handover.message.records[0].digest == b""
    newer = codec.decode(cbor2.dumps({**frame, "type": "Later"})).unwrap()
    assert newer == codec.UnknownType("Later")


@pytest.mark.parametrize(
    "frame",
    [
        {"type": "GrantReturn", "loan_id": "l"},
        {"type": "GrantReturn", "loan_id": 5, "bundle_number": 1},
        {"type": "CatalogueRequest", "since": 1, "id": -1},
        {"type": "CatalogueRequest", "since": 1, "reply_to": "x"},
        {"type": ["CatalogueRequest"], "since": 1},
        {"since": 1},
        [1, 2],
        "text",
        {"type": "Beat", "clock_ms": 1},
    ],
)
def test_invalid_frames_are_refused(frame: Any) -> None:
    """Guard against accepting messages that do not match the schema."""
    code = result_codes.ResultCode.PEER_MESSAGE_INVALID
    result = codec.SparseDecoder().decode(cbor2.dumps(frame))
    assert result.failure().code is code


def test_not_a_number_is_refused() -> None:
    """Guard against NaN wait times, with which comparisons are false."""
    for wait in (float("nan"), -1.0):
        data = codec.encode(HEARTBEAT._replace(wait_s=(wait, 0.0, 0.0)))
        assert not is_successful(codec.decode(data))
    data = codec.encode(HEARTBEAT._replace(wait_s=(float("inf"), 0.0, 0.0)))
    assert is_successful(codec.decode(data))


def test_size_and_depth_are_bounded() -> None:
    """Guard against peers causing high memory use or deep recursion."""
    limit = const.MAX_PEER_MESSAGE_BYTES
    with pytest.raises(ValueError, match="at most"):
        codec.encode(model.OutcomeQuery("x" * limit))
    too_large = result_codes.ResultCode.PEER_MESSAGE_TOO_LARGE
    assert refusal_code(b"\0" * (limit + 1)) is too_large
    invalid = result_codes.ResultCode.PEER_MESSAGE_INVALID
    # Excessive depth and duplicate keys in fields that are ignored.
    name = cbor2.dumps("type") + cbor2.dumps("Acknowledgement")
    assert is_successful(codec.decode(b"\xa1" + name))
    deep = b"\xa2" + name + b"\x61x" + b"\x81" * 40 + b"\x00"
    assert refusal_code(deep) is invalid
    assert refusal_code(b"\xa2" + name + name) is invalid
    # An array whose header declares 2**60 items.
    assert refusal_code(b"\x9b\x10" + b"\0" * 7) is invalid


@given(strategies.binary(max_size=200))
def test_any_bytes_are_refused_without_an_exception(data: bytes) -> None:
    """Guard against exceptions that would end the reading task."""
    assert not is_successful(codec.SparseDecoder().decode(data))


HEADROOM_ITEMS = strategies.builds(
    model.RegionHeadroom,
    region=strategies.sampled_from("ab"),
    service=strategies.sampled_from("xy"),
    free=strategies.integers(-2, 2),
    held=strategies.integers(0, 2),
)
HEARTBEATS = strategies.builds(
    lambda items, queued, state: HEARTBEAT._replace(
        headroom=tuple(items), queued=(queued, 0, 0), state=state
    ),
    strategies.lists(HEADROOM_ITEMS, max_size=3),
    strategies.integers(0, 2),
    strategies.sampled_from(core.EntryHostState),
)


@given(strategies.lists(HEARTBEATS, max_size=8))
def test_sparse_heartbeats_are_decoded_to_full_ones(
    heartbeats: list[model.Heartbeat],
) -> None:
    """Guard against stale values from an earlier heartbeat."""
    encoder, decoder = codec.SparseEncoder(), codec.SparseDecoder()
    for clock_ms, heartbeat in enumerate(heartbeats):
        sent = heartbeat._replace(clock_ms=clock_ms)
        result = decoder.decode(encoder.encode(sent))
        assert result.unwrap() == model.Frame(sent)


def test_amounts_for_a_missing_headroom_item_are_refused() -> None:
    """Guard against an IndexError that would end the reading task."""
    decoder = codec.SparseDecoder()
    decoder.decode(codec.encode(HEARTBEAT))
    frame = {"type": "Beat", "clock_ms": 2, "amounts": [[2, 1, 1]]}
    assert not is_successful(decoder.decode(cbor2.dumps(frame)))
