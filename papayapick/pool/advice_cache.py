"""Keep advice on which workers may run a step, asked ahead of need."""

__all__ = ["AdviceCache", "AdviceStatus"]

# A ticket is used only if it is valid so much longer: an order over the link
# between regions takes up to 50 ms, and may wait for a thread.
_TICKET_SLACK_SECONDS = 0.2
# The advice service takes at most 100 workers in a call.
_WORKERS_PER_CALL = 100
_RETRY_SECONDS = 0.2
# A question without an answer for so long is asked again: it may be lost with the host
# that was to ask it. A lasting task whose question is lost once is back within 6 s all
# the same, as its users expect.
_LOST_FACTOR = 2
_LOST_SECONDS = 1.0


class _Advice:
    """Hold what is known of one step."""

    __slots__ = ("asked", "asked_at", "lost_at", "tickets", "unfit", "valid_until")

    def __init__(self):
        self.asked_at = 0.0
        # Workers of the call that is under way; empty where none is.
        self.asked = ()
        # When the call under way counts as lost.
        self.lost_at = 0.0
        # Workers that may not run the step: that doesn't change, only tickets
        # age. Those that came since are in neither set, and are asked about.
        self.unfit = set()
        self.tickets = {}
        self.valid_until = 0.0

    def end_question(self, asked):
        """Note that the question on some workers is over, if it is the newest."""
        if asked is self.asked:
            self.asked = ()


class AdviceStatus:
    """Tell how far the advice on a step is.

    Parameters
    ----------
    advised, unfit : int
        Workers with a valid ticket, and those that may not run the step.
    asked_seconds : float or None
        Since the question under way was asked; None where there is none.
    is_lost : bool
        The question had no answer for longer than it can take.
    """

    __slots__ = ("advised", "asked_seconds", "is_lost", "unfit")

    def __init__(self, advised=0, unfit=0, asked_seconds=None, is_lost=False):
        self.advised = advised
        self.unfit = unfit
        self.asked_seconds = asked_seconds
        self.is_lost = is_lost


class AdviceCache:
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

    def usable_until(self, key):
        """Return when the tickets of a step are too old to be sent; may be never."""
        advice = self._by_step.get(key)
        if advice is None:
            return float("inf")
        return advice.valid_until + _TICKET_SLACK_SECONDS / 2

    def is_answered(self, key):
        """Return whether a question on a step had an answer."""
        advice = self._by_step.get(key)
        return advice is not None and advice.valid_until > 0

    def unfit(self, key):
        """Return the workers known not to be allowed a step."""
        advice = self._by_step.get(key)
        return advice.unfit if advice is not None else frozenset()

    def known_fit(self, key):
        """Return the workers that the last answer named, whatever its age."""
        advice = self._by_step.get(key)
        return advice.tickets if advice is not None else {}

    def valid_seconds(self, key, now):
        """Return how long the tickets of a step can still be used; may be negative."""
        advice = self._by_step.get(key)
        return advice.valid_until - now if advice is not None else float("-inf")

    def status(self, key, now):
        """Return an AdviceStatus of a step."""
        advice = self._by_step.get(key)
        if advice is None:
            return AdviceStatus()
        return AdviceStatus(
            advised=0 if now > advice.valid_until else len(advice.tickets),
            unfit=len(advice.unfit),
            asked_seconds=now - advice.asked_at if advice.asked else None,
            is_lost=bool(advice.asked) and now >= advice.lost_at,
        )

    def request(self, key, policy, candidates, now):
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
        if now < advice.asked_at + _RETRY_SECONDS:
            return
        if advice.asked and now < advice.lost_at:
            return
        candidates = [one for one in candidates if one not in advice.unfit]
        if not candidates:
            return
        candidates = candidates[:_WORKERS_PER_CALL]
        expected = policy.expected_seconds(len(candidates))
        advice.asked = candidates
        advice.asked_at = now
        advice.lost_at = now + _LOST_FACTOR * expected + _LOST_SECONDS
        self._ask(key, candidates, expected)

    def note_answer(self, key, tickets, policy, now, asked=None):
        """Keep the tickets that an answer has brought.

        Parameters
        ----------
        key : StepKey
        tickets : dict of str to str
            By worker.
        policy : AdvicePolicy
        now : float
        asked : list of str, optional
            Workers of the question; those of the newest one where left out. An answer
            to an older one, which counted as lost, says nothing of the others: they
            would be taken for unfit and never asked about again. Told apart by the
            list itself, since most questions on a step name the same workers.
        """
        advice = self._by_step.get(key)
        if advice is None:
            return
        asked = advice.asked if asked is None else asked
        is_late = asked is not advice.asked
        advice.unfit.update(one for one in asked if one not in tickets)
        advice.end_question(asked)
        if is_late and now <= advice.valid_until:
            # A newer answer has come before, on workers that were not known then.
            return
        advice.tickets = tickets
        advice.valid_until = now + policy.valid_seconds - _TICKET_SLACK_SECONDS

    def note_failure(self, key, asked=None):
        """Let the step be asked for again; see ``note_answer``."""
        advice = self._by_step.get(key)
        if advice is not None:
            advice.end_question(advice.asked if asked is None else asked)

    def drop_ticket(self, key, worker):
        """Forget a ticket that its worker refused."""
        advice = self._by_step.get(key)
        if advice is not None:
            advice.tickets.pop(worker, None)

    def forget(self, identifier):
        """Drop the steps of a job that is over."""
        for key in [key for key in self._by_step if key.job == identifier]:
            del self._by_step[key]
