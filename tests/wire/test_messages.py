"""Every message comes out of its bytes as it went in."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from papayapick.wire import FrameInvalid, decode, encode, messages

TEXT = st.text(st.characters(exclude_categories=["Cs"]), max_size=30)
SMALL = st.integers(0, 2**16 - 1)
LARGE = st.integers(0, 2**63)
LOAD = st.builds(messages.ServiceLoad, service=TEXT, free_slots=SMALL, waiting=SMALL)
SUMMARY = st.builds(
    messages.ShardSummary, shard=TEXT, epoch=LARGE, loads=st.lists(LOAD, max_size=3)
)
PLACER = st.builds(
    messages.PlacerSummary,
    host=TEXT,
    draining=st.booleans(),
    shards=st.lists(SUMMARY, max_size=2),
)
KINDS = {
    "bundle_sequence": LARGE,
    "confirmed": st.booleans(),
    "draining": st.booleans(),
    "envelope": st.binary(max_size=100),
    "epoch": LARGE,
    "explain": st.booleans(),
    "free_slots": SMALL,
    "grant_id": LARGE,
    "head_version": LARGE,
    "known": LARGE,
    "loads": st.lists(LOAD, max_size=3),
    "avoid": st.lists(TEXT, max_size=3),
    "nonce": st.binary(min_size=16, max_size=16),
    "placers": st.lists(PLACER, max_size=3),
    "payload": st.binary(max_size=100),
    "result": st.binary(max_size=100),
    "shards": st.lists(SUMMARY, max_size=3),
    "status": SMALL,
    "summary_version": LARGE,
    "waiting": SMALL,
}
NESTED = {"Payload", "PlacerSummary", "ServiceLoad", "ShardSummary"}
CLASSES = [getattr(messages, name) for name in messages.__all__ if name not in NESTED]


def _strategy(name):
    if name in KINDS:
        return KINDS[name]
    if name.endswith(("_milliseconds", "_microseconds")):
        return SMALL
    return TEXT


def _payloads(kind):
    return st.builds(kind, **{name: _strategy(name) for name in kind.__slots__})


@settings(derandomize=True, max_examples=150, deadline=None)
@given(st.one_of([_payloads(kind) for kind in CLASSES]), LARGE, TEXT)
def test_message_comes_out_as_it_went_in(payload, identifier, traceparent):
    found = decode(encode(identifier, payload, traceparent))
    assert (found[0], found[2]) == (identifier, traceparent)
    assert type(found[1]) is type(payload)
    assert repr(found[1]) == repr(payload)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.binary(max_size=200))
def test_any_bytes_are_a_message_or_a_typed_error(data):
    try:
        _, payload, _ = decode(data)
    except FrameInvalid:
        return
    assert isinstance(payload, messages.Payload)


@pytest.mark.parametrize("kind", CLASSES, ids=lambda kind: kind.__name__)
def test_cut_message_is_refused_or_read(kind):
    whole = encode(1, kind())
    for kept in range(len(whole)):
        try:
            assert isinstance(decode(whole[:kept])[1], messages.Payload)
        except FrameInvalid as error:
            assert error.code == "wire.frame-invalid"
