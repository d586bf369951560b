"""Cache of the advice service's answers: which workers may run a step."""

import itertools

__all__ = ["AdviceCache", "AdviceStatus"]

# A ticket is used only if it remains valid for this long: an order over the link
# between regions takes up to 50 ms, and may first wait for a thread.
_TICKET_SLACK_SECONDS = 0.2
# The advice service accepts at most 100 workers in a call.
_WORKERS_PER_CALL = 100
_RETRY_SECONDS = 0.2
# A request that is unanswered for _LOST_FACTOR times its expected duration plus
# _LOST_SECONDS is sent again, as the host that was to call the advice service may have
# failed. A lasting task for which one request is lost still starts within 6 s, as its
# users expect.
_LOST_FACTOR = 2
_LOST_SECONDS = 1.0


class _Advice:
    """Hold the tickets for one step and its request in progress."""

    __slots__ = (
        "changed",
        "lost_at",
        "pending",
        "requested_at",
        "tickets",
        "unfit",
        "valid_until",
    )

    def __init__(self):
        self.requested_at = 0.0
        # Workers of the request in progress; empty if there is none.
        self.pending = ()
        # Time at which the request in progress counts as lost.
        self.lost_at = 0.0
        # Workers that may not run the step. That is permanent, while tickets expire.
        # Workers that joined later are neither here nor in tickets, so that the next
        # request includes them.
        self.unfit = set()
        # Workers of the request in progress that have become of another kind since.
        self.changed = set()
        self.tickets = {}
        self.valid_until = 0.0

    def end_request(self, requested):
        """Clear the request in progress if it is the one on the list ``requested``."""
        if requested is self.pending:
            self.pending = ()


class AdviceStatus:
    """State of the advice on a step, for the log.

    Parameters
    ----------
    advised, unfit : int
        Number of workers with a valid ticket, and of those that may not run the step.
    asked_seconds : float or None
        Age of the request in progress; None if there is none.
    is_lost : bool
        Whether that request is unanswered for longer than an answer can take.
    """

    __slots__ = ("advised", "asked_seconds", "is_lost", "unfit")

    def __init__(self, advised=0, unfit=0, asked_seconds=None, is_lost=False):
        self.advised = advised
        self.unfit = unfit
        self.asked_seconds = asked_seconds
        self.is_lost = is_lost


