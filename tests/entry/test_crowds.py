"""Which of many hosts try first to take a pool."""

import random
from types import SimpleNamespace

import pytest

from papayapick.clock import ManualClock
from papayapick.entry.cell.peers import Peers
from papayapick.entry.crowds import crowd_delay
from papayapick.entry.takeover_order import takeover_delay

# Time until the other hosts have read that the pool was taken: the winner's reads and
# its claim, and the time for which followers of the cell's table gather its changes.
KNOWN_AFTER_SECONDS = 0.2
STORE_SECONDS = (0.01, 0.045)


def settings_of(name, processors):
    return SimpleNamespace(host_name=name, processors=processors)


def delays_of(count):
    """Return the delay of each of the hosts of a cell in two regions, ascending."""
    draw = random.Random(count)
    hosts = [
        SimpleNamespace(name=f"h{number}", processors=round(draw.uniform(0.4, 2.2), 1))
        for number in range(count)
    ]
    delays = []
    for number, own in enumerate(hosts):
        others = [one for one in hosts if one is not own]
        host = SimpleNamespace(
            clock=ManualClock(),
            settings=settings_of(own.name, own.processors),
            peers=SimpleNamespace(all=lambda found=others: found),
            store_seconds=STORE_SECONDS[number % 2],
        )
        delays.append(takeover_delay(host))
    return sorted(delays)


def test_few_of_hundreds_of_hosts_try_at_the_same_moment():
    """Guards against hundreds of hosts that read the store and ask the new owner.

    They try for as long as it takes them to read that the pool was taken.
    """
    delays = delays_of(300)
    assert sum(one < delays[0] + KNOWN_AFTER_SECONDS for one in delays) <= 60


def test_a_host_of_many_that_tries_first_does_so_at_once():
    assert delays_of(300)[0] < 0.1


@pytest.mark.parametrize("count", [1, 2, 40])
def test_hosts_of_a_small_cell_wait_for_no_crowd(count):
    others = [
        SimpleNamespace(name=f"h{number}", processors=2.0)
        for number in range(count - 1)
    ]
    assert crowd_delay(settings_of("small", 0.4), others) == 0.0


def test_hosts_of_the_same_size_wait_one_after_the_other():
    peers = [
        SimpleNamespace(name=f"h{number}", processors=1.0) for number in range(300)
    ]
    delays = [
        crowd_delay(
            settings_of(own.name, 1.0), [one for one in peers if one is not own]
        )
        for own in peers
    ]
    assert delays.count(0.0) == 40
    assert len(set(delays)) == 261
    assert max(delays) == pytest.approx(1.3)


@pytest.mark.parametrize(("count", "seconds"), [(2, 0.2), (40, 0.2), (300, 0.451)])
def test_owner_among_hundreds_of_hosts_has_more_time_to_answer(count, seconds):
    """Guards against a new owner that is replaced as it can't answer all hosts at once.

    Each asks it whether it works, and takes the pool without an answer.
    """
    asked = []

    def ask(query, timeout):
        asked.append(timeout)
        return SimpleNamespace(epoch=3)

    peers = Peers(None, None, SimpleNamespace(host="h1"), None)
    peers._peers = {
        f"h{number}": SimpleNamespace(client=SimpleNamespace(ask=ask))
        for number in range(count)
    }
    assert peers.owned_epoch(peers.get("h0"), "pool") == 3
    assert asked == [pytest.approx(seconds, abs=0.001)]
