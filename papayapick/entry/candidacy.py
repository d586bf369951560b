"""Notice that a pool has no working owner, and become it."""

import random
import socket
import threading

from papayapick.clients.exceptions import TableUnavailable
from papayapick.entry.events import (
    CANDIDATE_WAITS,
    OWNER_GONE,
    OWNER_SILENT,
    POOL_LOST_RACE,
    POOL_NOT_TAKEN,
    POOL_UNREAD,
)
from papayapick.ownership.pools import OwnershipLost, PoolRow, read_pool, take_pool
from papayapick.pool.owner import PoolOwner
from papayapick.pool.recording import RECORDS_TRUSTED_SECONDS
from papayapick.pool.sources import check_readable

__all__ = ["Candidacy"]

# Three missed beats: a host that lost power is replaced within a second.
_SILENCE_SECONDS = 0.65
_LOOK_SECONDS = 0.05
_PROBE_SECONDS = 0.2
# Hosts that notice at the same time try one after the other, those nearest to the
# store first; who comes late finds the pool taken.
_SPREAD_SECONDS = 0.06
# An owner in the other region is 45 ms from the store and from most workers, at each
# call; waiting 0.25 s for one that is near costs less. Hosts near the store answer
# within 20 ms also while all start at once, and do not wait for each other.
_DISTANCE_WEIGHT = 10
_NEAR_SECONDS = 0.02
# Nobody waits longer for hosts that may be nearer: a store that is slow looks far from
# everywhere, and jobs would wait without an owner. A host two regions away waits so
# long.
_LONGEST_DISTANCE_SECONDS = 0.4
_RETRY_SECONDS = 0.3
# One owner decides for the whole pool and keeps in touch with all of its workers: a
# host with a small core or link leaves renewals and starts unanswered. The largest host
# waits for nobody; one of no size at all would wait so long, five times the spread.
_SMALLNESS_SECONDS = 0.3


