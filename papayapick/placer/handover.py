"""Hand shards to the next owner, and pass on what still comes here."""

import threading
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeout

from papayapick.clients import PlatformError
from papayapick.observability import get_logger
from papayapick.ownership import preferred_owner, read_shard, release
from papayapick.placer.exceptions import ShardClosed
from papayapick.wire import PeerRefused, PeerUnreachable, WireError
from papayapick.wire.messages import Acknowledgement, Handover, Release, SlotRequest

__all__ = ["ShardHandover"]

_LOG = get_logger(__name__)
_FLUSH_SECONDS = 2.0
# A handover under way is over within a few heartbeats; as for other moved work.
_MOVED_RETRY_SECONDS = 0.05
# Looks at the peers that a better placed owner must have passed in a row.
_CHECKS_BEFORE_RETURN = 5


class _Forward:
    __slots__ = ("peer", "ready", "summary", "until")

    def __init__(self, peer, ready, summary, until):
        self.peer = peer
        self.ready = ready
        self.summary = summary
        self.until = until


class ShardHandover:
    """Give shards away so that urgent work hardly waits.

    The next owner is told directly and claims at once. Gateways learn of it
    with their next heartbeats; until then what they send here is passed on, and
    the shard goes on being announced at its old epoch.

    Parameters
    ----------
    process : Process
    owner : ShardOwner
    running_count : callable
        Returns how many runs of a shard are under way in this process.
    """

    __slots__ = (
        "_running_count",
        "_lock",
        "_owner",
        "_forwards",
        "_process",
        "_preferred_owner_checks",
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
        """Return how long gateways may take to learn of a new owner."""
        return 5 * self._process.settings.heartbeat_seconds

    def summaries(self):
        """Return the shards that are passed on, as they were announced."""
        return [found.summary for found in self._active_forwards()]

    def hand_over(self, shard, force=False):
        """Release a shard, tell its next owner and pass on what comes.

        Parameters
        ----------
        shard : Shard
        force : bool
            Serve the shard no more even where the table takes no release.

        Returns
        -------
        bool
            Whether the shard is gone.
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
                # Nobody else can take it while the table is down. Where the
                # release took effect unseen, its next owner fences the hosts
                # and the next look at the table tells.
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
        """Hand over the shards of a draining process that run nothing."""
        for shard in self._owner.shards:
            self._hand_over_if_idle(shard)

    def return_to_preferred(self):
        """Hand one shard to the placer that should serve it, if it runs nothing.

        A placer that comes back would otherwise never get the shards of its
        zone again, and each restart would move them further away.
        """
        for shard in self._owner.shards:
            peer = self._next_owner(shard.name)
            if peer is None:
                self._preferred_owner_checks.pop(shard.name, None)
                continue
            looks = self._preferred_owner_checks.get(shard.name, 0) + 1
            self._preferred_owner_checks[shard.name] = looks
            if looks > _CHECKS_BEFORE_RETURN and self._hand_over_if_idle(shard):
                del self._preferred_owner_checks[shard.name]
                return

    def receive(self, handover):
        """Take a shard that its owner released; answer once it is served.

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
        """Pass a message to the next owner of its shard.

        Returns
        -------
        concurrent.futures.Future or None
            None where the shard was not handed over lately.
        """
        with self._lock:
            found = self._forwards.get(payload.shard)
        if found is None or found.until < self._process.clock.monotonic():
            return None
        answer = Future()

        def ask(ready):
            try:
                if isinstance(payload, Release):
                    found.peer.client.tell(payload)
                    return
                asked = found.peer.client.call(payload, traceparent)
            except WireError as error:
                answer.set_exception(_forwarding_error(payload, error))
                return
            asked.add_done_callback(lambda done: _copy_result(done, payload, answer))

        found.ready.add_done_callback(ask)
        return answer

    def _hand_over_if_idle(self, shard):
        shard.is_handing_over = True
        if self._running_count(shard):
            shard.is_handing_over = self._process.is_draining
            return False
        return self.hand_over(shard)

    def _next_owner(self, name):
        process = self._process
        host = process.settings.host_name
        peers = {
            peer.name: peer
            for peer in process.peers.live()
            if not peer.heard.draining and peer.heard.bundle_sequence
        }
        if process.is_draining:
            peers.pop(host, None)
        best = preferred_owner(name, [peer.entry for peer in peers.values()])
        return None if best == host else peers.get(best)

    def _flush(self, shard):
        flushed = self._process.executor.submit(shard.journal.flush)
        try:
            flushed.result(_FLUSH_SECONDS)
        except FutureTimeout:
            # The table is down: what is known here and not written is settled
            # by the next owner from the starts that are.
            _LOG.warning("journal not flushed", extra={"shard": shard.name})

    def _notify_next_owner(self, peer, shard, ready):
        if peer is None:
            ready.set_result(None)
            return
        try:
            told = peer.client.call(Handover(shard=shard.name, epoch=shard.epoch))
        except WireError:
            # The next owner finds the released row at its next look.
            ready.set_result(None)
            return
        told.add_done_callback(lambda done: ready.set_result(None))
        _LOG.info("shard handed over", extra={"shard": shard.name, "to": peer.name})

    def _take_over(self, handover, serving):
        try:
            row = read_shard(self._process.table, handover.shard)
            if row.owner == "" and row.epoch == handover.epoch:
                with self._lock:
                    self._forwards.pop(handover.shard, None)
                self._owner.take_over(row, serving)
        except PlatformError as error:
            _LOG.info("handover put off", extra={"error": str(error)})
        finally:
            if not serving.done():
                serving.set_result(None)

    def _active_forwards(self):
        now = self._process.clock.monotonic()
        with self._lock:
            return [found for found in self._forwards.values() if found.until >= now]


def _copy_result(done, payload, answer):
    error = done.exception()
    if error is not None:
        answer.set_exception(_forwarding_error(payload, error))
    else:
        answer.set_result(done.result())


def _forwarding_error(payload, error):
    """Return what the asker is told of a message that could not be passed on.

    While hosts are replaced in turn, the next owner may be gone as well. Told
    as it is, the broken connection reached callers as 503 with outcome unknown,
    of requests that had not run. What was not sent on, and a slot in any case,
    has run nothing: the asker turns to whoever owns the shard then.
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
