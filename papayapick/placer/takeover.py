"""Load the work of a shard, fence its hosts and count the work they run."""

from papayapick.clients import PlatformError, StaleEpoch
from papayapick.clients.hosts import WORKER_KIND
from papayapick.journal.queries import read_journal
from papayapick.ledger import Amounts
from papayapick.observability import get_logger
from papayapick.placer.listing import HostListing

__all__ = ["HostReconciler", "load_work"]

_LOG = get_logger(__name__)


def load_work(shard, table, objects):
    """Rebuild a shard's work from its journal; raise PlatformError."""
    shard.use_journal(read_journal(table, objects, shard.name))


class HostReconciler:
    """Reconcile the hosts of shards with the host list and the hosts' reports.

    A host is opened only after it has been fenced at the shard's epoch and has
    reported what it runs. Otherwise the work of a former owner would be missing
    from the ledger and the host would be overloaded.

    Parameters
    ----------
    workers : WorkerClient
    instances : InstanceClient
    executor : concurrent.futures.Executor
    listing : HostListing, optional
    """

    __slots__ = ("_executor", "_instances", "_listing", "_workers")

    def __init__(self, workers, instances, executor, listing=None):
        self._workers = workers
        self._instances = instances
        self._executor = executor
        self._listing = listing or HostListing()

    def refresh(self, shard, entries, shards_per_zone):
        """Add, open and close the hosts of a shard according to the host list.

        Parameters
        ----------
        shard : Shard
        entries : list of HostEntry
        shards_per_zone : int
        """
        to_open = []
        listed = self.add_listed(shard, entries, shards_per_zone)
        self._close_unlisted(shard, listed)
        for entry in listed:
            if entry.is_live and not self._is_open(shard, entry):
                to_open.append(entry)
            elif not entry.is_live:
                self._close(shard, entry)
        futures = [self._executor.submit(self._open, shard, entry) for entry in to_open]
        for future in futures:
            future.result()

    def add_listed(self, shard, entries, shards_per_zone):
        """Add the listed hosts of a shard, closed to work.

        Called before the shard is served. A request for a service whose hosts
        are not open yet then waits and is not refused with ``ServiceUnknown``.

        Returns
        -------
        list of HostEntry
        """
        listed = self._listing.of_shard(shard.name, entries, shards_per_zone)
        for entry in listed:
            self._add(shard, entry)
        return listed

    def reconcile_grants(self, shard):
        """Query the backend servers about the grants whose end is in doubt."""
        for instance in shard.slot_allocator.in_doubt_instances():
            entry = shard.entries[instance]
            try:
                running = self._instances.fence(entry.url, shard.epoch)
            except PlatformError:
                continue
            shard.slot_allocator.reconcile(instance, running)

    def _close_unlisted(self, shard, listed):
        # A host that disappeared without announcing it is dropped from the list.
        # Its reservations stay until there is proof that the work has ended.
        names = {entry.name for entry in listed}
        for name, entry in list(shard.entries.items()):
            if name not in names:
                self._close(shard, entry)

    @staticmethod
    def _add(shard, entry):
        if entry.kind == WORKER_KIND:
            shard.add_worker(entry)
        else:
            shard.add_instance(entry)

    @staticmethod
    def _is_open(shard, entry):
        if entry.kind == WORKER_KIND:
            return shard.hosts.is_open(entry.name)
        return shard.slot_allocator.with_ledger(
            lambda ledger: ledger.is_open(entry.name)
        )

    @staticmethod
    def _close(shard, entry):
        if entry.kind == WORKER_KIND:
            shard.hosts.close(entry.name)
        else:
            shard.slot_allocator.with_ledger(lambda ledger: ledger.close(entry.name))

    def _open(self, shard, entry):
        try:
            if entry.kind == WORKER_KIND:
                self._open_worker(shard, entry)
            else:
                self._open_instance(shard, entry)
        except StaleEpoch:
            _LOG.warning("a newer owner fenced the host", extra={"host": entry.name})
        except PlatformError as error:
            # The host stays closed to work; the next refresh tries again.
            _LOG.info("host not opened", extra={"error": str(error)})

    def _open_worker(self, shard, entry):
        reports = self._workers.fence(entry, shard.epoch)
        for report in reports:
            if report.is_running:
                demand = Amounts.from_mapping(report.demand)
                shard.hosts.restore(entry.name, report.task, demand)
        shard.hosts.open(entry.name)

    def _open_instance(self, shard, entry):
        running = self._instances.fence(entry.url, shard.epoch, reject_leaving=True)
        shard.slot_allocator.restore(entry.name, running)
        shard.slot_allocator.with_ledger(lambda ledger: ledger.open(entry.name))
        shard.slot_allocator.serve_waiting()
