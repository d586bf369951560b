"""What callers are told of how many jobs of a queue have not begun."""

import json
from types import SimpleNamespace

import pytest

from papayapick.clock import ManualClock
from papayapick.entry.answers import PeerAnswers
from papayapick.entry.application import Application
from papayapick.entry.board import StateBoard
from papayapick.entry.lines import OwnerLine, OwnerLines
from papayapick.jobs import AdvicePolicy, Queue
from papayapick.placement.backlog import QueueBacklog
from papayapick.wire.exceptions import PeerTimeout
from tests.pool.owners import job, owner_with

QUEUE = Queue(
    "q", "h", "/q/", "pool", 0, 2, 1.5, 0.5, 3.0, False, AdvicePolicy(0.02, 0, 2.5)
)


# What callers are promised: no number that they are told is older.
PROMISED_SECONDS = 2.0


class EntryStandIn:
    """Stand for an entry host that serves one queue."""

    def __init__(self, clock):
        self.clock = clock
        self.board = StateBoard(clock)
        self.settings = SimpleNamespace(
            readiness_address=("127.0.0.1", 1), metrics_port=0
        )
        self.configuration = SimpleNamespace(
            version=1,
            wait_for_first=lambda seconds: SimpleNamespace(
                find=lambda name, path: QUEUE
            ),
        )
        self.store_health = SimpleNamespace(
            shown_age=lambda: None, told_age=lambda: 0.0
        )


@pytest.fixture
def clock():
    return ManualClock(100.0)


@pytest.fixture
def host(clock):
    return EntryStandIn(clock)


class OwningHost:
    """Own a pool in which one job waits, and tell another host of it.

    Parameters
    ----------
    told : EntryStandIn
        Its clock is another one than the owner's.
    """

    def __init__(self, told):
        self.host, self.owner = owner_with(job())
        self.host.settings.host_name = "h1"
        self.host.advice = SimpleNamespace(note_heard=lambda: None)
        self.host.board = StateBoard(self.host.clock)
        self.owner.has_read_state = True
        self.told = told
        self.is_cut_off = False
        self.beats = []
        candidacy = SimpleNamespace(
            note_beat=lambda beat: True, known_epoch=0, has_read_row=True
        )
        self.answers = PeerAnswers(told, {"pool": candidacy}, None)
        self.name, self.client = "h2", self
        self.lines = OwnerLines(self.host, {})
        self.line = OwnerLine(self.host, self.owner, self)

    def ask(self, beat, seconds):
        """Stand for the way to the other host."""
        self.beats.append(beat)
        if self.is_cut_off:
            raise PeerTimeout(address=("10.0.0.2", 7720), seconds=seconds)
        return self.answers.answer(beat, None, "")

    def close(self):
        pass

    def advance(self, seconds):
        self.host.clock.advance(seconds)
        self.told.clock.advance(seconds)

    def note_all_taken_in(self):
        """Let the feed of jobs be answered, and the ownership be confirmed."""
        now = self.host.clock.monotonic()
        self.owner.store_sync._note_complete(now)
        self.owner.ownership_status.note_confirmed(now)

    def beat(self):
        self.line._beat()


@pytest.fixture
def owning(host):
    return OwningHost(host)


def count(host):
    """Ask for the count of the queue; return status, headers and body."""
    answers = []
    environ = {
        "SERVER_PORT": "2",
        "REQUEST_METHOD": "GET",
        "HTTP_HOST": "h",
        "PATH_INFO": "/q/",
    }
    (body,) = Application(host)(
        environ, lambda status, headers: answers.append((status, dict(headers)))
    )
    ((status, headers),) = answers
    return status, headers, json.loads(body)


def test_host_that_was_told_nothing_of_a_pool_does_not_say_that_nothing_waits(host):
    """Callers of a host that had just started were told 0 while 58 jobs waited."""
    status, headers, body = count(host)
    assert "queued_jobs" not in body
    assert status == "503 Service Unavailable"
    assert headers["Retry-After"] == "1"


def test_host_that_was_told_says_how_many_wait(host, owning):
    """A host knew the clock of its owner only after some beats, and told no number."""
    owning.beat()
    assert owning.line._wakeup.is_set()
    owning.beat()
    status, _, body = count(host)
    assert (status, body) == ("200 OK", {"queued_jobs": 1})


def test_queue_that_a_fresh_word_leaves_out_has_nothing_that_waits(host):
    host.board.note_backlogs("pool", 3, {}, known_at=host.clock.monotonic())
    status, _, body = count(host)
    assert (status, body) == ("200 OK", {"queued_jobs": 0})


def test_number_of_an_owner_that_is_gone_is_not_told_for_ever(host, owning):
    """An owner lost power; callers were told its last number until there was another.

    It holds as long as callers are promised, and no longer.
    """
    owning.beat()
    owning.beat()
    host.clock.advance(PROMISED_SECONDS - 0.1)
    assert count(host)[2] == {"queued_jobs": 1}
    host.clock.advance(0.2)
    assert count(host)[0] == "503 Service Unavailable"


