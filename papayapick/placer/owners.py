"""Claim, confirm and give up the ownership of shards."""

import threading

from papayapick.clients import PlatformError
from papayapick.membership import PollGate
from papayapick.observability import get_logger
from papayapick.ownership import (
    ShardNotOwned,
    TakeoverLost,
    candidates,
    claim,
    preferred_owner,
    read_shards,
)
from papayapick.ownership.queries import ShardRow
from papayapick.placer.shards import Shard
from papayapick.placer.takeover import load_work

__all__ = ["ShardOwner"]

_LOG = get_logger(__name__)


class ShardOwner:
    """Manage the shards that one placer owns.

    Parameters
    ----------
    process : Process
    host_reconciler : HostReconciler
    bucket : TokenBucket
        Limits the journal writes of the process.
    on_taken : callable
        Called with a shard, and the list of the work items that were loaded, after its
        hosts were refreshed.
    on_lost : callable
        Called with a shard after it was closed.
    """

    __slots__ = (
        "_bucket",
        "_claimed",
        "_gate",
        "_host_reconciler",
        "_lock",
        "_on_lost",
        "_on_taken",
        "_process",
        "_shards",
        "_takeovers",
    )

    def __init__(self, process, host_reconciler, bucket, on_taken, on_lost):
        self._process = process
        self._host_reconciler = host_reconciler
        self._bucket = bucket
        self._on_taken = on_taken
        self._on_lost = on_lost
        self._shards = {}
        self._claimed = {}
        self._gate = PollGate(process.clock, lambda: process.has_store_contact())
        self._takeovers = set()
        self._lock = threading.Lock()

    @property
    def shards(self):
        """Return the owned shards."""
        with self._lock:
            return list(self._shards.values())

    def get(self, name):
        """Return an owned shard, or None."""
        with self._lock:
            return self._shards.get(name)

    def require(self, name):
        """Return an owned shard; raise ShardNotOwned."""
        shard = self.get(name)
        if shard is None:
            raise ShardNotOwned(shard=name)
        return shard

    def update_ownership(self):
        """Confirm the owned shards and claim those that this placer should serve.

        Raises
        ------
        TableUnavailable
        """
        process = self._process
        if process.is_draining or not process.watcher.sequence:
            return
        if not self._gate.is_due(self._may_have_changed()):
            return
        pauses = process.pauses.count()
        rows = read_shards(process.table)
        self._confirm(rows, pauses)
        wanted = [
            rows.get(name) or ShardRow(name, "", 0, 0)
            for name in process.watcher.bundle.shards()
        ]
        wanted = [row for row in wanted if self._should_take(row)]
        futures = [process.executor.submit(self.take_over, row) for row in wanted]
        for future in futures:
            try:
                future.result()
            except PlatformError as error:
                _LOG.info("takeover postponed", extra={"error": str(error)})

    def take_over(self, row, serving=None):
        """Claim a shard, load its work, serve it and open its hosts.

        Parameters
        ----------
        row : ShardRow
            The row as it was read.
        serving : concurrent.futures.Future, optional
            Resolved when the shard accepts requests, before its hosts are opened,
            or when the attempt has ended.

        Returns
        -------
        Shard or None
            None if this process owns the shard already or another placer claimed
            it first.

        Raises
        ------
        PlatformError
            The shard may be claimed but is not served. The next update of the
            ownership continues the takeover.
        """
        with self._lock:
            if row.shard in self._shards or row.shard in self._takeovers:
                # Two journals of the same epoch would write the same segments.
                return None
            self._takeovers.add(row.shard)
        try:
            shard = self._claim_and_load(row)
            # Taken before the shard is served. Work that is accepted while its hosts
            # are opened is queued by its acceptance; queued again as loaded work, it
            # would be sent by two threads.
            loaded = [] if shard is None else shard.work_index.items
            if shard is not None:
                self._serve(shard)
        finally:
            with self._lock:
                self._takeovers.discard(row.shard)
            if serving is not None:
                serving.set_result(None)
        if shard is not None:
            self._host_reconciler.refresh(
                shard, self._process.peers.entries, self._shards_per_zone()
            )
            self._on_taken(shard, loaded)
        return shard

    def lose(self, shard):
        """Close a shard that has a newer owner, and log the loss."""
        self.close(shard)
        _LOG.warning("shard lost", extra={"shard": shard.name, "epoch": shard.epoch})

    def close(self, shard):
        """Close a shard and stop serving it."""
        with self._lock:
            if self._shards.get(shard.name) is shard:
                del self._shards[shard.name]
        shard.close()
        self._on_lost(shard)

    def _claim_and_load(self, row):
        process = self._process
        taken = self._claim(row)
        if taken is None:
            return None
        shard = Shard(taken, process, self._bucket, self.lose)
        load_work(shard, process.table, process.objects)
        self._host_reconciler.add_listed(
            shard, process.peers.entries, self._shards_per_zone()
        )
        return shard

    def _serve(self, shard):
        with self._lock:
            self._shards[shard.name] = shard
            self._claimed.pop(shard.name, None)
        self._process.executor.submit(shard.journal.run)
        _LOG.info("shard taken", extra={"shard": shard.name, "epoch": shard.epoch})

    def _shards_per_zone(self):
        document = self._process.watcher.bundle.document
        return document["topology"]["shards_per_zone"]

    def _claim(self, row):
        # If the table or object store failed after the claim, so that the work was
        # not loaded, the takeover continues with the same claim. A new claim at
        # each attempt would raise the epoch and fence the hosts each time.
        earlier = self._claimed.get(row.shard)
        if earlier is not None and earlier.version == row.version:
            return earlier
        process = self._process
        try:
            taken = claim(process.table, row, process.settings.host_name)
        except TakeoverLost as error:
            _LOG.info("takeover lost", extra={"error": str(error)})
            return None
        self._claimed[row.shard] = taken
        return taken

    def _confirm(self, rows, pauses):
        for shard in self.shards:
            row = rows.get(shard.name)
            if row is None or (row.owner, row.epoch) != (
                shard.row.owner,
                shard.epoch,
            ):
                self.lose(shard)
            else:
                shard.confirm(pauses)

    def _may_have_changed(self):
        """Return whether the rows may differ from what the peers announce."""
        shards = self.shards
        served = self._process.peers.shard_owners()
        return (
            any(shard.needs_confirmation for shard in shards)
            or bool(set(self._process.watcher.bundle.shards()) - set(served))
            or any(
                shard.name in served and served[shard.name][1].epoch > shard.epoch
                for shard in shards
            )
        )

    def _should_take(self, row):
        process = self._process
        host = process.settings.host_name
        if self.get(row.shard) is not None:
            return False
        if preferred_owner(row.shard, candidates(process.peers.live())) != host:
            return False
        if row.owner in ("", host):
            # A row with this host's name, for a shard that it does not serve, is
            # left from before a restart of the process.
            return True
        return not process.peers.is_alive(row.owner)
