"""Learn from the list of machines that a silent worker is gone, not cut off.

What runs on a worker that does not answer may run on until its lease is over, 3.7 s
later; a new owner that knows nothing of it waits 5.7 s. The list of machines tells at
once when a worker has crashed or was taken away; one that is cut off stays on it.
"""

from papayapick.platform.exceptions import CheckFailed
from papayapick.pool.events import MACHINES_DISTRUSTED, MACHINES_UNREAD

__all__ = ["LifeCheck"]

_LOOK_SECONDS = 0.1
# The list is read so often at most while a worker with runs is silent; each call is
# paid for, and the service takes 60 a second.
_READ_SECONDS = 0.25
# Workers answer a new owner's first call within this time. One that has crashed lets it
# wait 0.8 s, and all tasks of before with it.
_FIRST_ANSWER_SECONDS = 0.2
# A list that names fewer of the workers that answer is not of them.
_TRUSTED_SHARE = 0.5


class LifeCheck:
    """Give up the runs of workers whose machine has no such life any more.

    Parameters
    ----------
    owner : PoolOwner
    machines : MachineList
    """

    __slots__ = ("_is_distrusted", "_machines", "_owner")

    def __init__(self, owner, machines):
        self._owner = owner
        self._machines = machines
        self._is_distrusted = False

    def run(self):
        """Look until the owner stops."""
        while not self._owner.is_stopped:
            self._owner.pause(_LOOK_SECONDS)
            if self._silent_links() and self._owner.may_act():
                self.look()
                self._owner.pause(_READ_SECONDS)

    def look(self):
        """Read the list once, and take in what it tells of silent workers."""
        silent = self._silent_links()
        try:
            machines = self._machines.fetch()
        except CheckFailed as error:
            MACHINES_UNREAD.write(silent=len(silent), error=str(error))
            return
        alive = {machine.worker for machine in machines if machine.is_up}
        with self._owner.lock:
            if not self._is_trusted(alive):
                return
            for link in silent:
                # It may have answered, or begun anew, while the list was read.
                if link.worker not in alive and self._is_quiet(link):
                    self._give_up(link)
        self._owner.wake()

    def _give_up(self, link):
        if link.is_inventoried:
            self._owner.report_handler.lose_seen_runs(link)
        else:
            self._owner.reconciliation.note_worker_gone(link.worker, self._owner.now())

    def _silent_links(self):
        with self._owner.lock:
            return [
                link
                for link in self._owner.links()
                if self._is_quiet(link) and self._is_of_interest(link)
            ]

    def _is_quiet(self, link):
        """Return whether a worker does not answer, or has not in time."""
        if link.is_inventoried or link.is_silent:
            return link.is_silent
        return self._owner.now() - self._owner.taken_at > _FIRST_ANSWER_SECONDS

    def _is_of_interest(self, link):
        """Return whether something may run on a worker that does not answer."""
        if not link.is_inventoried:
            return self._owner.reconciliation.waits_for(link.worker)
        runs = self._owner.rooms.get(link.worker).runs.values()
        return any(run.has_begun for run in runs)

    def _is_trusted(self, alive):
        """Return whether the list names most of the workers that answer.

        A list that is empty, old or of another cell would have all silent workers
        given up, and what runs on those that are only cut off would run twice.
        """
        answering = {
            link.worker
            for link in self._owner.links()
            if link.is_inventoried and not link.is_silent and link.is_listed
        }
        # Some of them may have crashed since they last answered.
        is_trusted = len(answering & alive) > _TRUSTED_SHARE * len(answering)
        if not is_trusted and not self._is_distrusted:
            MACHINES_DISTRUSTED.write(
                answering=len(answering), unlisted=sorted(answering - alive)
            )
        self._is_distrusted = not is_trusted
        return is_trusted
