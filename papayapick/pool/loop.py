"""Decide again and again, as reports of workers come and as time passes."""

from papayapick.jobs import RunPhase
from papayapick.pool.settling import QUIET_SECONDS

__all__ = ["DecisionLoop"]

_TICK_SECONDS = 0.1
_STOP_AGAIN_SECONDS = 0.4
# A round that takes longer is followed by a rest of so many times its length.
_LONG_ROUND_SECONDS = 0.005
_REST_FACTOR = 2.0
_FORGET_EVERY_SECONDS = 5.0


class DecisionLoop:
    """Run the rounds of decisions of one owner, as a task of its own.

    Parameters
    ----------
    owner : PoolOwner
    """

    __slots__ = ("_forgotten_at", "_owner", "_ticked_at")

    def __init__(self, owner):
        self._owner = owner
        self._ticked_at = 0.0
        self._forgotten_at = owner.taken_at

    def run(self):
        """Decide until the owner stops."""
        owner = self._owner
        while not owner.is_stopped:
            owner.wait_for_work(_TICK_SECONDS)
            if not owner.may_act():
                owner.pause(_TICK_SECONDS)
                continue
            with owner.lock:
                begin = owner.now()
                self._decide(begin)
                took = owner.now() - begin
            owner.host.broadcast(owner)
            if owner.book.changed:
                owner.journal.wake()
            self._rest_after(took)

    def _decide(self, now):
        if now - self._ticked_at >= _TICK_SECONDS:
            self._ticked_at = now
            self.tick(now)
        # What is placed and can't leave holds room until its ticket is too old: the
        # pool would stand still with hardly a task at work.
        if not self._owner.orders.are_held_up():
            self._owner.decisions.place(now)

    def _rest_after(self, seconds):
        """Leave time for all else after a long round of decisions.

        Each report of a worker asks for a round. With a thousand steps waiting, rounds
        without a pause would take the whole processor and the lock: beats come late,
        and another host takes the pool.
        """
        if seconds > _LONG_ROUND_SECONDS:
            self._owner.pause(min(_REST_FACTOR * seconds, _TICK_SECONDS))

    def tick(self, now):
        """Do what is due by time; the caller holds the lock."""
        owner = self._owner
        owner.book.open_due(owner.host.clock.time(), now)
        owner.settling.note_inventory(now)
        for link in owner.links():
            self._tick_link(link, now)
        owner.advising.ask_ahead(now)
        owner.laggards.replace(now)
        owner.decisions.start_copies(now)
        owner.decisions.preempt(now)
        owner.orders.stop_unneeded()
        if now - self._forgotten_at > _FORGET_EVERY_SECONDS:
            self._forgotten_at = now
            owner.forget_old_jobs(now)

    def _tick_link(self, link, now):
        owner = self._owner
        if link.is_silent and now > max(link.lapse_at, self._lapse_floor(link)):
            owner.lists.mark_runs_lost(link, "lease over")
            if not link.is_listed and owner.settling.is_settled:
                owner.sources.drop_link(link)
            return
        for run in list(owner.rooms.get(link.worker).runs.values()):
            self._tick_run(link, run, now)

    def _lapse_floor(self, link):
        # What an earlier owner started there is under a lease that it gave.
        return 0.0 if link.has_reported else self._owner.taken_at + QUIET_SECONDS

    def _tick_run(self, link, run, now):
        if run.phase == RunPhase.UNSURE:
            run.phase = RunPhase.STOPPING
            run.stop_requested = now
            self._owner.orders.stop(link, run)
        elif (
            run.phase == RunPhase.STOPPING
            and run.stop_confirmed is None
            and now - run.stop_requested > _STOP_AGAIN_SECONDS
        ):
            run.stop_requested = now
            self._owner.orders.stop(link, run)
