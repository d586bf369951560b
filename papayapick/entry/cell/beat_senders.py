"""Send the heartbeats of one owner to one host."""

import threading

from papayapick.entry.cell.forecast_messages import encode_forecast
from papayapick.entry.cell.state_relays import STATES_PER_MESSAGE, job_news
from papayapick.entry.events import HOST_REACHED, HOST_UNREACHED
from papayapick.wire.exceptions import PeerNotListening, WireError
from papayapick.wire.messages import PoolBeat, QueueLoad

__all__ = ["BeatSender", "beat_seconds", "read_backlogs"]

_MIN_BEAT_SECONDS = 0.2
# An owner sends no more heartbeats a second than to this many hosts at that interval:
# beyond, they would take the processor time in which it decides.
_MIN_BEAT_HOSTS = 133
_RETRY_SECONDS = 0.3
# Changes within this time are sent in one message.
_BATCH_SECONDS = 0.015
# A heartbeat to a host of a zone with a relay carries the states that have not been
# passed on to it for this long, longer where the interval of heartbeats is longer. A
# relay that has ended is noticed in that time.
_RELAY_SECONDS = 0.3
_ANSWER_TIMEOUT_SECONDS = 0.6
# Longer than any restart and than most network partitions between regions. After a
# longer partition the hosts behind it must register again.
_REMOVE_AFTER_SECONDS = 600.0


def beat_seconds(hosts):
    """Return the interval of an owner's heartbeats among a number of hosts.

    Examples
    --------
    >>> beat_seconds(40), round(beat_seconds(300), 3)
    (0.2, 0.451)
    """
    return _MIN_BEAT_SECONDS * max(1.0, hosts / _MIN_BEAT_HOSTS)