class Candidacy:
    """Watch the owner of one pool.

    Parameters
    ----------
    host : EntryHost
    pool : str
    """

    __slots__ = (
        "_claimed_epoch",
        "_heard_at",
        "_heard_epoch",
        "_host",
        "_is_suspected",
        "_lock",
        "_may_lack_records",
        "_told_at",
        "_watched_version",
        "_wakeup",
        "owner",
        "pool",
        "row",
    )

    def __init__(self, host, pool):
        self._host = host
        self.pool = pool
        self.row = PoolRow(pool)
        self.owner = None
        self._claimed_epoch = 0
        self._heard_at = host.clock.monotonic()
        self._heard_epoch = 0
        self._is_suspected = True
        self._may_lack_records = True
        self._told_at = 0.0
        # Version of the row whose owner is expected to beat; another row is looked
        # into before its owner counts as silent.
        self._watched_version = None
        self._lock = threading.Lock()
        self._wakeup = threading.Event()

    @property
    def owned_epoch(self):
        """Return the epoch under which this process owns the pool; 0 for none.

        Also while the answer to its claim is on the way: a host that has read the
        new row already would else hear "no" and take the pool in turn.
        """
        return self.owner.row.epoch if self.is_owner else self._claimed_epoch

    @property
    def known_epoch(self):
        """Return the newest epoch that this host has read or heard of."""
        return max(self.row.epoch, self._heard_epoch)

    @property
    def has_read_row(self):
        """Return whether the store has told this process of the pool."""
        return self.row.version > 0

    @property
    def is_owner(self):
        """Return whether this process owns the pool."""
        return self.owner is not None and not self.owner.is_stopped

    def note_row(self, row):
        """Take in the row of the pool as the store has it.

        Parameters
        ----------
        row : PoolRow
        """
        with self._lock:
            if row.version < self.row.version:
                return
            # The first row that a process reads may be of an owner that is gone.
            is_new = row.version > self.row.version > 0
            self.row = row
            if is_new and row.owner:
                self._watched_version = row.version
                self._heard_at = self._host.clock.monotonic()
                self._is_suspected = False
        owner = self.owner
        if self.is_owner and row.version > owner.row.version:
            owner.note_lost()
        if not row.owner:
            self._wakeup.set()

    def note_beat(self, beat):
        """Take in the word of an owner; return whether it is the newest known."""
        with self._lock:
            self._heard_epoch = max(self._heard_epoch, beat.epoch)
            if beat.epoch < self.known_epoch:
                return False
            self._heard_at = self._host.clock.monotonic()
            self._watched_version = self.row.version
            self._may_lack_records = bool(beat.may_lack_records)
            self._told_at = self._heard_at
            # A host that is cut off from the store still holds the row of an owner
            # before; the beat of a newer epoch is of the one that counts. Else it would
            # try to take the pool every 0.3 s until the store is back.
            if beat.epoch > self.row.epoch or beat.host == self.row.owner:
                self._is_suspected = bool(beat.gives_way)
        if beat.gives_way and not self._host.store_health.is_lost():
            self._wakeup.set()
        return True

    def note_end(self, peer):
        """Check on the owner when its connection has ended."""
        if peer.host != self.row.owner or not self.row.address:
            return
        if _is_listening(self.row.address):
            return
        OWNER_GONE.write(pool=self.pool, owner=self.row.owner)
        self._is_suspected = True
        self._wakeup.set()

    def run(self):
        """Watch until the process stops."""
        host = self._host
        while not host.stopping.is_set():
            host.clock.wait(self._wakeup, _LOOK_SECONDS)
            self._wakeup.clear()
            suspected = self.row
            if self.is_owner or host.is_draining or not self._is_needed():
                continue
            self._await_turn()
            if self._is_needed() and not host.is_draining:
                self._note_suspicion()
                self._try(suspected)

    def _await_turn(self):
        """Let hosts that are nearer to the store, or larger, try first."""
        delay = self._delay()
        store_seconds = self._host.store_seconds
        CANDIDATE_WAITS.write(
            pool=self.pool,
            epoch=self.row.epoch,
            owner=self.row.owner,
            delay_seconds=round(delay, 3),
            store_seconds=None if store_seconds is None else round(store_seconds, 4),
            smallness=round(self._smallness(), 2),
        )
        self._host.clock.wait(self._host.stopping, delay)

    def _is_needed(self):
        if not self._host.knows_cell:
            # A host that has just started and can't ask the owner yet, as it does not
            # know its address, would take the pool from an owner that works.
            return False
        silence = self._host.clock.monotonic() - self._heard_at
        return not self.row.owner or self._is_suspected or silence > _SILENCE_SECONDS

    def _note_suspicion(self):
        silent = self._host.clock.monotonic() - self._heard_at
        OWNER_SILENT.write(
            pool=self.pool,
            epoch=self.row.epoch,
            owner=self.row.owner,
            silent_seconds=round(silent, 3),
            is_reported=self._is_suspected,
        )

    def _delay(self):
        return (
            self._remoteness_seconds()
            + _SMALLNESS_SECONDS * self._smallness()
            + random.uniform(0, _SPREAD_SECONDS)
        )

    def _remoteness_seconds(self):
        """Return how long hosts that are nearer to the store go first."""
        seconds = self._host.store_seconds
        if seconds is None:
            return _LONGEST_DISTANCE_SECONDS
        distance = max(0.0, seconds - _NEAR_SECONDS)
        return min(_DISTANCE_WEIGHT * distance, _LONGEST_DISTANCE_SECONDS)

    def _smallness(self):
        """Return what this host lacks of the largest one, as a share of it."""
        own = self._host.settings.processors
        others = [peer.processors for peer in self._host.peers.all()]
        return 1 - own / max([own, *others])

    def _try(self, suspected):
        """Take the pool if its owner is still the one that was suspected."""
        host = self._host
        try:
            row = read_pool(host.store, self.pool)
            self.note_row(row)
            # Another host may have taken the pool since, and its row may have come
            # here by the feed while this call was under way.
            is_other = row.version != suspected.version
            is_unwatched = row.version != self._watched_version
            if (is_other or is_unwatched) and self._is_served(row):
                self._expect_beats()
                return
            check_readable(host, self.pool)
            if not self._is_needed():
                # The owner's beat came meanwhile: it is at work after all.
                return
            name = host.settings.host_name
            address = "{}:{}".format(*host.settings.peer_address)
            self._claimed_epoch = row.epoch + 1
            taken = take_pool(host.store, row, name, address)
        except OwnershipLost:
            self._claimed_epoch = 0
            POOL_LOST_RACE.write(pool=self.pool, epoch=self.row.epoch)
            self._heard_at = host.clock.monotonic()
            return
        except TableUnavailable as error:
            self._claimed_epoch = 0
            POOL_NOT_TAKEN.write(pool=self.pool, epoch=self.row.epoch, error=str(error))
            host.clock.wait(host.stopping, _RETRY_SECONDS)
            return
        self._own(taken)

    def _expect_beats(self):
        with self._lock:
            self._watched_version = self.row.version
            self._heard_at = self._host.clock.monotonic()
            self._is_suspected = False

    def _is_served(self, row):
        """Return whether the owner that a row names is at work.

        After a power loss of all hosts the row names a process that is gone, or
        one that has started again and owns nothing; to wait for its beats would
        add 0.65 s to each recovery.
        """
        if not row.owner or row.owner == self._host.settings.host_name:
            return False
        return self._host.is_owned_by(row)

    def _trusts_records(self):
        """Return whether each start before now was recorded before its order."""
        age = self._host.clock.monotonic() - self._told_at
        return not self._may_lack_records and age < RECORDS_TRUSTED_SECONDS

    def _own(self, row):
        owner = PoolOwner(self._host, row, self._trusts_records())
        self.note_row(row)
        # Before it has read the state: a host that asks who owns must not hear "no".
        self.owner = owner
        self._claimed_epoch = 0
        # Beats begin before the state is read, which takes a second while the store
        # is slow: other hosts would take the pool in turn meanwhile.
        self._host.note_owner(owner)
        try:
            owner.start()
        except TableUnavailable as error:
            POOL_UNREAD.write(pool=self.pool, epoch=row.epoch, error=str(error))
            owner.release()
            return
        self._host.tell(owner)


def _is_listening(address):
    host, _, port = address.rpartition(":")
    try:
        socket.create_connection((host, int(port)), _PROBE_SECONDS).close()
    except OSError:
        return False
    return True
