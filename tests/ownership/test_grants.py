import pytest

from papayapick.routing import Grant, GrantExpired
from papayapick.wire.messages import SlotRequest
from tests.ownership.small_cell import SmallCell

WINDOW = 0.5


@pytest.mark.parametrize(
    ("wait", "run"), [(0.0, 5.0), (2.6, 5.0), (10.0, 5.0), (10.0, 0.1)]
)
def test_a_slot_is_not_taken_back_while_its_grant_may_be_used(wait, run):
    """A gateway is frozen between the grant and the send. The placer, past the
    upper bound of a run, asks the backend server, which knows of no call, and
    gives the slot to another; the gateway wakes within its own window and
    calls as well: one slot, two calls.
    """
    with SmallCell() as cell:
        shard = cell.take_over("placer-a")
        wanted = SlotRequest(
            service="counts",
            request_id="first",
            wait_milliseconds=int(wait * 1000),
            run_milliseconds=int(run * 1000),
        )
        asked = cell.clock.monotonic()
        granted = shard.slot_allocator.request(wanted, 8)
        grant = Grant(granted, None, asked + wait + WINDOW)
        while is_usable(grant, cell.clock.monotonic()):
            assert list(shard.slot_allocator.in_doubt_instances()) == []
            cell.clock.advance(0.1)
        cell.clock.advance(max(run, wait) + 1)
        assert list(shard.slot_allocator.in_doubt_instances()) == ["counts-1"]


def is_usable(grant, now):
    try:
        grant.check_usable(now)
    except GrantExpired:
        return False
    return True
