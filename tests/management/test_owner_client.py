"""Operators' messages reach the owner of a shard while it is handed over."""

from types import SimpleNamespace

import pytest

from papayapick.management.exceptions import OwnerMissing
from papayapick.management.owner_client import OwnerClient
from papayapick.wire import PeerRefused, PeerTimeout, PeerUnreachable
from papayapick.wire.messages import WorkCancel, WorkState
from tests.standins.clocks import AdvancingClock

ADDRESS = ("127.0.0.1", 7000)
DONE = WorkState(request_id="hobart-a.0.r", state="ended", outcome="done")


class FakeTable:
    """Return the given owners of a shard in turn, and then always the last one."""

    def __init__(self, *owners):
        self._owners = list(owners)

    def read(self, key):
        owner = self._owners.pop(0) if len(self._owners) > 1 else self._owners[0]
        if owner is None:
            return None
        return SimpleNamespace(value={"owner": owner, "epoch": 3}, version=9)


class FakePeers:
    """Answer for each placer with its given answer or error."""

    def __init__(self, answers):
        self._answers = answers

    def __enter__(self):
        return self

    def __exit__(self, *ignored):
        pass

    def ask(self, name, message):
        found = self._answers[name]
        if isinstance(found, Exception):
            raise found
        return found


def send(owners, answers):
    client = OwnerClient(
        FakeTable(*owners), lambda: FakePeers(answers), AdvancingClock()
    )
    message = WorkCancel(shard="hobart-a.0", request_id="hobart-a.0.r")
    return client.ask("hobart-a.0", message)


def refused(code):
    return PeerRefused(refusal_code=code, detail="", outcome="not_run", retry_after=0)


@pytest.mark.parametrize(
    ("owners", "first"),
    [
        (["", "b"], None),
        (["gone", "b"], None),
        (["a", "b"], refused("ownership.not-owned")),
        (["a", "b"], refused("placer.shard-closed")),
        (["a", "b"], PeerUnreachable(address=ADDRESS)),
        (["a", "b"], PeerTimeout(address=ADDRESS, seconds=1.0)),
    ],
    ids=["released", "unlisted", "moved", "closed", "unreachable", "silent"],
)
def test_message_follows_a_shard_that_is_handed_over(owners, first):
    """A cancellation during a handover must not fail.

    The command failed when it read the owner's row only once, between the release by
    one placer and the claim by the next, or when it sent to the placer that had just
    released the shard.
    """
    assert send(owners, {"a": first, "b": DONE}) is DONE


@pytest.mark.parametrize(
    ("owner", "answers", "error"),
    [
        (None, {}, OwnerMissing),
        ("", {}, OwnerMissing),
        ("a", {"a": PeerUnreachable(address=ADDRESS)}, PeerUnreachable),
        ("a", {"a": refused("journal.work-unknown")}, PeerRefused),
    ],
    ids=["never owned", "released for good", "gone for good", "unknown work"],
)
def test_persistent_error_is_raised(owner, answers, error):
    with pytest.raises(error):
        send([owner], answers)
