"""Call the store through another host while this one cannot reach it."""

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

_RELAY_TIMEOUT_SECONDS = 0.9
# Later callers wait for this call too. A store 60 times slower than usual answers
# within this time.
_WRITE_TIMEOUT_SECONDS = 0.5
_MAX_PEERS_TRIED = 2
# If no other host reaches the store either, it is down for all hosts: none of them is
# asked again for this time.
_PAUSE_SECONDS = 0.5
_TIMED_OUT_SECONDS = 0.4
# A host that did not answer is not asked again for this time: the rows of removed
# hosts remain for a while.
_PEER_PAUSE_SECONDS = 5.0
_DONE = "done"
_CONFLICT = "conflict"
_REFUSED = "refused"
_UNKNOWN = "unknown"


class RelayedStore:
    """Call the store directly, or through another host if that fails.

    Some hosts can be cut off from the store, or refused by it, while the others are
    served. Without the relay, jobs of their callers would be refused, and writes
    without an answer could not be settled.

    Parameters
    ----------
    host : EntryHost
    """

    __slots__ = ("_host", "_paused_partitions", "_paused_until", "_last_working")

    def __init__(self, host):
        self._host = host
        self._last_working = None
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
            lambda: store.transact(
                expectations, writes, seconds=_WRITE_TIMEOUT_SECONDS
            ),
            call,
            writes[0].partition,
        )

    def note_return(self):
        """Resume direct and relayed calls, since the store is available again."""
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

    def _call(self, call_directly, call, partition):
        failure = StoreRefused()
        if self._may_call_directly(partition):
            asked_at = self._host.clock.monotonic()
            try:
                result = call_directly()
            except TableUnavailable as error:
                self._note_direct_failure(partition, asked_at)
                failure = error
            else:
                self._host.store_health.note_answer()
                return result
        for peer in self._relay_peers():
            try:
                return self._call_via(peer, call)
            except ConditionFailed:
                raise
            except TableUnavailable as error:
                if not isinstance(error, StoreRefused):
                    failure = error
        self._paused_until = self._host.clock.monotonic() + _PAUSE_SECONDS
        raise failure

    def _may_call_directly(self, partition):
        now = self._host.clock.monotonic()
        is_paused = now < self._paused_partitions.get(partition, 0.0)
        return not (is_paused or self._host.store_health.is_lost())

    def _note_direct_failure(self, partition, asked_at):
        """Pause direct calls to a partition, so that later callers skip them.

        A store that refuses at once may have lost one partition only. One that does
        not answer is marked as lost, since each caller would wait for the whole time
        limit.
        """
        now = self._host.clock.monotonic()
        if now - asked_at > _TIMED_OUT_SECONDS:
            self._host.store_health.note_failure()
        self._paused_partitions[partition] = now + _PAUSE_SECONDS

    def _relay_peers(self):
        if self._host.clock.monotonic() < self._paused_until:
            return []
        now = self._host.clock.monotonic()
        peers = [
            peer
            for peer in self._host.peers.all()
            if now - peer.relay_failed_at > _PEER_PAUSE_SECONDS
        ]
        random.shuffle(peers)
        peers.sort(key=lambda peer: peer is not self._last_working)
        return peers[:_MAX_PEERS_TRIED]

    def _call_via(self, peer, call):
        try:
            result = peer.client.ask(call, _RELAY_TIMEOUT_SECONDS)
        except WireError as error:
            self._last_working = None
            peer.relay_failed_at = self._host.clock.monotonic()
            if isinstance(error, PeerUnreachable):
                # Nothing was sent. If this counted as a lost answer, the caller would
                # wait for the seconds that settling one takes.
                raise StoreRefused() from error
            raise TableUnavailable() from error
        if result.outcome == _DONE:
            self._last_working = peer
            decoded = json.loads(result.body)
            return [_decode_row(one) for one in decoded] if call.range else decoded
        if result.outcome == _CONFLICT:
            raise ConditionFailed([_decode_row(one) for one in json.loads(result.body)])
        self._last_working = None
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
            return StoreResult(outcome=_DONE, body=self._apply(call))
        except ConditionFailed as error:
            return StoreResult(outcome=_CONFLICT, body=_encode_rows(error.rows))
        except StoreRefused:
            return StoreResult(outcome=_REFUSED)
        except TableUnavailable as error:
            RELAY_UNANSWERED.write(partition=_partition_of(call), error=str(error))
            return StoreResult(outcome=_UNKNOWN)

    def _apply(self, call):
        store = self._host.store
        if call.range:
            return _encode_rows(store.read(*json.loads(call.range)).rows)
        expectations = [Expectation(*one) for one in json.loads(call.expectations)]
        writes = [RowWrite(*one) for one in json.loads(call.writes)]
        return json.dumps(store.transact(expectations, writes)).encode()


def _partition_of(call):
    if call.range:
        return json.loads(call.range)[1]
    return json.loads(call.writes)[0][1]


def _encode_rows(rows):
    return json.dumps(
        [[row.table, row.partition, row.key, row.value, row.version] for row in rows]
    ).encode()


def _decode_row(fields):
    return StoredRow(*fields)
