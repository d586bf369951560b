"""Tell the other entry hosts what an owner knows: beats, with what has changed."""

import threading

from papayapick.entry.events import HOST_REACHED, HOST_UNREACHED
from papayapick.wire.exceptions import PeerNotListening, WireError
from papayapick.wire.messages import JobNews, PoolBeat, QueueLoad

__all__ = ["OwnerLine", "OwnerLines"]

# Others notice a silent owner by three missed beats.
BEAT_SECONDS = 0.2
_RETRY_SECONDS = 0.3
# News of many jobs go into one message.
_GATHER_SECONDS = 0.015
_NEWS_PER_BEAT = 500
_ANSWER_SECONDS = 0.6
# Longer than any restart, and than most cuts between regions; one that lasts longer
# costs the hosts behind it a registration.
_FORGET_SECONDS = 600.0


class OwnerLines:
    """Keep a line from each pool that this host owns to each other host.

    Parameters
    ----------
    host : EntryHost
    candidacies : dict of str to Candidacy
        By pool; grows as pools are configured.
    """

    __slots__ = ("_candidacies", "_host", "_lines", "_lock")

    def __init__(self, host, candidacies):
        self._host = host
        self._candidacies = candidacies
        self._lines = {}
        self._lock = threading.Lock()

    def renew(self, owner):
        """Tell all that is known of a pool that this host has taken."""
        self._host.board.note(owner.status_feed.all_states())
        self.open()

    def open(self):
        """Open the lines that are missing: to hosts that came, of pools taken."""
        with self._lock:
            peers = self._host.peers.all()
            self._forget_ended(peers)
            for candidacy in list(self._candidacies.values()):
                if not candidacy.is_owner:
                    continue
                for peer in peers:
                    self._open_line(candidacy.owner, peer)

    def _forget_ended(self, peers):
        """Drop the lines whose task has ended, or ends with its next look."""
        self._lines = {
            (owner, peer): line
            for (owner, peer), line in self._lines.items()
            if peer in peers and not owner.is_stopped
        }

    def _open_line(self, owner, peer):
        # By the objects: a host that registered again is another peer at the same
        # address, and the line of the one before has ended.
        if (owner, peer) in self._lines:
            return
        line = OwnerLine(self._host, owner, peer)
        self._lines[owner, peer] = line
        self._host.executor.submit(line.run)

    def beat_now(self):
        """Let all lines beat at once, each without waiting for its turn."""
        with self._lock:
            lines = list(self._lines.values())
        for line in lines:
            line.wake()

    def tell(self, owner):
        """Tell all hosts what has changed in an owner's pool."""
        self._note_backlogs(owner)
        news = owner.status_feed.take()
        if not news:
            return
        self._host.board.note(news)
        with self._lock:
            lines = [line for (one, _), line in self._lines.items() if one is owner]
        for line in lines:
            line.put(news)

    def _note_backlogs(self, owner):
        # Also without news: on a quiet pool the count would else be too old to tell.
        if not owner.has_read_state:
            return
        backlogs, known_at = _counted(owner)
        self._host.board.note_backlogs(owner.pool, owner.row.epoch, backlogs, known_at)


