"""Pass changed job states on to the hosts of a zone by way of one of them.

Guards against an owner whose calls grow with the number of hosts times the number of
changes: with a hundred hosts it would spend a third of a core to tell each of them of
each change. It tells one host a zone, which tells the others. Heartbeats are still sent
to each host directly, so a relay that fails hides no owner's failure, and they carry
the states that no relay has delivered.
"""

import collections
import contextlib
import threading
from concurrent.futures import wait

from papayapick.entry.cell.fan_out import is_large
from papayapick.entry.events import STATES_UNRELAYED
from papayapick.wire.exceptions import PeerUnreachable, WireError
from papayapick.wire.messages import JobNews, StateBatch, StateBatchAnswer

__all__ = [
    "STATES_PER_MESSAGE",
    "StateForwarder",
    "ZoneSender",
    "job_news",
    "relayed_zones",
]

STATES_PER_MESSAGE = 500
# A zone with fewer hosts is told directly: a relay would save too few calls.
_MIN_RELAYED_HOSTS = 5
_CHECK_SECONDS = 0.2
# Changes within this time are sent in one message.
_BATCH_SECONDS = 0.015
# Time for a relay to answer: across the link between regions and back, and to the other
# hosts of its zone. A relay that has ended delays the states by this time.
_RELAY_TIMEOUT_SECONDS = 0.4
_FORWARD_TIMEOUT_SECONDS = 0.2
# A host that failed as a relay is not chosen for this time.
_RELAY_PAUSE_SECONDS = 2.0


def relayed_zones(peers):
    """Return the names of the zones with so many hosts that a relay is worth it.

    Parameters
    ----------
    peers : list of Peer

    Returns
    -------
    set of str
    """
    counts = collections.Counter(peer.zone for peer in peers)
    return {zone for zone, count in counts.items() if count >= _MIN_RELAYED_HOSTS}


def job_news(owner, states):
    """Return the states of an owner's jobs as a list of JobNews, with their teams.

    Jobs that were removed meanwhile are left out: without their team, another host
    would show them to callers of any team.

    Parameters
    ----------
    owner : PoolOwner
    states : dict of str to str
        Status by job id.
    """
    # Without states, the owner's lock must not delay a heartbeat.
    teams = owner.status_feed.teams(states) if states else {}
    return [
        JobNews(identifier=key, status=states[key], team=team)
        for key, team in teams.items()
    ]


class ZoneSender:
    """Send the changed job states of a pool to one zone, as a task of its own.

    Parameters
    ----------
    host : EntryHost
    owner : PoolOwner
    zone : str
    direct_senders : callable
        Returns the list of BeatSender to the hosts of the zone.
    """

    __slots__ = (
        "_direct_senders",
        "_host",
        "_is_stopped",
        "_lock",
        "_owner",
        "_pending_states",
        "_wakeup",
        "_zone",
    )

    def __init__(self, host, owner, zone, direct_senders):
        self._host = host
        self._owner = owner
        self._zone = zone
        self._direct_senders = direct_senders
        self._lock = threading.Lock()
        self._wakeup = threading.Event()
        self._is_stopped = False
        self._pending_states = owner.status_feed.all_states()

    def enqueue(self, states):
        """Send changed job states at once."""
        with self._lock:
            self._pending_states.update(states)
        self._wakeup.set()

    def stop(self):
        """End the task at its next iteration."""
        self._is_stopped = True
        self._wakeup.set()

    def run(self):
        """Send states until the owner stops or the zone has too few hosts."""
        for sender in self._direct_senders():
            sender.expect_relay()
        while not (self._is_stopped or self._owner.is_stopped):
            if self._host.clock.wait(self._wakeup, _CHECK_SECONDS):
                self._owner.pause(_BATCH_SECONDS)
            self._wakeup.clear()
            self.send()

    def send(self):
        """Send the pending states to a relay, or leave them to the heartbeats."""
        relay, others = self._choose_relay()
        if relay is None:
            # Just after a takeover no host has answered a heartbeat yet.
            return
        states = self._take_states()
        if not states:
            return
        batch = StateBatch(
            pool=self._owner.pool,
            epoch=self._owner.row.epoch,
            news=job_news(self._owner, states),
            hosts=[peer.name for peer in others],
        )
        try:
            answer = relay.client.ask(batch, _RELAY_TIMEOUT_SECONDS)
        except WireError as error:
            self._note_failure(relay, error)
            return
        missed = set(answer.missed)
        reached = {relay.name, *(peer.name for peer in others)} - missed
        for sender in self._direct_senders():
            if sender.peer.name in reached:
                sender.note_relayed(states)
            elif sender.peer.name in missed:
                sender.note_relay_failed()

    def _take_states(self):
        with self._lock:
            states = dict(list(self._pending_states.items())[:STATES_PER_MESSAGE])
            for identifier in states:
                del self._pending_states[identifier]
            if self._pending_states:
                self._wakeup.set()
            return states

    def _choose_relay(self):
        """Return the largest live host of the zone, and the others to pass states to.

        These are the live ones. Among hundreds of hosts a new owner has not asked all
        of them yet when it knows the states, and would send them to each by itself.
        """
        live = [peer for peer in self._host.peers.live() if peer.zone == self._zone]
        now = self._host.clock.monotonic()
        able = [
            peer
            for peer in live
            if now - peer.state_relay_failed_at > _RELAY_PAUSE_SECONDS
        ]
        relay = max(able, key=lambda peer: (peer.processors, peer.name), default=None)
        others = dict.fromkeys(live)
        if is_large(self._host.peers.count):
            senders = self._direct_senders()
            others.update((one.peer, None) for one in senders if one.is_untried)
        return relay, [peer for peer in others if peer is not relay]

    def _note_failure(self, relay, error):
        """Have each host of the zone told directly, and choose another relay."""
        relay.state_relay_failed_at = self._host.clock.monotonic()
        relay.client.close()
        STATES_UNRELAYED.write(peer=relay.name, zone=self._zone, error=str(error))
        for sender in self._direct_senders():
            sender.note_relay_failed()


class StateForwarder:
    """Pass a batch of job states on to other hosts.

    Parameters
    ----------
    host : EntryHost
    """

    __slots__ = ("_host",)

    def __init__(self, host):
        self._host = host

    def forward(self, batch):
        """Return a future of the StateBatchAnswer, once the named hosts were told.

        Parameters
        ----------
        batch : StateBatch
        """
        return self._host.executor.submit(self._forward, batch)

    def _forward(self, batch):
        message = StateBatch(pool=batch.pool, epoch=batch.epoch, news=batch.news)
        peers = {name: self._host.peers.get(name) for name in batch.hosts}
        calls = {
            name: self._call(peer, message)
            for name, peer in peers.items()
            if peer is not None
        }
        answered, _ = wait(calls.values(), _FORWARD_TIMEOUT_SECONDS)
        missed = [
            name
            for name in peers
            if calls.get(name) not in answered or calls[name].exception() is not None
        ]
        for name in missed:
            if name in calls:
                # Calls on a connection that has gone silent would pile up.
                peers[name].client.close()
        return StateBatchAnswer(missed=missed)

    def _call(self, peer, message):
        if peer.client.is_connected:
            with contextlib.suppress(PeerUnreachable):
                return peer.client.call(message)
        # As a task: connecting to a host that is cut off would delay the other calls.
        return self._host.executor.submit(
            peer.client.ask, message, _FORWARD_TIMEOUT_SECONDS
        )
