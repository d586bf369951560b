"""Messages survive encoding and decoding unchanged."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from papayapick.wire import FrameInvalid, codec, decode, encode, messages

TEXT = st.text(st.characters(exclude_categories=["Cs"]), max_size=30)
IDENTIFIER = st.integers(0, 2**63)
SCALARS = {
    "bool": st.booleans(),
    "data": st.binary(max_size=100),
    "int32": st.integers(-(2**31), 2**31 - 1),
    "text": TEXT,
    "uint16": st.integers(0, 2**16 - 1),
    "uint32": st.integers(0, 2**32 - 1),
    "uint64": st.integers(0, 2**64 - 1),
}
UNION = codec._SCHEMA.Message.schema.union_fields
CLASSES = [codec._CLASSES[name] for name in UNION]


def _strategy(slot, kind):
    name = kind.which()
    if name != "list":
        return SCALARS[name]
    if slot in codec._NESTED:
        return st.lists(_payloads(codec._NESTED[slot]), max_size=2)
    return st.lists(SCALARS[kind.list.elementType.which()], max_size=3)


def _payloads(kind):
    fields = getattr(codec._SCHEMA, kind.__name__).schema.fields
    strategies = {
        slot: _strategy(slot, fields[wire_name].proto.slot.type)
        for slot, wire_name in codec._WIRE_NAMES[kind].items()
    }
    return st.builds(kind, **strategies)


def test_each_class_has_the_fields_of_the_schema():
    for kind, names in codec._WIRE_NAMES.items():
        if kind is not messages.Payload:
            schema = getattr(codec._SCHEMA, kind.__name__).schema
            assert sorted(names.values()) == sorted(schema.fieldnames), kind


@settings(derandomize=True, max_examples=150, deadline=None)
@given(st.one_of([_payloads(kind) for kind in CLASSES]), IDENTIFIER, TEXT)
def test_decoded_message_equals_the_encoded_one(payload, identifier, traceparent):
    decoded = decode(encode(identifier, payload, traceparent))
    assert (decoded[0], decoded[2]) == (identifier, traceparent)
    assert type(decoded[1]) is type(payload)
    assert repr(decoded[1]) == repr(payload)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.binary(max_size=200))
def test_any_bytes_decode_to_a_message_or_raise_frame_invalid(data):
    try:
        _, payload, _ = decode(data)
    except FrameInvalid:
        return
    assert isinstance(payload, messages.Payload)


@pytest.mark.parametrize("kind", CLASSES, ids=lambda kind: kind.__name__)
def test_truncated_message_is_decoded_or_refused(kind):
    whole = encode(1, kind())
    for kept in range(len(whole)):
        try:
            assert isinstance(decode(whole[:kept])[1], messages.Payload)
        except FrameInvalid as error:
            assert error.code == "wire.frame-invalid"
