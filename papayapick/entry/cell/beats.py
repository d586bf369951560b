"""Send the heartbeats and changed job states of owned pools to the other hosts."""

import threading

from papayapick.entry.cell.beat_senders import BeatSender, beat_seconds, read_backlogs
from papayapick.entry.cell.fan_out import first_delays
from papayapick.entry.cell.state_relays import ZoneSender, relayed_zones

__all__ = ["BeatBroadcaster"]


class BeatBroadcaster:
    """Run the senders for each pair of a pool that this host owns and another host.

    In zones with many hosts, states are passed on by a relay, and a sender for each
    pair of a pool and such a zone sends them there.

    Parameters
    ----------
    host : EntryHost
    candidacies : dict of str to Candidacy
        By pool; grows as pools are configured.
    """

    __slots__ = ("_candidacies", "_host", "_lock", "_senders", "_zone_senders")

    def __init__(self, host, candidacies):
        self._host = host
        self._candidacies = candidacies
        self._senders = {}
        self._zone_senders = {}
        self._lock = threading.Lock()

    def announce(self, owner):
        """Start to send heartbeats and all job states of a pool just taken over."""
        states = owner.status_feed.all_states()
        self._host.job_states.note_statuses(states, owner.status_feed.teams(states))
        self.start_missing_senders()

    def start_missing_senders(self):
        """Start the senders to newly registered hosts and for newly owned pools."""
        with self._lock:
            peers = self._host.peers.all()
            zones = relayed_zones(peers)
            self._drop_ended(set(peers), zones)
            for candidacy in list(self._candidacies.values()):
                if not candidacy.is_owner:
                    continue
                self._start_senders(candidacy.owner, peers)
                for zone in zones:
                    self._start_zone_sender(candidacy.owner, zone)

    def _drop_ended(self, peers, zones):
        """Drop the senders whose task has ended or ends at its next iteration."""
        self._senders = {
            (owner, peer): sender
            for (owner, peer), sender in self._senders.items()
            if peer in peers and not owner.is_stopped
        }
        for (owner, zone), sender in list(self._zone_senders.items()):
            if owner.is_stopped or zone not in zones:
                sender.stop()
                del self._zone_senders[owner, zone]

    def _start_senders(self, owner, peers):
        # Keyed by object, not by name: a host that registered again is a new peer at
        # the same address, and the sender to the previous one has ended.
        missing = [peer for peer in peers if (owner, peer) not in self._senders]
        interval = beat_seconds(len(peers))
        delays = first_delays(self._host.settings, missing, interval)
        for peer, delay in delays.items():
            sender = BeatSender(self._host, owner, peer, delay)
            self._senders[owner, peer] = sender
            self._host.executor.submit(sender.run)

    def _start_zone_sender(self, owner, zone):
        if (owner, zone) in self._zone_senders:
            return
        sender = ZoneSender(
            self._host, owner, zone, lambda: self._direct_senders(owner, zone)
        )
        self._zone_senders[owner, zone] = sender
        self._host.executor.submit(sender.run)

    def _direct_senders(self, owner, zone):
        """Return the senders of an owner to the hosts of a zone, as a list."""
        with self._lock:
            return [
                sender
                for (one, peer), sender in self._senders.items()
                if one is owner and peer.zone == zone
            ]

    def send_all_now(self):
        """Make all senders send a heartbeat at once, before their next interval."""
        with self._lock:
            senders = list(self._senders.values())
        for sender in senders:
            sender.wake()

    def broadcast(self, owner):
        """Cache an owner's changed job states and send them to the other hosts."""
        self._note_backlogs(owner)
        states = owner.status_feed.take_changes()
        if not states:
            return
        self._host.job_states.note_statuses(states, owner.status_feed.teams(states))
        with self._lock:
            relays = {
                zone: sender
                for (one, zone), sender in self._zone_senders.items()
                if one is owner
            }
            senders = [
                sender for (one, _), sender in self._senders.items() if one is owner
            ]
        for sender in senders:
            sender.enqueue(states, is_relayed=sender.peer.zone in relays)
        for relay in relays.values():
            relay.enqueue(states)

    def _note_backlogs(self, owner):
        # Runs without changed states too: otherwise the count of a pool without
        # changes would become too old to be returned to callers.
        if not owner.has_read_state:
            return
        backlogs, known_at = read_backlogs(owner)
        self._host.job_states.note_backlogs(
            owner.pool, owner.row.epoch, backlogs, known_at
        )
        self._host.job_states.note_forecast(
            owner.pool, owner.row.epoch, owner.status_feed.forecast
        )