def test_number_of_an_owner_whose_feed_is_silent_is_not_told(host, owning):
    """An owner beat on while no accepted job reached it, and told too few."""
    owning.beat()
    for _ in range(11):
        owning.advance(0.2)
        owning.owner.ownership_status.note_confirmed(owning.host.clock.monotonic())
        owning.beat()
    assert count(host)[0] == "503 Service Unavailable"
    owning.note_all_taken_in()
    owning.advance(0.1)
    owning.beat()
    assert count(host)[2] == {"queued_jobs": 1}


def test_late_message_of_a_replaced_owner_does_not_bring_its_number_back(host):
    """Two owners' messages crossed, and the count of the first one was told again."""
    now = host.clock.monotonic()
    host.board.note_backlogs("pool", 4, {"q": QueueBacklog(58)}, known_at=now)
    host.board.note_backlogs("pool", 3, {"q": QueueBacklog(2, 9)}, known_at=now)
    assert count(host)[2] == {"queued_jobs": 58}
    assert host.board.retry_after("pool", "q") == 0


def test_message_that_was_held_up_on_its_way_tells_no_number_as_fresh(host, owning):
    """A cut between two hosts healed, and a beat of seconds ago arrived."""
    owning.beat()
    owning.beat()
    late = owning.beats[-1]
    owning.advance(PROMISED_SECONDS + 0.5)
    owning.answers.answer(late, None, "")
    assert count(host)[0] == "503 Service Unavailable"


def test_earlier_message_of_the_same_owner_does_not_replace_a_later_one(host):
    """Beats of two connections crossed after a cut, and the older number stood."""
    now = host.clock.monotonic()
    host.board.note_backlogs("pool", 3, {"q": QueueBacklog(58)}, known_at=now)
    host.board.note_backlogs("pool", 3, {}, known_at=now - 0.5)
    assert count(host)[2] == {"queued_jobs": 58}


def test_clock_of_a_host_is_learnt_anew_after_it_was_not_reached(host, owning):
    """A machine in the place of another has another clock: old numbers seemed fresh."""
    owning.beat()
    owning.is_cut_off = True
    owning.beat()
    owning.is_cut_off = False
    owning.beat()
    assert owning.beats[-1].known_at_milliseconds == 0


def test_number_from_later_than_now_is_not_told(host, owning):
    """A host had another clock than the one that its owner knew."""
    owning.beat()
    owning.line._peer_clock_lead += 60.0
    owning.beat()
    assert count(host)[0] == "503 Service Unavailable"


def test_refusal_holds_for_its_own_time_and_no_longer(host):
    """A queue was closed for ever: the owner that had closed it was gone."""
    host.board.note_backlogs("pool", 3, {"q": QueueBacklog(500, 9)})
    assert host.board.retry_after("pool", "q") == 9
    host.clock.advance(8.5)
    assert host.board.retry_after("pool", "q") == 1
    host.clock.advance(0.5)
    assert host.board.retry_after("pool", "q") == 0


def test_owner_of_a_quiet_pool_tells_the_number_on_its_own_host(owning):
    """No job changed for two seconds, and the owner's own host knew no number."""
    for _ in range(30):
        owning.host.clock.advance(0.1)
        owning.note_all_taken_in()
        owning.lines.tell(owning.owner)
    assert owning.host.board.waiting(QUEUE) == 1


@pytest.mark.parametrize("is_local", [True, False])
def test_owner_that_has_not_read_its_state_tells_no_number(host, owning, is_local):
    """A new owner with an empty book said that nothing waits."""
    owning.owner.has_read_state = False
    owning.lines.tell(owning.owner)
    owning.beat()
    owning.beat()
    host.board = owning.host.board if is_local else host.board
    assert count(host)[0] == "503 Service Unavailable"


@pytest.mark.parametrize("is_local", [True, False])
def test_owner_that_has_not_read_its_state_opens_no_closed_queue(
    host, owning, is_local
):
    """A takeover let callers into a full queue until the new owner had counted."""
    board = owning.host.board if is_local else host.board
    board.note_backlogs("pool", 2, {"q": QueueBacklog(500, 9)})
    owning.owner.has_read_state = False
    owning.lines.tell(owning.owner)
    owning.beat()
    assert board.retry_after("pool", "q") == 9
    owning.owner.has_read_state = True
    owning.lines.tell(owning.owner)
    owning.beat()
    assert board.retry_after("pool", "q") == 0


def test_metrics_leave_out_numbers_that_are_too_old(host):
    """A graph showed the backlog of an owner that was gone."""
    board, now = host.board, host.clock.monotonic()
    board.note_backlogs("pool", 3, {"q": QueueBacklog(58)}, known_at=now)
    assert board.all_waiting() == {"q": 58}
    host.clock.advance(PROMISED_SECONDS + 0.1)
    assert board.all_waiting() == {}


@pytest.mark.parametrize(("age", "shown"), [(None, "None"), (3.25, "3.25")])
def test_refused_count_names_pool_and_age(host, age, shown):
    """Whoever read the log could not tell an owner that was gone from none at all."""
    if age is not None:
        then = host.clock.monotonic() - age
        host.board.note_backlogs("pool", 3, {}, known_at=then)
    _, _, body = count(host)
    assert body == {
        "error": "entry.count-unknown",
        "detail": f"no fresh count of pool pool; seconds old: {shown}",
    }
