"""Explain a request from the log lines of several hosts."""

from papayapick.observability.vacancies import read_vacancies

__all__ = ["RequestTimeline"]

# Events that explain a failure or a wait, the most specific first.
_CAUSE_EVENTS = (
    "runs lost with their worker",
    "start unanswered",
    "run ended",
    "run replaced",
    "stopped for an urgent task",
    "step waits",
    "start refused",
    "no advice",
    "write unsettled",
    "pool taken",
    "pool not taken",
    "owner suspected",
    "candidate waits",
    "commit put off",
    "store lost",
)
# Events that do not name a request but may explain its wait.
_CONTEXT_EVENTS = (
    "pool taken",
    "pool left",
    "pool settled",
    "pool not taken",
    "owner suspected",
    "candidate waits",
    "store lost",
    "store found again",
    "recording changed",
    "commit put off",
    "worker silent",
)
_MILESTONE_EVENTS = (
    "job accepted",
    "job taken in",
    "step placed",
    "run ended",
    "cancel stored",
    "job ended",
)
_REFUSED_EVENT = "request refused"
# It says by which forecast a job was refused; the codes of such refusals follow.
_JOB_REFUSED_EVENT = "job refused"
_JOB_REFUSED_CODES = ("entry.too-late", "entry.beyond-rate")
_ACCEPTED_EVENTS = ("job accepted", "job known already")
# Events that show that a request was placed; the line of its first placement may have
# been dropped.
_PLACED_EVENTS = ("step placed", "run ended", "job ended")


class RequestTimeline:
    """Hold the log lines that concern one request.

    Parameters
    ----------
    request_id : str
    lines : list of Line
        Of all requests, in the order of their times.

    Attributes
    ----------
    request_lines : list of Line
        The lines that name the request.
    pool : str or None
        None if no line names it.
    """

    __slots__ = ("_lines", "pool", "request_id", "request_lines")

    def __init__(self, request_id, lines):
        self.request_id = request_id
        self._lines = lines
        self.request_lines = [line for line in lines if line.mentions(request_id)]
        pools = (line.fields.get("pool") for line in self.request_lines)
        self.pool = next(filter(None, pools), None)

    @property
    def status(self):
        """Return the status of the request as far as the logs show it."""
        ended = self._last("job ended")
        if ended is not None:
            return ended.fields["status"]
        if any(line.event in _ACCEPTED_EVENTS for line in self.request_lines):
            return "accepted"
        return "refused" if self._last(_REFUSED_EVENT) is not None else "unknown"

    @property
    def _first_placed(self):
        found = [line for line in self.request_lines if line.event in _PLACED_EVENTS]
        return found[0] if found else None

    @property
    def _is_unplaced(self):
        return self.status == "accepted" and self._first_placed is None

    def vacancies(self):
        """Return the times before its first placement without a working owner.

        Returns
        -------
        list of Vacancy
            Of the request's pool, from its acceptance on; empty if the logs show none.
        """
        accepted = [
            line for line in self.request_lines if line.event in _ACCEPTED_EVENTS
        ]
        if self.pool is None or not accepted:
            return []
        end = (self._first_placed or self._lines[-1]).seconds
        # The placement shows that an owner was working, so a vacancy that lasts beyond
        # it was a false suspicion.
        parts = [
            vacancy.within(accepted[0].seconds, end)
            for vacancy in read_vacancies(self._lines, self.pool)
            if vacancy.end <= end
        ]
        return [part for part in parts if part is not None]

    def context_lines(self):
        """Return the lines on owners and store during the request.

        Returns
        -------
        list of Line
            Between its first and its last line, or until the end of the logs if it
            was accepted and is not placed.
        """
        if not self.request_lines:
            return []
        first = self.request_lines[0].seconds
        last = (
            self._lines[-1].seconds
            if self._is_unplaced
            else self.request_lines[-1].seconds
        )
        return [
            line
            for line in self._lines
            if line.event in _CONTEXT_EVENTS
            and first <= line.seconds <= last
            and not line.mentions(self.request_id)
            and not self._is_of_another_pool(line)
        ]

    def deciding(self):
        """Return the line that decided the outcome or explains the longest wait.

        Returns
        -------
        Line or None
            The last refusal of a refused request, or the line that tells by which
            forecast its job was refused, the failure that reached the limit
            of a failed job, or the cancellation of a cancelled one. For any other job,
            the line of the most specific cause within the longest time between two of
            its milestones, or from the last one to the end of the logs while it is not
            placed. None if no line names the request.
        """
        if not self.request_lines:
            return None
        status = self.status
        if status == "refused":
            return self._refusal()
        if status == "failed":
            return self._last_failure() or self.request_lines[-1]
        if status == "cancelled":
            return self._last("cancel stored") or self._last("job ended")
        return self._cause_of_longest_wait()

    def _is_of_another_pool(self, line):
        pool = line.fields.get("pool")
        return None not in (pool, self.pool) and pool != self.pool

    def _refusal(self):
        refused = self._last(_REFUSED_EVENT)
        if refused.fields.get("code") in _JOB_REFUSED_CODES:
            return self._last(_JOB_REFUSED_EVENT) or refused
        return refused

    def _last(self, event):
        found = [line for line in self.request_lines if line.event == event]
        return found[-1] if found else None

    def _last_failure(self):
        failures = [
            line
            for line in self.request_lines
            if line.event == "run ended" and line.fields.get("outcome") == "failed"
        ]
        # Other tasks may fail after the one that reached the limit.
        for line in failures:
            if line.fields["failures"] >= line.fields["failure_limit"]:
                return line
        return failures[-1] if failures else None

    def _cause_of_longest_wait(self):
        milestones = [
            line for line in self.request_lines if line.event in _MILESTONE_EVENTS
        ]
        if self._is_unplaced:
            # It still waits at the end of the logs.
            milestones.append(self._lines[-1])
        if len(milestones) < 2:
            return self.request_lines[-1]
        waits = [
            (after.seconds - before.seconds, before, after)
            for before, after in zip(milestones, milestones[1:], strict=False)
        ]
        _, before, after = max(waits, key=lambda wait: wait[0])
        within = [
            line
            for line in [*self.request_lines, *self.context_lines()]
            if before.seconds <= line.seconds <= after.seconds
        ]
        for event in _CAUSE_EVENTS:
            for line in within:
                if line.event == event:
                    return line
        return after if after in self.request_lines else self.request_lines[-1]
