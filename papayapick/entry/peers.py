"""Speak with the other entry hosts: beats of an owner, and advice."""

import threading

from papayapick.entry.events import HOST_REACHED, HOST_UNREACHED, OWNERSHIP_UNSAID
from papayapick.wire import PeerClient
from papayapick.wire.exceptions import WireError
from papayapick.wire.messages import (
    AdviceQuery,
    JobNews,
    OwnerQuery,
    PoolBeat,
    QueueLoad,
)

__all__ = ["HOSTS_PARTITION", "OwnerLine", "Peer", "Peers"]

HOSTS_PARTITION = "hosts"
_CONNECT_SECONDS = 0.4
_ANSWER_SECONDS = 0.6
# Others notice a silent owner by three missed beats.
BEAT_SECONDS = 0.2
_RETRY_SECONDS = 0.3
_QUERY_SECONDS = 0.2
_QUERY_TRIES = 2
# News of many jobs go into one message.
_GATHER_SECONDS = 0.015
_NEWS_PER_BEAT = 500
# A host that answered so lately is asked for advice.
_LIVE_SECONDS = 0.8


class Peer:
    """Hold one other entry host.

    Parameters
    ----------
    name, zone, region : str
    address : tuple of (str, int)
    client : PeerClient
    processors : float
        Cores that the host has.
    """

    __slots__ = (
        "address",
        "advice_failed_at",
        "advice_seconds",
        "answered_at",
        "client",
        "failed_at",
        "name",
        "processors",
        "region",
        "store_age",
        "zone",
    )

    def __init__(self, name, address, zone, region, client, processors=1.0):
        self.name = name
        self.processors = processors
        self.address = address
        self.zone = zone
        self.region = region
        self.client = client
        self.answered_at = 0.0
        self.failed_at = float("-inf")
        # When it last could not be reached for advice.
        self.advice_failed_at = float("-inf")
        # Seconds since the store last answered it, as it said.
        self.store_age = float("inf")
        # What the calls of the advice service that it was given still take.
        self.advice_seconds = 0.0


class Peers:
    """Hold the other hosts by name, from their rows in the store.

    Parameters
    ----------
    host : EntryHost
    cell_key : CellKeys
    identity : Hello
    executor : concurrent.futures.Executor
    """

    __slots__ = ("_cell_key", "_executor", "_host", "_identity", "_lock", "_peers")

    def __init__(self, host, cell_key, identity, executor):
        self._host = host
        self._cell_key = cell_key
        self._identity = identity
        self._executor = executor
        self._peers = {}
        self._lock = threading.Lock()

    def all(self):
        """Return the other hosts, as a list."""
        with self._lock:
            return list(self._peers.values())

    def live(self):
        """Return those that have answered lately."""
        now = self._host.clock.monotonic()
        return [peer for peer in self.all() if now - peer.answered_at < _LIVE_SECONDS]

    def note_row(self, row):
        """Take in the row of a host.

        Parameters
        ----------
        row : StoredRow
        """
        if row.key == self._identity.host:
            return
        with self._lock:
            known = self._peers.pop(row.key, None)
            if row.value is not None:
                address = (row.value["address"], row.value["port"])
                if known is not None and known.address == address:
                    self._peers[row.key] = known
                    return
                self._peers[row.key] = self._peer(row, address)
        if known is not None:
            known.client.close()

    def _peer(self, row, address):
        client = PeerClient(
            address, self._cell_key, self._identity, self._executor, _CONNECT_SECONDS
        )
        return Peer(
            row.key,
            address,
            row.value["zone"],
            row.value["region"],
            client,
            row.value.get("processors", 1.0),
        )

    def owned_epoch(self, peer, pool):
        """Return the epoch under which a host owns a pool now; 0 for none."""
        for _ in range(_QUERY_TRIES):
            try:
                return peer.client.ask(OwnerQuery(pool=pool), _QUERY_SECONDS).epoch
            except WireError as error:
                # A kept connection may be of an earlier life of that host.
                OWNERSHIP_UNSAID.write(peer=peer.name, pool=pool, error=str(error))
        return 0

    def ask_advice(self, peer, key, workers, expected_seconds):
        """Return a future of the reply of one host."""
        query = AdviceQuery(
            step=str(key),
            workers=workers,
            expected_milliseconds=int(expected_seconds * 1000),
        )
        return peer.client.call(query)


class OwnerLine:
    """Tell one host what an owner knows, as a task of its own.

    Parameters
    ----------
    host : EntryHost
    owner : PoolOwner
    peer : Peer
    """

    __slots__ = (
        "_host",
        "_missed_since",
        "_lock",
        "_news",
        "_owner",
        "_peer",
        "_wakeup",
    )

    def __init__(self, host, owner, peer):
        self._host = host
        self._owner = owner
        self._peer = peer
        self._news = owner.news.all_states()
        self._lock = threading.Lock()
        self._wakeup = threading.Event()
        self._missed_since = None

    @property
    def peer(self):
        """Return the host that is told."""
        return self._peer

    def put(self, news):
        """Tell statuses soon."""
        with self._lock:
            self._news.update(news)
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
        backlogs = self._owner.news.backlogs()
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
            gives_way=self._owner.standing.gives_way(),
            may_lack_records=may_lack_records,
        )
        asked_at = self._host.clock.monotonic()
        try:
            answer = self._peer.client.ask(beat, _ANSWER_SECONDS)
        except WireError as error:
            self._note_miss(error)
            if not isinstance(error, OSError):
                self._peer.client.close()
            with self._lock:
                self._news = {**told, **self._news}
            return False
        self._note_word()
        self._peer.answered_at = self._host.clock.monotonic()
        self._peer.store_age = answer.store_age_milliseconds / 1000
        self._owner.recording.note_told(self._peer.name, may_lack_records)
        self._owner.note_peer(self._peer, answer.epoch, asked_at)
        return True

    def _note_word(self):
        since, self._missed_since = self._missed_since, None
        if since is not None:
            silent = self._host.clock.monotonic() - since
            HOST_REACHED.write(
                peer=self._peer.name,
                pool=self._owner.pool,
                silent_seconds=round(silent, 3),
            )

    def _note_miss(self, error):
        if self._missed_since is None:
            self._missed_since = self._host.clock.monotonic()
            HOST_UNREACHED.write(
                peer=self._peer.name, pool=self._owner.pool, error=str(error)
            )
