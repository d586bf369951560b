"""Distinguish crashed workers from partitioned ones by the list of machines.

The runs of a worker that doesn't answer may continue until its lease expires 3.7 s
later; a new owner, which doesn't know that lease, waits 5.7 s. The platform's list
of machines shows that a worker crashed or was removed; a partitioned worker stays on
it. The list may be some seconds behind, so that a worker that began later than the
list was made is missing from it although it runs.
"""

from papayapick.platform.exceptions import CallFailed
from papayapick.pool.workers.events import (
    MACHINES_DISTRUSTED,
    MACHINES_UNREAD,
    RUNS_KEPT,
)

__all__ = ["LivenessCheck"]

_CHECK_INTERVAL_SECONDS = 0.1
# Least time between two reads of the list while a worker with runs is silent: each call
# is billed, and the service accepts 60 calls a second.
_READ_INTERVAL_SECONDS = 0.25
# Workers answer a new owner's first call within this time. The call to a crashed worker
# takes 0.8 s to time out, and would delay all tasks started before the takeover.
_FIRST_ANSWER_SECONDS = 0.2
# A list may show what was true this long before it was requested.
_LIST_AGE_SECONDS = 3.0
# The wall clocks of a worker and of this host differ by less than this.
_CLOCK_DIFFERENCE_SECONDS = 5.0
# A list with a smaller share of the answering workers is empty, outdated or of another
# cell.
_TRUSTED_SHARE = 0.5
_MILLISECONDS_PER_SECOND = 1000


class LivenessCheck:
    """Treat the runs of silent workers as lost if no machine hosts the worker any more.

    Parameters
    ----------
    owner : PoolOwner
    machines : MachineClient
    """

    __slots__ = ("_is_distrusted", "_machines", "_owner")

    def __init__(self, owner, machines):
        self._owner = owner
        self._machines = machines
        self._is_distrusted = False

    def run(self):
        """Check silent workers until the owner stops."""
        while not self._owner.is_stopped:
            self._owner.pause(_CHECK_INTERVAL_SECONDS)
            if self._silent_links() and self._owner.may_act():
                self.check_once()
                self._owner.pause(_READ_INTERVAL_SECONDS)

    def check_once(self):
        """Read the list of machines once; treat silent workers not on it as gone."""
        silent = self._silent_links()
        requested_at = self._owner.now()
        try:
            machines = self._machines.fetch()
        except CallFailed as error:
            MACHINES_UNREAD.write(silent=len(silent), error=str(error))
            return
        alive = {machine.worker for machine in machines if machine.is_up}
        read_at = self._owner.now()
        for link in silent:
            if link.worker not in alive:
                link.arrivals.wait_until_read(read_at)
        with self._owner.lock:
            if not self._is_trusted(alive, requested_at):
                return
            for link in silent:
                # The worker may have answered or restarted while the list was read.
                is_silent = self._is_unresponsive(link) and link.alive_at < requested_at
                if (
                    link.worker not in alive
                    and is_silent
                    and self._began_before_list(link, requested_at)
                ):
                    self._mark_gone(link)
        self._owner.wake()

    def _began_before_list(self, link, requested_at):
        """Return whether the worker's runs were started before the list was made.

        Guards against the runs of a worker that has just started, and that the list
        does not have yet, being placed again when a single call to it fails: they
        would run twice. A worker is on each list that was made after it began, until it
        ends.
        """
        made_at = requested_at - _LIST_AGE_SECONDS
        known_since = (
            link.incarnation_since if link.has_reported else self._owner.taken_at
        )
        if known_since <= made_at:
            return True
        born = link.born or link.registration.born
        if born is None:
            return False
        age = self._owner.host.clock.time() - born / _MILLISECONDS_PER_SECOND
        return age > _LIST_AGE_SECONDS + _CLOCK_DIFFERENCE_SECONDS

    def _mark_gone(self, link):
        if link.arrivals.has_unapplied:
            # The next check decides, by what the report says.
            RUNS_KEPT.write(
                worker=link.worker,
                reason="no such worker",
                epoch=self._owner.row.epoch,
            )
            return
        if link.has_reported:
            self._owner.lost_runs.mark_started(link)
        if not link.has_listed_all:
            self._owner.reconciliation.note_worker_gone(
                link.worker, self._owner.now(), "no such worker"
            )

    def _silent_links(self):
        with self._owner.lock:
            return [
                link
                for link in self._owner.links()
                if self._is_unresponsive(link) and self._may_have_runs(link)
            ]

    def _is_unresponsive(self, link):
        """Return whether a worker's last call failed or its first answer is overdue."""
        if link.has_reported or link.is_silent:
            return link.is_silent
        return self._owner.now() - self._owner.taken_at > _FIRST_ANSWER_SECONDS

    def _may_have_runs(self, link):
        """Return whether runs may be active on a worker that doesn't answer."""
        reconciliation = self._owner.reconciliation
        if not link.has_listed_all and reconciliation.waits_for(link.worker):
            return True
        runs = self._owner.rooms.get(link.worker).runs.values()
        return any(run.has_begun for run in runs)

    def _is_trusted(self, alive, requested_at):
        """Return whether the list is recent and has most of the workers that answer.

        With a list that is empty, outdated or of another cell, all silent workers would
        count as gone, and the tasks of those that are only partitioned would run twice.
        A list is outdated if it lacks a worker that began long before and has answered
        a call that was sent after the list was requested.
        """
        answering = {
            link.worker
            for link in self._owner.links()
            if link.has_reported and not link.is_silent and link.is_listed
        }
        # Less than all, as some may have crashed since they last answered.
        has_most = len(answering & alive) > _TRUSTED_SHARE * len(answering)
        absent = [self._owner.links_by_worker[worker] for worker in answering - alive]
        is_trusted = has_most and not any(
            link.alive_at >= requested_at
            and not link.registration.is_leaving
            and self._began_before_list(link, requested_at)
            for link in absent
        )
        if not is_trusted and not self._is_distrusted:
            MACHINES_DISTRUSTED.write(
                answering=len(answering), unlisted=sorted(answering - alive)
            )
        self._is_distrusted = not is_trusted
        return is_trusted
