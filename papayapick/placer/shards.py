"""Hold one shard while this process owns it."""

from papayapick.estimates import ObservedQuantile
from papayapick.journal import Journal, WorkBook
from papayapick.ledger import Amounts, HostLedger, SlotLedger
from papayapick.ownership import OwnershipUnconfirmed
from papayapick.placement import FailureBook, HealthAware, InstanceHealth, JobQueue
from papayapick.placer.exceptions import ShardClosed
from papayapick.placer.slots import SlotDesk
from papayapick.wire.messages import ShardSummary

__all__ = ["OUTCOME_RETENTION_SECONDS", "Shard"]

# A key is remembered for so long after its request has ended; a repeat after
# that runs anew. Longer than the longest timeout of a policy (two days).
OUTCOME_RETENTION_SECONDS = 3 * 24 * 3600


class Shard:
    """Keep ledger, queue, journal and work of one shard at one epoch.

    Parameters
    ----------
    row : ShardRow
        As claimed.
    process : Process
    journal_bucket : TokenBucket
    on_fenced : callable
        Called with the shard when a newer owner is met.
    """

    __slots__ = (
        "_confirmed_pauses",
        "_clock",
        "_is_closed",
        "_objects",
        "_pauses",
        "book",
        "desk",
        "entries",
        "estimates",
        "failures",
        "hosts",
        "is_leaving",
        "jobs",
        "journal",
        "row",
    )

    def __init__(self, row, process, journal_bucket, on_fenced):
        self.row = row
        self.hosts = HostLedger()
        self.jobs = JobQueue(self.hosts)
        self.failures = FailureBook(self.hosts)
        self.estimates = ObservedQuantile(self.hosts)
        self.desk = SlotDesk(
            row.shard,
            row.epoch,
            SlotLedger(),
            HealthAware(InstanceHealth(process.clock), process.generator),
            process.clock,
            process.generator,
        )
        self.book = WorkBook()
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
        # Set while the shard is about to be handed over: nothing is started.
        self.is_leaving = False
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
        """Return whether the shard takes no new work."""
        return self._is_closed

    @property
    def needs_confirmation(self):
        """Return whether the process was paused since the last confirmation."""
        return self._pauses.count() != self._confirmed_pauses

    def check_serving(self):
        """Raise where nothing may be decided now.

        Raises
        ------
        ShardClosed
            The shard is being handed over.
        OwnershipUnconfirmed
            The process was paused; a newer owner may have fenced it.
        """
        if self._is_closed:
            raise ShardClosed(shard=self.name, retry_after=0.05)
        if self.needs_confirmation:
            raise OwnershipUnconfirmed(shard=self.name)

    def confirm(self, pauses):
        """Note that the table named this owner after so many pauses."""
        self._confirmed_pauses = pauses

    def close(self):
        """Take no more work, refuse what waits and end the journal."""
        self._is_closed = True
        self.desk.refuse_all(ShardClosed(shard=self.name, retry_after=0.05))
        self.journal.close()

    def stop_admission(self):
        """Take no new work; what runs goes on to its end."""
        self._is_closed = True
        self.desk.refuse_all(ShardClosed(shard=self.name, retry_after=0.05))

    def resume_admission(self):
        """Take work again: the shard could not be given away."""
        self.is_leaving = False
        self._is_closed = False

    def summary(self):
        """Return what peers are told of this shard."""
        return ShardSummary(shard=self.name, epoch=self.epoch, loads=self.desk.loads())

    def add_worker(self, entry):
        """Add a closed worker of the live list."""
        self.entries[entry.name] = entry
        self.hosts.add(entry.name, Amounts.from_mapping(entry.capacity))

    def add_instance(self, entry):
        """Add a closed instance of the live list."""
        self.entries[entry.name] = entry
        self.desk.with_ledger(
            lambda ledger: ledger.add(
                entry.name,
                entry.service,
                entry.url,
                entry.capacity.get("slots", 0),
                entry.capacity.get("connections", 0),
            )
        )

    def use_journal(self, state):
        """Take over the work that an earlier owner journaled."""
        self.book = state.book
        self.journal.go_on_from(state)

    def _apply(self, record):
        self.book.apply(record)

    def _compact(self):
        """Fold the journal where that is due; runs in the journal's own task.

        So the book holds exactly what the segments written so far say.
        """
        if not self.journal.is_compaction_due(len(self.book)):
            return
        self.book.forget_before(self._clock.time() - OUTCOME_RETENTION_SECONDS)
        records = [one for item in self.book.items for one in item.records()]
        self.journal.compact(self._objects, records)
