"""Hand shards over to their next owner and forward messages in the meantime."""

import threading
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeout

from papayapick.clients import PlatformError
from papayapick.journal import JournalError
from papayapick.observability import get_logger
from papayapick.ownership import preferred_owner, read_shard, release
from papayapick.placer.exceptions import ShardClosed
from papayapick.wire import PeerRefused, PeerUnreachable, WireError
from papayapick.wire.messages import Acknowledgement, Handover, Release, SlotRequest

__all__ = ["ShardHandover"]

_LOG = get_logger(__name__)
_FLUSH_TIMEOUT_SECONDS = 2.0
# A handover takes a few heartbeats at most, so callers retry soon, as with other
# moved work.
_MOVED_RETRY_SECONDS = 0.05
# Consecutive checks at which the preferred owner must be another placer before a
# shard is returned to it.
_CHECKS_BEFORE_RETURN = 5


class _Forward:
    __slots__ = ("peer", "ready", "summary", "until")

    def __init__(self, peer, ready, summary, until):
        self.peer = peer
        self.ready = ready
        self.summary = summary
        self.until = until


class ShardHandover:
    """Hand over shards with little delay for urgent work.

    The next owner is notified directly and claims the shard at once. Gateways
    learn of it with their next heartbeats. Until then their messages are forwarded
    to the next owner, and this process still announces the shard at the old epoch.

    Parameters
    ----------
    process : Process
    owner : ShardOwner
    running_count : callable
        Returns the number of runs of a shard in this process.
    """

    __slots__ = (
        "_forwards",
        "_lock",
        "_owner",
        "_preferred_owner_checks",
        "_process",
        "_running_count",
    )

    def __init__(self, process, owner, running_count):
        self._process = process
        self._owner = owner
        self._running_count = running_count
        self._forwards = {}
        self._preferred_owner_checks = {}
        self._lock = threading.Lock()

    @property
    def forward_seconds(self):
        """Return the seconds that gateways may take to learn of a new owner."""
        return 5 * self._process.settings.heartbeat_seconds

    def summaries(self):
        """Return the last summaries of the shards whose messages are forwarded."""
        return [forward.summary for forward in self._active_forwards()]

    def hand_over(self, shard, force=False):
        """Release a shard, notify its next owner and forward later messages.

        Parameters
        ----------
        shard : Shard
        force : bool
            Stop serving the shard even if the table does not accept the release.

        Returns
        -------
        bool
            Whether this process stopped serving the shard.
        """
        process = self._process
        peer = self._next_owner(shard.name)
        summary = shard.summary()
        ready = Future()
        if peer is not None:
            until = process.clock.monotonic() + self.forward_seconds
            with self._lock:
                self._forwards[shard.name] = _Forward(peer, ready, summary, until)
        shard.stop_admission()
        self._flush(shard)
        try:
            release(process.table, shard.row)
        except PlatformError as error:
            _LOG.info("shard not released", extra={"error": str(error)})
            if not force:
                # No other placer can claim the shard while the table is down. If
                # the release took effect and only its answer was lost, the next
                # owner fences the hosts and this process finds the new owner when
                # it next confirms its ownership.
                self._cancel_handover(shard, ready)
                return False
        self._owner.close(shard)
        self._notify_next_owner(peer, shard, ready)
        return True

    def _cancel_handover(self, shard, ready):
        with self._lock:
            self._forwards.pop(shard.name, None)
        ready.set_result(None)
        shard.resume_admission()

    def hand_over_idle_shards(self):
        """Hand over the shards without runs in this process, which is draining."""
        for shard in self._owner.shards:
            self._hand_over_if_idle(shard)

    def return_to_preferred(self):
        """Hand over at most one shard without runs to its preferred owner.

        Otherwise a placer that was restarted would never get the shards of its
        zone back, and with each restart more shards would be owned from other
        zones.
        """
        for shard in self._owner.shards:
            peer = self._next_owner(shard.name)
            if peer is None:
                self._preferred_owner_checks.pop(shard.name, None)
                continue
            checks = self._preferred_owner_checks.get(shard.name, 0) + 1
            self._preferred_owner_checks[shard.name] = checks
            if checks > _CHECKS_BEFORE_RETURN and self._hand_over_if_idle(shard):
                del self._preferred_owner_checks[shard.name]
                return

    def receive(self, handover):
        """Take over a shard that its owner released; answer when it is served.

        The answer is also sent if the shard was not taken over.

        Returns
        -------
        concurrent.futures.Future of Acknowledgement
        """
        serving = Future()
        answer = Future()
        serving.add_done_callback(lambda done: answer.set_result(Acknowledgement()))
        self._process.executor.submit(self._take_over, handover, serving)
        return answer

    def forward(self, payload, traceparent):
        """Forward a message to the next owner of its shard.

        Returns
        -------
        concurrent.futures.Future or None
            None if the shard was not handed over recently.
        """
        with self._lock:
            forward = self._forwards.get(payload.shard)
        if forward is None or forward.until < self._process.clock.monotonic():
            return None
        answer = Future()

        def send(ready):
            try:
                if isinstance(payload, Release):
                    forward.peer.client.tell(payload)
                    return
                reply = forward.peer.client.call(payload, traceparent)
            except WireError as error:
                answer.set_exception(_forwarding_error(payload, error))
                return
            reply.add_done_callback(lambda done: _copy_result(done, payload, answer))

        forward.ready.add_done_callback(send)
        return answer

    def _hand_over_if_idle(self, shard):
        shard.is_handing_over = True
        if self._running_count(shard):
            shard.is_handing_over = self._process.is_draining
            return False
        if not (self._flush(shard) and shard.work_index.is_recorded):
            # The table was down, and may come back just before the release. The next
            # owner would read starts of work that has ended, or that was never sent,
            # and report it as running until the longest run time has passed.
            shard.is_handing_over = False
            return False
        return self.hand_over(shard)

    def _next_owner(self, name):
        process = self._process
        host = process.settings.host_name
        peers = {
            peer.name: peer
            for peer in process.peers.live()
            if not peer.last_heartbeat.draining and peer.last_heartbeat.bundle_sequence
        }
        if process.is_draining:
            peers.pop(host, None)
        best = preferred_owner(name, [peer.entry for peer in peers.values()])
        return None if best == host else peers.get(best)

    def _flush(self, shard):
        """Write the queued records of a shard; return whether all are written."""
        flushed = self._process.executor.submit(shard.journal.flush)
        try:
            flushed.result(_FLUSH_TIMEOUT_SECONDS)
        except (FutureTimeout, PlatformError, JournalError) as error:
            # The table is down. If the shard is released nevertheless, the next owner
            # determines the outcomes that are not written from the journaled starts.
            _LOG.warning(
                "journal not flushed",
                extra={"shard": shard.name, "error": repr(error)},
            )
            return False
        return True

    def _notify_next_owner(self, peer, shard, ready):
        if peer is None:
            ready.set_result(None)
            return
        try:
            reply = peer.client.call(Handover(shard=shard.name, epoch=shard.epoch))
        except WireError:
            # The next owner finds the released row when it next reads the table.
            ready.set_result(None)
            return
        reply.add_done_callback(lambda done: ready.set_result(None))
        _LOG.info("shard handed over", extra={"shard": shard.name, "to": peer.name})

    def _take_over(self, handover, serving):
        try:
            row = read_shard(self._process.table, handover.shard)
            if row.owner == "" and row.epoch == handover.epoch:
                with self._lock:
                    self._forwards.pop(handover.shard, None)
                self._owner.take_over(row, serving)
        except PlatformError as error:
            _LOG.info("handover postponed", extra={"error": str(error)})
        finally:
            if not serving.done():
                serving.set_result(None)

    def _active_forwards(self):
        now = self._process.clock.monotonic()
        with self._lock:
            return [
                forward for forward in self._forwards.values() if forward.until >= now
            ]


def _copy_result(done, payload, answer):
    error = done.exception()
    if error is not None:
        answer.set_exception(_forwarding_error(payload, error))
    else:
        answer.set_result(done.result())


def _forwarding_error(payload, error):
    """Return the error with which to answer a message that could not be forwarded.

    While hosts are replaced one after the other, the next owner may be stopped as
    well. If its connection error were returned unchanged, callers would get 503
    with outcome unknown for requests that have not run. A message that was not
    sent has run nothing, and neither has a slot request in any case. These are
    answered with ``ShardClosed``, so that the sender retries with the owner of
    that time.
    """
    has_not_run = isinstance(error, PeerUnreachable) or (
        isinstance(error, WireError)
        and not isinstance(error, PeerRefused)
        and isinstance(payload, SlotRequest)
    )
    if not has_not_run:
        return error
    moved = ShardClosed(shard=payload.shard, retry_after=_MOVED_RETRY_SECONDS)
    moved.__cause__ = error
    return moved
