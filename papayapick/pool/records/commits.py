"""What the duration and the failure of commits tell of the store."""

from papayapick.pool.events import RECORDING_CHANGED

__all__ = ["CommitMonitor"]


class CommitMonitor:
    """Update the recording mode and the store's health after each commit.

    Parameters
    ----------
    owner : PoolOwner
    """

    __slots__ = ("_owner", "_was_announced")

    def __init__(self, owner):
        self._owner = owner
        self._was_announced = False

    def note_commit(self, seconds):
        """Record the outcome of a commit.

        Parameters
        ----------
        seconds : float or None
            Duration of the commit; None if the store was unavailable.
        """
        owner = self._owner
        if seconds is not None:
            owner.recording.note_commit(seconds)
            owner.host.store_health.note_answer()
        else:
            owner.host.store_health.note_failure()
            owner.recording.note_failure()
            owner.recording.note_outage(owner.ownership_status.is_store_down_for_all())
        self._log_change(seconds)

    def _log_change(self, seconds):
        is_announced = self._owner.recording.is_announced
        if is_announced == self._was_announced:
            return
        self._was_announced = is_announced
        RECORDING_CHANGED.write(
            pool=self._owner.pool,
            is_before_start=not is_announced,
            commit_seconds=None if seconds is None else round(seconds, 4),
        )