class AdviceCache:
    """Cache advice by step; the caller of every method holds the owner's lock.

    Parameters
    ----------
    ask : callable
        Called with step key, list of workers and expected seconds. Must cause a later
        call of ``note_answer`` or ``note_failure``.
    """

    __slots__ = ("_ask", "_by_step", "_changes")

    def __init__(self, ask):
        self._ask = ask
        self._by_step = {}
        self._changes = set()

    def take_changes(self):
        """Return the keys of the steps with a new answer or failure, and forget them.

        Returns
        -------
        set of StepKey
        """
        changes, self._changes = self._changes, set()
        return changes

    def tickets(self, key, policy, now):
        """Return the valid tickets of a step by worker, or None if there are none.

        Parameters
        ----------
        key : StepKey
        policy : AdvicePolicy
        now : float

        Returns
        -------
        dict of str to str or None
            Empty if no worker may run the step.
        """
        advice = self._by_step.get(key)
        if advice is None or now > advice.valid_until:
            return None
        return advice.tickets

    def usable_until(self, key):
        """Return the time after which a step's tickets must not be sent; may be inf."""
        advice = self._by_step.get(key)
        if advice is None:
            return float("inf")
        return advice.valid_until + _TICKET_SLACK_SECONDS / 2

    def is_answered(self, key):
        """Return whether a request on a step has ever been answered."""
        advice = self._by_step.get(key)
        return advice is not None and advice.valid_until > 0

    def unfit(self, key):
        """Return the workers that are known to be barred from a step."""
        advice = self._by_step.get(key)
        return advice.unfit if advice is not None else frozenset()

    def last_tickets(self, key):
        """Return the tickets of the last answer by worker, also expired ones."""
        advice = self._by_step.get(key)
        return advice.tickets if advice is not None else {}

    def valid_seconds(self, key, now):
        """Return for how many seconds a step's tickets are usable; may be negative."""
        advice = self._by_step.get(key)
        return advice.valid_until - now if advice is not None else float("-inf")

    def status(self, key, now):
        """Return the AdviceStatus of a step."""
        advice = self._by_step.get(key)
        if advice is None:
            return AdviceStatus()
        return AdviceStatus(
            advised=0 if now > advice.valid_until else len(advice.tickets),
            unfit=len(advice.unfit),
            asked_seconds=now - advice.requested_at if advice.pending else None,
            is_lost=bool(advice.pending) and now >= advice.lost_at,
        )

    def may_request(self, key, now):
        """Return whether advice on a step may be requested now.

        It may not while a request is in progress, or just after one.
        """
        advice = self._by_step.get(key)
        if advice is None:
            return True
        if now < advice.requested_at + _RETRY_SECONDS:
            return False
        return not advice.pending or now >= advice.lost_at

    def request(self, key, policy, candidates, now):
        """Request advice on a step, unless ``may_request`` rules it out.

        Workers that are known to be barred from the step are left out, as are those
        beyond the limit of one call.

        Parameters
        ----------
        key : StepKey
        policy : AdvicePolicy
        candidates : iterable of str
            Workers that could run the step, the most useful first. Only as many are
            taken from it as one call accepts.
        now : float
        """
        if not self.may_request(key, now):
            return
        advice = self._by_step.setdefault(key, _Advice())
        useful = (one for one in candidates if one not in advice.unfit)
        candidates = list(itertools.islice(useful, _WORKERS_PER_CALL))
        if not candidates:
            return
        expected = policy.expected_seconds(len(candidates))
        advice.pending = candidates
        advice.changed = set()
        advice.requested_at = now
        advice.lost_at = now + _LOST_FACTOR * expected + _LOST_SECONDS
        self._ask(key, candidates, expected)

    def note_answer(self, key, tickets, policy, now, requested=None):
        """Store the tickets of an answer.

        Parameters
        ----------
        key : StepKey
        tickets : dict of str to str
            By worker.
        policy : AdvicePolicy
        now : float
        requested : list of str, optional
            Workers of the request, as the list object that was passed to ``ask``; by
            default those of the request in progress. An answer to an older request,
            which counted as lost, says nothing about other workers: they would be
            recorded as unfit and never asked about again. Requests are compared by
            identity, since most requests on a step list the same workers.
        """
        advice = self._by_step.get(key)
        if advice is None:
            return
        self._changes.add(key)
        requested = advice.pending if requested is None else requested
        is_late = requested is not advice.pending
        # The answer may be about their earlier kind.
        tickets = {one: tickets[one] for one in tickets if one not in advice.changed}
        known = (one for one in requested if one not in advice.changed)
        advice.unfit.update(one for one in known if one not in tickets)
        advice.end_request(requested)
        if is_late and now <= advice.valid_until:
            # A newer request, which may include workers that joined later, was
            # answered first; its tickets are kept.
            return
        advice.tickets = tickets
        advice.valid_until = now + policy.valid_seconds - _TICKET_SLACK_SECONDS

    def note_failure(self, key, requested=None):
        """Allow a new request on a step after one failed; see ``note_answer``."""
        advice = self._by_step.get(key)
        if advice is not None:
            self._changes.add(key)
            advice.end_request(advice.pending if requested is None else requested)

    def drop_ticket(self, key, worker):
        """Remove a ticket that its worker refused."""
        advice = self._by_step.get(key)
        if advice is not None:
            self._changes.add(key)
            advice.tickets.pop(worker, None)

    def forget_worker(self, worker):
        """Remove all advice on a worker that is of another kind now."""
        for key, advice in self._by_step.items():
            if worker in advice.pending:
                advice.changed.add(worker)
            if worker in advice.unfit or worker in advice.tickets:
                self._changes.add(key)
                advice.unfit.discard(worker)
                advice.tickets.pop(worker, None)

    def forget(self, identifier):
        """Remove the advice on all steps of a job."""
        for key in [key for key in self._by_step if key.job == identifier]:
            del self._by_step[key]
