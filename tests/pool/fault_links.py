"""Polls of the links to workers in the simulation of faults."""

from papayapick.platform.exceptions import CallFailed, WorkerSilent
from tests.pool.fault_reports import DelayedListener

__all__ = ["PolledLinks"]


class PolledLinks:
    """Let links poll their workers at random intervals.

    Parameters
    ----------
    simulation : FaultSimulation
    """

    def __init__(self, simulation):
        self._simulation = simulation
        self.forget()

    def forget(self):
        """Forget the links of the owner before."""
        self._poll_at = {}
        # Until when links wait for the answer of their last poll.
        self._held_until = {}

    def hold(self, name, seconds):
        """Let the link to a worker make its next poll only after some seconds."""
        self._held_until[name] = self._simulation.now + seconds

    def poll_after(self, name, seconds):
        """Let the link to a worker poll after some seconds, unless it is held."""
        self._poll_at[name] = self._simulation.now + seconds

    def poll_due(self, links):
        """Let all links poll that are due."""
        for link in links:
            name = link.worker
            due_at = max(self._poll_at[name], self._held_until.get(name, 0.0))
            now = self._simulation.now
            if now >= due_at:
                # Counted from before the poll, which may take time.
                self._poll_at[name] = now + self._poll(link)

    def _poll(self, link):
        """Let a link poll once; return the seconds until its next poll."""
        is_delayed = isinstance(link._listener, DelayedListener)
        if is_delayed:
            link._listener.is_polling = True
        try:
            link._poll()
        except WorkerSilent as error:
            link._note_no_answer(error, self._simulation.now)
            return self._simulation.rng.choice([0.4, 1.0])
        except CallFailed as error:
            link._note_refusal(error, self._simulation.now)
            return 0.2
        finally:
            if is_delayed:
                link._listener.is_polling = False
        return self._simulation.rng.choice([0.05, 0.3, 0.6])
