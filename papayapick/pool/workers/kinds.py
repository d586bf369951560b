"""Labels and capacity of workers that start again under their ids."""

from papayapick.pool.workers.events import WORKER_CHANGED

__all__ = ["KindUpdates"]

# The labels of a worker of which only an entry of an earlier life is known.
_UNKNOWN_LABELS = ()


class KindUpdates:
    """Follow of which kind the workers of an owner are.

    The labels and the capacity in a link's registration are always of the life that its
    ``born`` names. Otherwise tasks would be started on workers without the label that
    they require, and others would find none.

    Parameters
    ----------
    owner : PoolOwner
        Its lock must be held by the caller of every method.
    """

    __slots__ = ("_owner",)

    def __init__(self, owner):
        self._owner = owner

    def follow(self, link, entry):
        """Take over what an entry says, unless it is of an earlier life.

        Parameters
        ----------
        link : WorkerLink
        entry : Registration
            From the platform's list of workers, or recorded by an earlier owner.
        """
        known = link.registration
        is_later = known.note_born(entry.born)
        if entry.born not in (None, known.born):
            # The list is behind a life that has reported already.
            return
        known.zone = entry.zone
        is_other = (known.labels, known.capacity) != (entry.labels, entry.capacity)
        if is_other:
            self._change(link, entry.labels, entry.capacity)
            self._owner.advice_manager.forget_worker(link.worker)
            self._owner.knowledge.speeds.add_worker(known)
        if is_later or is_other:
            self._owner.roster.add(known)

    def note_incarnation(self, link, born):
        """Record when a worker began, before anything is started there.

        A successor must not take the runs of this incarnation for lost because the
        list of machines is older than it. The worker may be of another kind than its
        last life: until its entry is there, it runs only what requires no label.
        """
        known = link.registration
        # A last answer may come after the link was removed.
        is_current = self._owner.links_by_worker.get(link.worker) is link
        if born is None or born == known.born or not is_current:
            return
        is_other_life = known.born is not None
        known.born = born
        if is_other_life and known.labels:
            self._change(link, _UNKNOWN_LABELS, known.capacity)
        self._owner.roster.add(known)

    def _change(self, link, labels, capacity):
        before = link.registration.labels
        self._owner.rooms.change_kind(
            self._owner.rooms.get(link.worker), labels, capacity
        )
        WORKER_CHANGED.write(
            worker=link.worker,
            labels=list(labels),
            labels_before=list(before),
            processors=capacity.processors,
        )
