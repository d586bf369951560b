"""The state of one shard while this process owns it."""

from papayapick.estimates import ObservedQuantile
from papayapick.journal import Journal, WorkIndex
from papayapick.ledger import Amounts, HostLedger, SlotLedger
from papayapick.ownership import OwnershipUnconfirmed
from papayapick.placement.requests import (
    FailureTracker,
    HealthAware,
    InstanceHealth,
    JobQueue,
)
from papayapick.placer.exceptions import ShardClosed
from papayapick.placer.slots import SlotAllocator
from papayapick.wire.messages import ShardSummary

__all__ = ["OUTCOME_RETENTION_SECONDS", "Shard"]

# An idempotency key is retained this long after its request has ended; a repeat
# after that runs again. Longer than the longest timeout of a policy (two days).
OUTCOME_RETENTION_SECONDS = 3 * 24 * 3600


class Shard:
    """Hold the ledgers, queues, journal and durable work of one shard.

    Parameters
    ----------
    row : ShardRow
        The row as it was claimed, with this process as the owner.
    process : Process
    journal_bucket : TokenBucket
        Limits the journal writes of the process.
    on_fenced : callable
        Called with the shard when a newer owner has fenced it.
    """

    __slots__ = (
        "_clock",
        "_confirmed_pauses",
        "_is_closed",
        "_objects",
        "_pauses",
        "entries",
        "estimates",
        "failures",
        "hosts",
        "is_handing_over",
        "jobs",
        "journal",
        "row",
        "slot_allocator",
        "work_index",
    )

    def __init__(self, row, process, journal_bucket, on_fenced):
        self.row = row
        self.hosts = HostLedger()
        self.jobs = JobQueue(self.hosts)
        self.failures = FailureTracker(self.hosts)
        self.estimates = ObservedQuantile(self.hosts)
        self.slot_allocator = SlotAllocator(
            row.shard,
            row.epoch,
            SlotLedger(),
            HealthAware(InstanceHealth(process.clock), process.generator),
            process.clock,
            process.generator,
        )
        self.work_index = WorkIndex()
        self.journal = Journal(
            process.table,
            row,
            process.clock,
            process.settings.journal_linger_seconds,
            journal_bucket,
            on_fenced=lambda: on_fenced(self),
            on_written=self._apply,
            on_segment=self._compact,
            generator=process.generator,
        )
        self.entries = {}
        self._clock = process.clock
        self._objects = process.objects
        # No work is started while the shard is about to be handed over.
        self.is_handing_over = False
        self._pauses = process.pauses
        self._confirmed_pauses = process.pauses.count()
        self._is_closed = False

    @property
    def name(self):
        """Return the name of the shard."""
        return self.row.shard

    @property
    def epoch(self):
        """Return the epoch at which the shard is owned."""
        return self.row.epoch

    @property
    def is_closed(self):
        """Return whether the shard accepts no new work."""
        return self._is_closed

    @property
    def needs_confirmation(self):
        """Return whether the process was paused since the last confirmation."""
        return self._pauses.count() != self._confirmed_pauses

    def check_serving(self):
        """Raise if the shard may make no decisions at present.

        Raises
        ------
        ShardClosed
            The shard is being handed over or has another owner.
        OwnershipUnconfirmed
            The process was paused and a newer owner may have fenced it.
        """
        if self._is_closed:
            raise ShardClosed(shard=self.name, retry_after=0.05)
        if self.needs_confirmation:
            raise OwnershipUnconfirmed(shard=self.name)

    def confirm(self, pauses):
        """Record a confirmation of the ownership by the table.

        Parameters
        ----------
        pauses : int
            Pauses of the process counted before the table was read.
        """
        self._confirmed_pauses = pauses

    def close(self):
        """Stop admission, refuse queued requests and close the journal."""
        self._is_closed = True
        self.slot_allocator.refuse_all(ShardClosed(shard=self.name, retry_after=0.05))
        self.journal.close()

    def stop_admission(self):
        """Accept no new work and refuse queued requests; running work continues."""
        self._is_closed = True
        self.slot_allocator.refuse_all(ShardClosed(shard=self.name, retry_after=0.05))

    def resume_admission(self):
        """Accept work again after a handover that failed."""
        self.is_handing_over = False
        self._is_closed = False

    def summary(self):
        """Return the summary of this shard that heartbeats carry."""
        return ShardSummary(
            shard=self.name, epoch=self.epoch, loads=self.slot_allocator.loads()
        )

    def add_worker(self, entry):
        """Add a worker of the live host list, closed to work."""
        self.entries[entry.name] = entry
        self.hosts.add(entry.name, Amounts.from_mapping(entry.capacity))

    def add_instance(self, entry):
        """Add an instance of the live host list, closed to work."""
        self.entries[entry.name] = entry
        self.slot_allocator.with_ledger(
            lambda ledger: ledger.add(
                entry.name,
                entry.service,
                entry.url,
                entry.capacity.get("slots", 0),
                entry.capacity.get("connections", 0),
            )
        )

    def use_journal(self, state):
        """Load the work and journal position of an earlier owner."""
        self.work_index = state.work_index
        self.journal.resume_from(state)

    def _apply(self, record):
        self.work_index.apply(record)

    def _compact(self):
        """Compact the journal if that is due.

        The journal calls this from its own thread between two segments, so that
        the loaded work corresponds exactly to the segments written so far.
        """
        if not self.journal.is_compaction_due(len(self.work_index)):
            return
        self.work_index.remove_ended_before(
            self._clock.time() - OUTCOME_RETENTION_SECONDS
        )
        records = [
            record for item in self.work_index.items for record in item.records()
        ]
        self.journal.compact(self._objects, records)
