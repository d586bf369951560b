"""Ends as done that an owner knows of, and starts that come after them."""

__all__ = ["DoneEnds"]


class DoneEnds:
    """Record which tasks are known to be done, and which of them start after that.

    An end is known once it was acknowledged, or while the owner that had it in an
    answer acts. One that never left its worker is not, nor one that the worker
    forgot by a call that was sent to its previous incarnation.

    Parameters
    ----------
    simulation : FaultSimulation

    Attributes
    ----------
    late_starts : list of TaskKey
        Tasks that started after an end that was known.
    """

    def __init__(self, simulation):
        self._simulation = simulation
        self._acknowledged = set()
        # Epoch of the last owner that had the end in an answer.
        self._listed = {}
        self.late_starts = []

    def note_acknowledged(self, ends, is_stray):
        """Note that a worker was told that these ends are recorded.

        Parameters
        ----------
        ends : iterable of EndReport
        is_stray : bool
            Whether the call was sent to the worker's previous incarnation.
        """
        if is_stray:
            return
        self._acknowledged |= {self._name(end.key) for end in ends if _is_done(end)}

    def note_listed(self, ends, epoch):
        """Note that an owner has these ends in an answer."""
        for end in ends:
            if _is_done(end):
                self._listed[self._name(end.key)] = epoch

    def note_started(self, key):
        """Note that a run of a task has begun."""
        name = self._name(key)
        is_listed = self._listed.get(name) == self._simulation.epoch
        if is_listed or name in self._acknowledged:
            self.late_starts.append(key)

    def _name(self, key):
        """Return what an end of a task stands for: the task, or its whole gang."""
        is_gang = self._simulation.step_of(key).is_gang
        return key.step_key if is_gang else key


def _is_done(end):
    return end.outcome == "done"
