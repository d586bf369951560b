"""The loop that runs scheduling rounds, on worker reports and at fixed intervals."""

from papayapick.jobs import RunPhase
from papayapick.pool.metrics import LEFT_OUT
from papayapick.pool.rounds.failures import set_aside_job
from papayapick.pool.takeover.reconciliation import PREDECESSOR_LEASE_SECONDS
from papayapick.pool.workers.events import RUNS_KEPT, WORKER_LEFT_OUT

__all__ = ["DecisionLoop"]

_TICK_SECONDS = 0.1
_STOP_RETRY_SECONDS = 0.4
# A round that takes longer than this is followed by a pause of _PAUSE_FACTOR times its
# duration.
_LONG_ROUND_SECONDS = 0.005
_PAUSE_FACTOR = 2.0
_REMOVAL_INTERVAL_SECONDS = 5.0


class DecisionLoop:
    """Run the scheduling rounds of one owner in a thread of its own.

    Parameters
    ----------
    owner : PoolOwner
    """

    __slots__ = ("_owner", "_removed_at", "_ticked_at")

    def __init__(self, owner):
        self._owner = owner
        self._ticked_at = 0.0
        self._removed_at = owner.taken_at

    def run(self):
        """Run scheduling rounds until the owner is stopped."""
        owner = self._owner
        while not owner.is_stopped:
            owner.wait_for_work(_TICK_SECONDS)
            if not owner.may_act():
                owner.pause(_TICK_SECONDS)
                continue
            with owner.lock:
                begin = owner.now()
                self._run_round(begin)
                took = owner.now() - begin
            owner.host.broadcast(owner)
            if owner.job_registry.changed:
                owner.journal.wake()
            self._pause_after_round(took)

    def _run_round(self, now):
        if now - self._ticked_at >= _TICK_SECONDS:
            self._ticked_at = now
            self.tick(now)
        # A placed task whose start can't be sent reserves room until its ticket
        # expires. Placing more than can be sent would leave the pool nearly idle.
        if not self._owner.orders.is_backlogged():
            self._owner.decisions.place(now)

    def _pause_after_round(self, seconds):
        """Leave processor time and the lock to other threads after a long round.

        Each worker report triggers a round. With a thousand steps waiting, rounds
        without a pause would use the whole processor and hold the lock all the time:
        heartbeats would be late, and another host would take the pool.
        """
        if seconds > _LONG_ROUND_SECONDS:
            self._owner.pause(min(_PAUSE_FACTOR * seconds, _TICK_SECONDS))

    def tick(self, now):
        """Run all periodic actions that are due; the caller holds the lock."""
        owner = self._owner
        owner.rooms.preference.refresh(owner.rooms, now)
        owner.job_registry.open_due(owner.host.clock.time(), now, self._set_aside)
        owner.reconciliation.release_safe_tasks(now)
        for link in owner.links():
            self._tick_link_guarded(link, now)
        owner.advice_manager.prefetch(now)
        owner.run_monitor.replace_slow_runs(now)
        owner.decisions.start_copies(now)
        owner.decisions.preempt(now)
        owner.orders.stop_unneeded()
        if now - self._removed_at > _REMOVAL_INTERVAL_SECONDS:
            self._removed_at = now
            owner.remove_old_jobs(now)

    def _set_aside(self, job):
        set_aside_job(self._owner, job)

    def _tick_link_guarded(self, link, now):
        try:
            self._tick_link(link, now)
        except Exception:
            # One worker must not end the owner, and each next one.
            LEFT_OUT.labels("worker").inc()
            WORKER_LEFT_OUT.write_failure(
                worker=link.worker, epoch=self._owner.row.epoch
            )

    def _tick_link(self, link, now):
        owner = self._owner
        lapse_at = max(link.lease.lapse_at, self._earliest_lapse(link))
        if link.is_silent and now > lapse_at:
            if link.arrivals.is_awaited(lapse_at, now):
                RUNS_KEPT.write(
                    worker=link.worker, reason="lease over", epoch=owner.row.epoch
                )
                return
            owner.lost_runs.mark_lapsed(link, now)
            is_needed = link.is_listed or owner.rooms.get(link.worker).runs
            if not is_needed and owner.reconciliation.is_complete:
                owner.store_sync.drop_link(link)
            return
        for run in list(owner.rooms.get(link.worker).runs.values()):
            self._tick_run(link, run, now)

    def _earliest_lapse(self, link):
        """Return the time before which no run of a silent worker counts as lost.

        Runs that an earlier owner started there hold a lease granted by that owner,
        whose end is unknown until the worker has reported to this one.
        """
        return (
            0.0
            if link.has_reported
            else self._owner.taken_at + PREDECESSOR_LEASE_SECONDS
        )

    def _tick_run(self, link, run, now):
        if run.phase == RunPhase.UNSURE:
            run.phase = RunPhase.STOPPING
            run.stop_requested = now
            self._owner.orders.stop(link, run)
        elif (
            run.phase == RunPhase.STOPPING
            and run.stop_confirmed is None
            and now - run.stop_requested > _STOP_RETRY_SECONDS
        ):
            run.stop_requested = now
            self._owner.orders.stop(link, run)
