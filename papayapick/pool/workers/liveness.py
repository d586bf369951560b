"""Distinguish crashed workers from partitioned ones by the list of machines.

The runs of a worker that doesn't answer may continue until its lease expires 3.7 s
later; a new owner, which doesn't know that lease, waits 5.7 s. The platform's list
of machines shows at once that a worker crashed or was removed; a partitioned worker
stays on it.
"""

from papayapick.platform.exceptions import CallFailed
from papayapick.pool.events import MACHINES_DISTRUSTED, MACHINES_UNREAD

__all__ = ["LivenessCheck"]

_CHECK_INTERVAL_SECONDS = 0.1
# Least time between two reads of the list while a worker with runs is silent: each call
# is billed, and the service accepts 60 calls a second.
_READ_INTERVAL_SECONDS = 0.25
# Workers answer a new owner's first call within this time. The call to a crashed worker
# takes 0.8 s to time out, and would delay all tasks started before the takeover.
_FIRST_ANSWER_SECONDS = 0.2
# A list with a smaller share of the answering workers is empty, outdated or of another
# cell.
_TRUSTED_SHARE = 0.5


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
        try:
            machines = self._machines.fetch()
        except CallFailed as error:
            MACHINES_UNREAD.write(silent=len(silent), error=str(error))
            return
        alive = {machine.worker for machine in machines if machine.is_up}
        with self._owner.lock:
            if not self._is_trusted(alive):
                return
            for link in silent:
                # The worker may have answered or restarted while the list was read.
                if link.worker not in alive and self._is_unresponsive(link):
                    self._mark_gone(link)
        self._owner.wake()

    def _mark_gone(self, link):
        if link.has_reported:
            self._owner.report_handler.mark_started_runs_lost(link)
        else:
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
        if not link.has_reported:
            return self._owner.reconciliation.waits_for(link.worker)
        runs = self._owner.rooms.get(link.worker).runs.values()
        return any(run.has_begun for run in runs)

    def _is_trusted(self, alive):
        """Return whether the list contains most of the workers that answer.

        With a list that is empty, outdated or of another cell, all silent workers would
        count as gone, and the tasks of those that are only partitioned would run twice.
        """
        answering = {
            link.worker
            for link in self._owner.links()
            if link.has_reported and not link.is_silent and link.is_listed
        }
        # Less than all, as some may have crashed since they last answered.
        is_trusted = len(answering & alive) > _TRUSTED_SHARE * len(answering)
        if not is_trusted and not self._is_distrusted:
            MACHINES_DISTRUSTED.write(
                answering=len(answering), unlisted=sorted(answering - alive)
            )
        self._is_distrusted = not is_trusted
        return is_trusted