class OwnerLine:
    """Tell one host what an owner knows, as a task of its own.

    Parameters
    ----------
    host : EntryHost
    owner : PoolOwner
    peer : Peer
    """

    __slots__ = (
        "_forgotten_at",
        "_host",
        "_missed_since",
        "_lock",
        "_news",
        "_owner",
        "_peer",
        "_peer_clock_lead",
        "_wakeup",
    )

    def __init__(self, host, owner, peer):
        self._host = host
        self._owner = owner
        self._peer = peer
        self._news = owner.status_feed.all_states()
        self._lock = threading.Lock()
        self._wakeup = threading.Event()
        self._missed_since = None
        self._forgotten_at = None
        # Seconds, at least, by which the clock of the host that is told is ahead of
        # this one's; None before its first answer.
        self._peer_clock_lead = None

    @property
    def peer(self):
        """Return the host that is told."""
        return self._peer

    def put(self, news):
        """Tell statuses soon."""
        with self._lock:
            self._news.update(news)
        self.wake()

    def wake(self):
        """Beat soon."""
        self._wakeup.set()

    def run(self):
        """Tell until the owner stops or the host is gone."""
        clock = self._host.clock
        while not self._owner.is_stopped and self._peer in self._host.peers.all():
            is_woken = clock.wait(self._wakeup, BEAT_SECONDS)
            if is_woken:
                self._owner.pause(_GATHER_SECONDS)
            self._wakeup.clear()
            if not self._beat():
                self._owner.pause(_RETRY_SECONDS)

    def _beat(self):
        with self._lock:
            told = dict(list(self._news.items())[:_NEWS_PER_BEAT])
            for identifier in told:
                del self._news[identifier]
            if self._news:
                self._wakeup.set()
        backlogs, known_at = _counted(self._owner)
        may_lack_records = self._owner.may_lack_records()
        beat = PoolBeat(
            pool=self._owner.pool,
            epoch=self._owner.row.epoch,
            host=self._host.settings.host_name,
            news=[JobNews(identifier=key, status=told[key]) for key in told],
            queue_loads=[
                QueueLoad(
                    queue=queue,
                    waiting=backlog.waiting,
                    retry_after_seconds=backlog.retry_after,
                )
                for queue, backlog in backlogs.items()
            ],
            gives_way=self._owner.ownership_status.gives_way(),
            may_lack_records=may_lack_records,
            has_read_state=self._owner.has_read_state,
            known_at_milliseconds=self._by_peer_clock(known_at),
        )
        asked_at = self._host.clock.monotonic()
        try:
            answer = self._peer.client.ask(beat, _ANSWER_SECONDS)
        except WireError as error:
            self._note_miss(error)
            if isinstance(error, PeerNotListening):
                self._owner.recording.note_host_exit(self._peer.name)
            if not isinstance(error, OSError):
                self._peer.client.close()
            with self._lock:
                self._news = {**told, **self._news}
            return False
        self._note_word()
        self._note_peer_clock(answer.clock_milliseconds)
        self._peer.answered_at = self._host.clock.monotonic()
        self._peer.store_age = answer.store_age_milliseconds / 1000
        self._host.advice.note_heard()
        self._owner.recording.note_heartbeat_answer(self._peer.name, may_lack_records)
        self._owner.note_peer_answer(self._peer, answer.epoch, asked_at)
        return True

    def _by_peer_clock(self, moment):
        """Return a time in milliseconds of the peer's clock, 0 where it isn't known.

        A message may be held up on its way for seconds; told as an age, what it holds
        would seem fresh when it arrives.
        """
        if moment is None or self._peer_clock_lead is None:
            return 0
        return max(0, int((moment + self._peer_clock_lead) * 1000))

    def _note_peer_clock(self, milliseconds):
        is_first = self._peer_clock_lead is None
        # It was read before the answer came here: what is told is never made newer.
        self._peer_clock_lead = milliseconds / 1000 - self._host.clock.monotonic()
        if is_first:
            # The beat that was answered told of no numbers.
            self.wake()

    def _note_word(self):
        since, self._missed_since = self._missed_since, None
        self._forgotten_at = None
        if since is not None:
            silent = self._host.clock.monotonic() - since
            HOST_REACHED.write(
                peer=self._peer.name,
                pool=self._owner.pool,
                silent_seconds=round(silent, 3),
            )

    def _note_miss(self, error):
        now = self._host.clock.monotonic()
        self._peer_clock_lead = None
        if self._missed_since is None:
            self._missed_since = self._forgotten_at = now
            HOST_UNREACHED.write(
                peer=self._peer.name, pool=self._owner.pool, error=str(error)
            )
        elif now - self._forgotten_at > _FORGET_SECONDS:
            self._forgotten_at = now
            self._host.peers.forget(self._peer)


def _counted(owner):
    """Return what waits in the queues of an owner, and as of when that is true."""
    with owner.lock:
        return owner.status_feed.backlogs(), owner.status_feed.known_at
