"""What hosts tell callers of queues as one owner follows another."""

from types import SimpleNamespace

from papayapick.clock import ManualClock
from papayapick.entry.answers import PeerAnswers
from papayapick.entry.beats import BeatSender
from papayapick.entry.job_states import JobStateCache
from papayapick.jobs import AdvicePolicy, Queue
from papayapick.ownership.pools import PoolRow
from papayapick.placement.backlog import QueueBacklog
from papayapick.pool.owner import PoolOwner
from tests.pool.standins import Host

QUEUE = Queue(
    "q", "h", "/q/", "pool", 0, 2, 1.5, 0.5, 3.0, False, AdvicePolicy(0.02, 0, 2.5)
)


class Peer:
    """Hand what it is asked to the answers of another host."""

    def __init__(self, answers):
        self.client = self
        self.name = "h2"
        self._answers = answers

    def ask(self, payload, seconds):
        return self._answers.answer(payload, None, "")


def test_owner_that_has_not_read_its_state_does_not_say_that_nothing_waits():
    """Callers were told that no job waits while four hundred did.

    A new owner beats before it has read its state, which takes a second for a large
    pool, so that no other host takes the pool in turn. Those beats tell of no queue,
    and that was taken for queues in which nothing waits.
    """
    clock = ManualClock(100.0)
    job_states = JobStateCache(clock)
    job_states.note_backlogs("pool", 2, {"q": QueueBacklog(393, 0)}, known_at=100.0)
    candidacy = SimpleNamespace(
        note_beat=lambda beat: True, known_epoch=0, has_read_row=True
    )
    told = SimpleNamespace(
        job_states=job_states,
        clock=clock,
        store_health=SimpleNamespace(told_age=lambda: 0.0),
    )
    answers = PeerAnswers(told, {"pool": candidacy}, None)
    host = Host()
    host.clock = clock
    host.settings.host_name = "h1"
    host.advice = SimpleNamespace(note_peer_answer=lambda: None)
    owner = PoolOwner(host, PoolRow("pool", "h1", 3, "a:1", 9))
    try:
        line = BeatSender(host, owner, Peer(answers))
        assert line._beat()
        assert line._beat()
        assert job_states.waiting(QUEUE) == 393
    finally:
        owner.stop()
