"""Keep advice on which workers may run a step, asked ahead of need."""

from papayapick.observability.logs import get_logger

__all__ = ["AdviceBook"]

_LOG = get_logger(__name__)

# A ticket is used only if it is valid so much longer: an order over the link
# between regions takes up to 50 ms, and may wait for a thread.
_TICKET_SLACK_SECONDS = 0.2
# The advice service takes at most 100 workers in a call.
_WORKERS_PER_CALL = 100
_RETRY_SECONDS = 0.2


class _Advice:
    """Hold what is known of one step."""

    __slots__ = ("asked_at", "is_asked", "known_good", "tickets", "valid_until")

    def __init__(self):
        self.asked_at = 0.0
        self.is_asked = False
        # Which workers are good doesn't change for a step; only tickets age.
        self.known_good = None
        self.tickets = {}
        self.valid_until = 0.0


class AdviceBook:
    """Hold advice by step; its caller holds the owner's lock.

    Parameters
    ----------
    ask : callable
        Called with step key, list of workers and expected seconds; has
        ``note_answer`` or ``note_failure`` called later.
    """

    __slots__ = ("_ask", "_by_step")

    def __init__(self, ask):
        self._ask = ask
        self._by_step = {}

    def tickets(self, key, policy, now):
        """Return the valid tickets of a step by worker, or None.

        Parameters
        ----------
        key : StepKey
        policy : AdvicePolicy
        now : float
        """
        advice = self._by_step.get(key)
        if advice is None or now > advice.valid_until:
            return None
        return advice.tickets

    def known_good(self, key):
        """Return the workers known to be good for a step, or None."""
        advice = self._by_step.get(key)
        return advice.known_good if advice is not None else None

    def want(self, key, policy, candidates, now):
        """Ask for advice on a step unless that is under way.

        Parameters
        ----------
        key : StepKey
        policy : AdvicePolicy
        candidates : list of str
            Workers that could run the step.
        now : float
        """
        advice = self._by_step.setdefault(key, _Advice())
        if advice.is_asked or now < advice.asked_at + _RETRY_SECONDS:
            return
        if advice.known_good is not None:
            candidates = [one for one in candidates if one in advice.known_good]
        if not candidates:
            return
        candidates = candidates[:_WORKERS_PER_CALL]
        advice.is_asked = True
        advice.asked_at = now
        self._ask(key, candidates, policy.expected_seconds(len(candidates)))

    def note_answer(self, key, tickets, policy, now):
        """Keep the tickets that an answer has brought."""
        advice = self._by_step.get(key)
        if advice is None:
            return
        advice.is_asked = False
        advice.tickets = tickets
        if advice.known_good is None:
            advice.known_good = set(tickets)
        advice.valid_until = now + policy.valid_seconds - _TICKET_SLACK_SECONDS

    def note_failure(self, key):
        """Let the step be asked for again."""
        advice = self._by_step.get(key)
        if advice is not None:
            advice.is_asked = False

    def drop_ticket(self, key, worker):
        """Forget a ticket that its worker refused."""
        advice = self._by_step.get(key)
        if advice is not None:
            advice.tickets.pop(worker, None)

    def forget(self, identifier):
        """Drop the steps of a job that is over."""
        for key in [key for key in self._by_step if key.job == identifier]:
            del self._by_step[key]
