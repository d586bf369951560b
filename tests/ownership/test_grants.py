import pytest

from papayapick.routing import Grant, GrantExpired
from papayapick.wire.messages import SlotRequest
from tests.ownership.small_cell import SmallCell

WINDOW = 0.5


@pytest.mark.parametrize(
    ("wait", "run"), [(0.0, 5.0), (2.6, 5.0), (10.0, 5.0), (10.0, 0.1)]
)
def test_a_slot_is_not_reclaimed_while_its_grant_may_be_used(wait, run):
    """A gateway is paused between the grant and its call. After the maximum run
    time the placer queries the backend server, which reports no call, and grants
    the slot to another request. The gateway resumes within its own grant window
    and calls as well, so that one slot runs two calls.
    """
    with SmallCell() as cell:
        shard = cell.take_over("placer-a")
        wanted = SlotRequest(
            service="counts",
            request_id="first",
            wait_milliseconds=int(wait * 1000),
            run_milliseconds=int(run * 1000),
        )
        requested_at = cell.clock.monotonic()
        granted = shard.slot_allocator.request(wanted, 8)
        grant = Grant(granted, None, requested_at + wait + WINDOW)
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
