"""A cell key can be rotated while the cell runs."""

import base64

import pytest

from papayapick.wire import CellKeyInvalid, CellKeys, FrameInvalid, WireError
from papayapick.wire.messages import WorkQuery
from tests.wire.connections import connected_pair

OLD, NEW = b"o" * 32, b"n" * 32
# Each step of a rotation: the keys of a process before the step and after it.
STEPS = [
    ("before", [OLD], [OLD]),
    ("second accepted", [OLD], [OLD, NEW]),
    ("second first", [OLD, NEW], [NEW, OLD]),
    ("old dropped", [NEW, OLD], [NEW]),
    ("after", [NEW], [NEW]),
]


@pytest.mark.parametrize(
    ("one", "other"), [row[1:] for row in STEPS], ids=[row[0] for row in STEPS]
)
def test_processes_before_and_after_a_step_can_connect(one, other):
    for near, far in ((one, other), (other, one)):
        with connected_pair(CellKeys(near), CellKeys(far)) as (caller, listener, _, _):
            caller.send(1, WorkQuery(shard="s", request_id="r"))
            assert listener.receive()[1].request_id == "r"
            listener.send(1, WorkQuery(shard="s", request_id="back"))
            assert caller.receive()[1].request_id == "back"


@pytest.mark.parametrize(("near", "far"), [([OLD], [NEW]), ([NEW, OLD], [OLD])])
def test_rotation_with_a_skipped_step_is_refused(near, far):
    with pytest.raises((FrameInvalid, WireError)):
        with connected_pair(CellKeys(near), CellKeys(far)):
            raise AssertionError("greeted without a common key")


def _line(key):
    return base64.b64encode(key)


FILES = [
    ("empty", b"", "0 keys"),
    ("no base64", b"!!!secret!!!", "line 1"),
    ("short", _line(b"secret"), "line 1"),
    ("long", _line(b"s" * 65), "line 1"),
    ("second bad", _line(OLD) + b"\nsecret", "line 2"),
    ("too many", b"\n".join(_line(bytes([n]) * 32) for n in range(5)), "5 keys"),
    ("twice", _line(OLD) + b"\n" + _line(OLD), "stands twice"),
]


@pytest.mark.parametrize(
    ("data", "reason"), [row[1:] for row in FILES], ids=[row[0] for row in FILES]
)
def test_invalid_key_file_is_reported_without_its_content(tmp_path, data, reason):
    path = tmp_path / "cell.key"
    path.write_bytes(data)
    with pytest.raises(CellKeyInvalid, match=reason) as caught:
        CellKeys.from_file(path)
    assert "secret" not in str(caught.value)
    assert caught.value.__cause__ is None


def test_missing_key_file_is_reported(tmp_path):
    with pytest.raises(CellKeyInvalid):
        CellKeys.from_file(tmp_path / "nowhere")


def test_repr_does_not_show_the_keys(tmp_path):
    path = tmp_path / "cell.key"
    path.write_bytes(_line(OLD) + b"\n" + _line(NEW) + b"\n")
    keys = CellKeys.from_file(path)
    assert keys.first == OLD
    assert repr(keys) == "CellKeys(2 keys)"
