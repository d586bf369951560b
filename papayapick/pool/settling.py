"""Find out, after a takeover, what runs where."""

from papayapick.pool.events import POOL_SETTLED
from papayapick.pool.links import LEASE_SECONDS
from papayapick.pool.metrics import TAKEOVER_SECONDS
from papayapick.pool.standing import UNCONFIRMED_SECONDS

__all__ = ["QUIET_SECONDS", "Settling"]

# A worker that did not answer a new owner may run what the old one started there
# until that lease is over.
QUIET_SECONDS = UNCONFIRMED_SECONDS + LEASE_SECONDS / 0.98
# What was found at the workers is recorded so long after the last of them answered.
_RECORDED_SECONDS = 1.0


class Settling:
    """Keep back tasks that may run unseen, until that is known.

    Parameters
    ----------
    owner : PoolOwner
    is_journal_exact : bool
        Whether each start of before is known to have been recorded.
    """

    __slots__ = ("_gone", "_is_journal_exact", "_is_settled", "_owner", "_settled_at")

    def __init__(self, owner, is_journal_exact):
        self._owner = owner
        self._is_journal_exact = is_journal_exact
        self._is_settled = False
        self._settled_at = None
        # Workers that have crashed or left, as the list of machines tells.
        self._gone = set()

    @property
    def is_journal_exact(self):
        """Return whether each start of before is known to have been recorded."""
        return self._is_journal_exact

    @property
    def is_settled(self):
        """Return whether it is known where all tasks of before run."""
        return self._is_settled

    @property
    def knows_starts(self):
        """Return whether it is known of each job of before that it has begun."""
        return self._is_journal_exact or self._is_settled

    def begin(self):
        """Keep back what may run unseen.

        Exact journals name the worker of each start before it is ordered; without
        one, any task may run on a worker that has not answered.
        """
        self._owner.book.hold_tasks(
            lambda task: bool(task.place) or not self._is_journal_exact
        )

    def waits_for(self, worker):
        """Return whether tasks are kept back for a worker that has not answered."""
        return not self._is_settled and worker not in self._gone

    def note_gone(self, worker, now):
        """Keep nothing back for a worker that has crashed or left.

        Waited for as if it were cut off, it had all tasks of before stand still for
        the longest lease that it may have, beside workers that are free.
        """
        self._gone.add(worker)
        self.note_inventory(now)

    def note_inventory(self, now):
        """Let go what no worker that is still silent can run."""
        if self._is_settled:
            return
        silent = sorted(
            link.worker
            for link in self._owner.links_by_worker.values()
            if not (link.has_reported or link.worker in self._gone)
        )
        is_over = now > self._owner.taken_at + QUIET_SECONDS
        self._owner.book.release_tasks(
            lambda task: is_over or self._is_clear(task, bool(silent)), now
        )
        if is_over or not (silent or self._owner.book.has_held_tasks):
            self._owner.book.release_all_tasks(now)
            self._is_settled = True
            self._settled_at = now
            TAKEOVER_SECONDS.observe(now - self._owner.taken_at)
            POOL_SETTLED.write(
                pool=self._owner.pool,
                epoch=self._owner.row.epoch,
                seconds=round(now - self._owner.taken_at, 3),
                silent=silent,
            )

    def _is_clear(self, task, has_silent):
        """Return whether a task of before can't run at a worker unseen.

        A worker that is leaving may have left the list and run on; its tasks are
        kept back though all workers of the list have answered.
        """
        if task.place:
            link = self._owner.links_by_worker.get(task.place)
            is_known = link is not None and link.has_reported
            if not (is_known or task.place in self._gone):
                return False
            if self._is_journal_exact:
                return True
        # Its last start may have left without a record, to any worker, also where an
        # earlier one is on record.
        return not has_silent

    def may_lack_records(self):
        """Return whether a successor must not trust the records of starts.

        An owner that took over from one that ordered starts without records knows
        them only when all workers have answered, and records what it found then.
        One that found all starts recorded has nothing to find out: its successor would
        else keep back all tasks beside one dead worker, and so would the next.
        """
        if self._is_journal_exact:
            return False
        if self._settled_at is None:
            return True
        return self._owner.now() - self._settled_at < _RECORDED_SECONDS
