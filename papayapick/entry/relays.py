"""Reach the store through another host while this one can't."""

import json
import random
from concurrent.futures import Future

from papayapick.clients.exceptions import (
    ConditionFailed,
    StoreRefused,
    TableUnavailable,
)
from papayapick.clients.rows import Expectation, RowWrite, StoredRow
from papayapick.entry.events import RELAY_UNANSWERED
from papayapick.wire.exceptions import PeerUnreachable, WireError
from papayapick.wire.messages import StoreCall, StoreResult

__all__ = ["RelayedStore", "StoreRelay"]

_CALL_SECONDS = 0.9
# Callers behind this one wait too; a store 60 times slower answers within it.
_WRITE_SECONDS = 0.5
_PEERS_TRIED = 2
# When no other host reaches the store either, it is down for all: they are not
# asked again for so long.
_PAUSE_SECONDS = 0.5
_SILENT_SECONDS = 0.4
# A host that did not answer is not asked again for so long: the rows of hosts that
# were removed stay for a while.
_AVOID_SECONDS = 5.0
_DONE = "done"
_CONFLICT = "conflict"
_REFUSED = "refused"
_UNKNOWN = "unknown"


class RelayedStore:
    """Call the store, or have another host call it.

    Some hosts are cut off from the store, or turned away by it, while the others
    are served; without this their callers' jobs would be refused, and those whose
    write had no answer could not be settled.

    Parameters
    ----------
    host : EntryHost
    """

    __slots__ = ("_host", "_paused_partitions", "_paused_until", "_preferred")

    def __init__(self, host):
        self._host = host
        self._preferred = None
        self._paused_until = 0.0
        # Monotonic seconds until which a partition is not called directly.
        self._paused_partitions = {}

    def transact(self, expectations, writes):
        """Apply all writes if all expectations hold; see ``Store.transact``."""
        call = StoreCall(
            expectations=json.dumps(
                [[e.table, e.partition, e.key, e.version] for e in expectations]
            ).encode(),
            writes=json.dumps(
                [[w.table, w.partition, w.key, w.value] for w in writes]
            ).encode(),
        )
        store = self._host.store
        return self._call(
            lambda: store.transact(expectations, writes, seconds=_WRITE_SECONDS),
            call,
            writes[0].partition,
        )

    def note_return(self):
        """Try the store, and other hosts, at once again: it has come back."""
        self._paused_partitions = {}
        self._paused_until = 0.0

    def read(self, table, partition, first, end, limit):
        """Return the rows of a range, as a list of StoredRow."""
        call = StoreCall(
            range=json.dumps([table, partition, first, end, limit]).encode()
        )

        def read():
            return self._host.store.read(table, partition, first, end, limit).rows

        return self._call(read, call, partition)

    def _call(self, directly, call, partition):
        failure = StoreRefused()
        if self._is_tried(partition):
            asked_at = self._host.clock.monotonic()
            try:
                found = directly()
            except TableUnavailable as error:
                self._note_failure(partition, asked_at)
                failure = error
            else:
                self._host.store_health.note_answer()
                return found
        for peer in self._candidates():
            try:
                return self._relayed(peer, call)
            except ConditionFailed:
                raise
            except TableUnavailable as error:
                if not isinstance(error, StoreRefused):
                    failure = error
        self._paused_until = self._host.clock.monotonic() + _PAUSE_SECONDS
        raise failure

    def _is_tried(self, partition):
        now = self._host.clock.monotonic()
        is_paused = now < self._paused_partitions.get(partition, 0.0)
        return not (is_paused or self._host.store_health.is_lost())

    def _note_failure(self, partition, asked_at):
        """Keep callers behind this one from being sent the same way.

        A store that refuses at once may have lost one partition only; one that is
        silent costs each caller the whole wait.
        """
        now = self._host.clock.monotonic()
        if now - asked_at > _SILENT_SECONDS:
            self._host.store_health.note_failure()
        self._paused_partitions[partition] = now + _PAUSE_SECONDS

    def _candidates(self):
        if self._host.clock.monotonic() < self._paused_until:
            return []
        now = self._host.clock.monotonic()
        peers = [
            peer
            for peer in self._host.peers.all()
            if now - peer.failed_at > _AVOID_SECONDS
        ]
        random.shuffle(peers)
        peers.sort(key=lambda peer: peer is not self._preferred)
        return peers[:_PEERS_TRIED]

    def _relayed(self, peer, call):
        try:
            result = peer.client.ask(call, _CALL_SECONDS)
        except WireError as error:
            self._preferred = None
            peer.failed_at = self._host.clock.monotonic()
            if isinstance(error, PeerUnreachable):
                # Nothing was sent. Taken for a lost answer, it would hold the
                # caller back for the seconds in which such an answer is settled.
                raise StoreRefused() from error
            raise TableUnavailable() from error
        if result.outcome == _DONE:
            self._preferred = peer
            found = json.loads(result.body)
            return [_row(one) for one in found] if call.range else found
        if result.outcome == _CONFLICT:
            raise ConditionFailed([_row(one) for one in json.loads(result.body)])
        self._preferred = None
        raise StoreRefused() if result.outcome == _REFUSED else TableUnavailable()


class StoreRelay:
    """Call the store for other hosts.

    Parameters
    ----------
    host : EntryHost
    """

    __slots__ = ("_host",)

    def __init__(self, host):
        self._host = host

    def answer(self, call):
        """Return a future of the ``StoreResult`` of a call.

        Parameters
        ----------
        call : StoreCall
        """
        if self._host.store_health.is_lost():
            done = Future()
            done.set_result(StoreResult(outcome=_REFUSED))
            return done
        return self._host.executor.submit(self._answer, call)

    def _answer(self, call):
        try:
            return StoreResult(outcome=_DONE, body=self._run(call))
        except ConditionFailed as error:
            return StoreResult(outcome=_CONFLICT, body=_rows(error.rows))
        except StoreRefused:
            return StoreResult(outcome=_REFUSED)
        except TableUnavailable as error:
            RELAY_UNANSWERED.write(partition=_partition(call), error=str(error))
            return StoreResult(outcome=_UNKNOWN)

    def _run(self, call):
        store = self._host.store
        if call.range:
            return _rows(store.read(*json.loads(call.range)).rows)
        expectations = [Expectation(*one) for one in json.loads(call.expectations)]
        writes = [RowWrite(*one) for one in json.loads(call.writes)]
        return json.dumps(store.transact(expectations, writes)).encode()


def _partition(call):
    if call.range:
        return json.loads(call.range)[1]
    return json.loads(call.writes)[0][1]


def _rows(rows):
    return json.dumps(
        [[row.table, row.partition, row.key, row.value, row.version] for row in rows]
    ).encode()


def _row(found):
    return StoredRow(*found)
