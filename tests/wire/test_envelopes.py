"""Envelopes are untrusted input: any invalid content is refused with a typed error."""

import copy
import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from demo.cells import ROOT
from papayapick.bundle import (
    BundleInvalid,
    Envelope,
    KeyRing,
    SignaturesMissing,
    generate_key,
    sign,
)
from papayapick.bundle.documents import DOCUMENT_LIMIT_BYTES

DOCUMENT = json.loads((ROOT / "deploy" / "footfall" / "bundle.json").read_text())
PRIVATE, PUBLIC = generate_key()
RING = KeyRing.from_text(json.dumps({"ana": PUBLIC}), 1)
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=6,
)


def _paths(node, path=()):
    """Yield the path of each value of a document."""
    items = node.items() if isinstance(node, dict) else enumerate(node)
    for key, value in items:
        yield (*path, key)
        if isinstance(value, (dict, list)):
            yield from _paths(value, (*path, key))


def _document_with(path, value):
    found = copy.deepcopy(DOCUMENT)
    node = found
    for key in path[:-1]:
        node = node[key]
    node[path[-1]] = value
    return found


def _read(data):
    """Return the envelope, or None if it is refused with BundleInvalid."""
    try:
        return Envelope.from_bytes(data)
    except BundleInvalid as error:
        assert error.code == "bundle.invalid"
        return None


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.binary(max_size=200) | VALUES.map(lambda value: json.dumps(value).encode()))
def test_any_bytes_are_refused(data):
    assert _read(data) is None


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.sampled_from(sorted(_paths(DOCUMENT), key=str)), VALUES)
def test_changed_document_is_refused_or_unsigned(path, value):
    envelope = _read(json.dumps({"document": _document_with(path, value)}).encode())
    if envelope is not None:
        # A changed document may still be a valid bundle. Then only the missing
        # signatures show that operators have not approved it.
        with pytest.raises(SignaturesMissing):
            RING.verify(envelope)


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.dictionaries(st.text(max_size=5) | st.just("ana"), st.text(max_size=90)))
def test_arbitrary_signatures_are_not_accepted(signatures):
    data = json.dumps({"document": DOCUMENT, "signatures": signatures}).encode()
    with pytest.raises(SignaturesMissing):
        RING.verify(_read(data))


@settings(derandomize=True, max_examples=50, deadline=None)
@given(st.sampled_from(sorted(_paths(DOCUMENT), key=str)), st.integers(1, 9))
def test_signature_does_not_cover_a_changed_document(path, value):
    envelope = _read(json.dumps({"document": DOCUMENT}).encode())
    sign(envelope, "ana", PRIVATE)
    RING.verify(envelope)
    changed = {
        "document": _document_with(path, value),
        "signatures": envelope.signatures,
    }
    if changed["document"] != DOCUMENT:
        envelope = _read(json.dumps(changed).encode())
        if envelope is not None:
            with pytest.raises(SignaturesMissing):
                RING.verify(envelope)


WHOLE = json.dumps({"document": DOCUMENT}).encode()
HOSTILE = [
    ("too large", WHOLE + b" " * DOCUMENT_LIMIT_BYTES),
    ("deep", b'{"document": ' + b"[" * 100_000),
    ("long number", b'{"document": ' + b"9" * 10_000 + b"}"),
    ("no text", b"\xff\xfe\x00"),
    ("signatures of a wrong type", json.dumps({"document": DOCUMENT, "signatures": 7})),
    (
        "not a number",
        json.dumps({"document": _document_with(("format",), float("nan"))}),
    ),
]


@pytest.mark.parametrize(
    "data", [row[1] for row in HOSTILE], ids=[row[0] for row in HOSTILE]
)
def test_hostile_document_is_refused(data):
    assert _read(data if isinstance(data, bytes) else data.encode()) is None