class BeatSender:
    """Send heartbeats for one pool to one host, as a task of its own.

    Parameters
    ----------
    host : EntryHost
    owner : PoolOwner
    peer : Peer
    first_delay : float, optional
        Seconds until the first heartbeat.
    """

    __slots__ = (
        "_first_delay",
        "_host",
        "_lock",
        "_owner",
        "_peer",
        "_peer_clock_lead",
        "_pending_states",
        "_relayed_until",
        "_removal_tried_at",
        "_unanswered_since",
        "_wakeup",
    )

    def __init__(self, host, owner, peer, first_delay=_MIN_BEAT_SECONDS):
        self._first_delay = first_delay
        self._host = host
        self._owner = owner
        self._peer = peer
        self._pending_states = owner.status_feed.all_states()
        # Monotonic seconds until which a relay is expected to deliver the states.
        self._relayed_until = float("-inf")
        self._lock = threading.Lock()
        self._wakeup = threading.Event()
        self._unanswered_since = None
        self._removal_tried_at = None
        # Lower bound, in seconds, of the difference between the peer's monotonic clock
        # and this host's; None before the first answer.
        self._peer_clock_lead = None

    @property
    def peer(self):
        """Return the host that receives the heartbeats."""
        return self._peer

    @property
    def is_untried(self):
        """Return whether no heartbeat has been answered or has failed yet."""
        return self._peer_clock_lead is None and self._unanswered_since is None

    def enqueue(self, states, is_relayed=False):
        """Add changed job states to the next heartbeat, and send it at once.

        Parameters
        ----------
        states : dict of str to str
            Status by job id.
        is_relayed : bool, optional
            Whether a relay passes them on as well. The heartbeat is then sent at its
            usual time, and carries them only if the relay has not delivered them.
        """
        with self._lock:
            if is_relayed and not self._pending_states:
                self._expect_relay()
            self._pending_states.update(states)
        if not is_relayed:
            self.wake()

    def expect_relay(self):
        """Leave the pending states to a relay for a moment."""
        with self._lock:
            self._expect_relay()

    def note_relayed(self, states):
        """Drop states that a relay has delivered, unless they have changed since."""
        with self._lock:
            for identifier, status in states.items():
                if self._pending_states.get(identifier) == status:
                    del self._pending_states[identifier]
            self._expect_relay()

    def note_relay_failed(self):
        """Send the pending states at once, as no relay delivers them."""
        self._relayed_until = float("-inf")
        self.wake()

    def _expect_relay(self):
        interval = beat_seconds(self._host.peers.count)
        self._relayed_until = (
            self._host.clock.monotonic() + _RELAY_SECONDS + interval - _MIN_BEAT_SECONDS
        )

    def wake(self):
        """Wake the task before the end of the heartbeat interval."""
        self._wakeup.set()

    def run(self):
        """Send heartbeats until the owner stops or the row of the host is removed."""
        clock, peers = self._host.clock, self._host.peers
        interval = self._first_delay
        while not self._owner.is_stopped and peers.get(self._peer.name) is self._peer:
            is_woken = clock.wait(self._wakeup, interval)
            if is_woken:
                self._owner.pause(_BATCH_SECONDS)
            self._wakeup.clear()
            if not self._beat():
                self._owner.pause(_RETRY_SECONDS)
            interval = beat_seconds(peers.count)

    def _beat(self):
        """Send one heartbeat; return whether the peer answered."""
        sent = self._take_states()
        backlogs, known_at = read_backlogs(self._owner)
        may_lack_records = self._owner.may_lack_records()
        beat = PoolBeat(
            pool=self._owner.pool,
            epoch=self._owner.row.epoch,
            host=self._host.settings.host_name,
            news=job_news(self._owner, sent),
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
            known_at_milliseconds=self._to_peer_clock(known_at),
            **encode_forecast(self._owner.status_feed.forecast, self._to_peer_clock),
        )
        sent_at = self._host.clock.monotonic()
        try:
            answer = self._peer.client.ask(beat, _ANSWER_TIMEOUT_SECONDS)
        except WireError as error:
            self._note_no_answer(error)
            if isinstance(error, PeerNotListening):
                self._owner.recording.note_host_exit(self._peer.name)
            if not isinstance(error, OSError):
                self._peer.client.close()
            with self._lock:
                self._pending_states = {**sent, **self._pending_states}
            return False
        self._note_answer()
        self._note_peer_clock(answer.clock_milliseconds)
        self._peer.answered_at = self._host.clock.monotonic()
        self._peer.store_age = answer.store_age_milliseconds / 1000
        self._host.advice.note_peer_answer()
        self._owner.recording.note_heartbeat_answer(self._peer.name, may_lack_records)
        self._owner.note_peer_answer(self._peer, answer.epoch, sent_at)
        return True

    def _take_states(self):
        """Remove and return the states to send with the next heartbeat."""
        with self._lock:
            if self._host.clock.monotonic() < self._relayed_until:
                return {}
            sent = dict(list(self._pending_states.items())[:STATES_PER_MESSAGE])
            for identifier in sent:
                del self._pending_states[identifier]
            if self._pending_states:
                self._wakeup.set()
            return sent

    def _to_peer_clock(self, moment):
        """Return a time in milliseconds of the peer's clock, or 0 if it is unknown.

        Messages can be delayed for seconds. If the heartbeat carried an age instead
        of a time, a delayed count would look fresh on arrival.
        """
        if moment is None or self._peer_clock_lead is None:
            return 0
        return max(0, int((moment + self._peer_clock_lead) * 1000))

    def _note_peer_clock(self, milliseconds):
        is_first = self._peer_clock_lead is None
        # The peer read its clock before its answer arrived here, so the difference is
        # underestimated and no count is reported as newer than it is.
        self._peer_clock_lead = milliseconds / 1000 - self._host.clock.monotonic()
        if is_first and self._owner.has_read_state:
            # The heartbeat just answered carried no time of its counts.
            self.wake()

    def _note_answer(self):
        since, self._unanswered_since = self._unanswered_since, None
        self._removal_tried_at = None
        if since is not None:
            silent = self._host.clock.monotonic() - since
            HOST_REACHED.write(
                peer=self._peer.name,
                pool=self._owner.pool,
                silent_seconds=round(silent, 3),
            )

    def _note_no_answer(self, error):
        now = self._host.clock.monotonic()
        self._peer_clock_lead = None
        if self._unanswered_since is None:
            self._unanswered_since = self._removal_tried_at = now
            HOST_UNREACHED.write(
                peer=self._peer.name, pool=self._owner.pool, error=str(error)
            )
        elif now - self._removal_tried_at > _REMOVE_AFTER_SECONDS:
            self._removal_tried_at = now
            self._host.peers.remove_row(self._peer)


def read_backlogs(owner):
    """Return the backlogs of an owner's queues and the time as of which they hold.

    A new owner holds its lock while it reads its state. If heartbeats waited for that,
    other hosts would take the pool from it.
    """
    if not owner.has_read_state:
        return {}, None
    with owner.lock:
        return owner.status_feed.backlogs(), owner.status_feed.known_at
