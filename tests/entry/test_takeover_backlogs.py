"""Backlogs that other hosts report to callers while a pool is taken over."""

from types import SimpleNamespace

from papayapick.clock import ManualClock
from papayapick.entry.callers.job_states import JobStateCache
from papayapick.entry.cell.beat_senders import BeatSender
from papayapick.entry.cell.peer_requests import PeerRequestHandler
from papayapick.jobs import AdvicePolicy, Queue
from papayapick.ownership.pools import PoolRow
from papayapick.placement.order.backlog import QueueBacklog
from papayapick.pool.owner import PoolOwner
from tests.pool.standins import Host

QUEUE = Queue(
    "q", "h", "/q/", "pool", 0, 2, 1.5, 0.5, 3.0, False, AdvicePolicy(0.02, 0, 2.5)
)


class Peer:
    """Pass requests to the request handler of another host."""

    def __init__(self, handler):
        self.client = self
        self.name = "h2"
        self._handler = handler

    def ask(self, payload, seconds):
        return self._handler.answer(payload, None, "")


def test_owner_that_has_not_read_its_state_does_not_report_empty_queues():
    """Guards against a count of 0 for a queue in which hundreds of jobs wait.

    A new owner sends heartbeats before it has read its state, which takes a second for
    a large pool, so that no other host takes the pool in turn. These heartbeats list no
    queue, which must not be read as queues without waiting jobs.
    """
    clock = ManualClock(100.0)
    job_states = JobStateCache(clock)
    job_states.note_backlogs("pool", 2, {"q": QueueBacklog(393, 0)}, known_at=100.0)
    candidacy = SimpleNamespace(
        note_beat=lambda beat: True, known_epoch=0, has_read_row=True
    )
    receiver = SimpleNamespace(
        job_states=job_states,
        clock=clock,
        store_health=SimpleNamespace(reported_age=lambda: 0.0),
    )
    handler = PeerRequestHandler(receiver, {"pool": candidacy}, None)
    host = Host()
    host.clock = clock
    host.settings.host_name = "h1"
    host.advice = SimpleNamespace(note_peer_answer=lambda: None)
    owner = PoolOwner(host, PoolRow("pool", "h1", 3, "a:1", 9))
    try:
        sender = BeatSender(host, owner, Peer(handler))
        assert sender._beat()
        assert sender._beat()
        assert job_states.waiting(QUEUE) == 393
    finally:
        owner.stop()
