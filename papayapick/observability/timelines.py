"""Put the lines that several hosts wrote about one request in order, and explain it."""

from papayapick.observability.vacancies import read_vacancies

__all__ = ["RequestTimeline"]

# Most telling first: what made a request fail or wait.
_CAUSES = (
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
# Beside those that name the request, these tell what happened around it.
_AROUND = (
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
_MILESTONES = (
    "job accepted",
    "job taken in",
    "step placed",
    "run ended",
    "cancel stored",
    "job ended",
)
_REFUSED = "request refused"
_ACCEPTED = ("job accepted", "job known already")
# The line of the first placement may have been left out.
_PLACED = ("step placed", "run ended", "job ended")


class RequestTimeline:
    """Hold what the logs say of one request.

    Parameters
    ----------
    request_id : str
    lines : list of Line
        In order.

    Attributes
    ----------
    request_lines : list of Line
        Those that name the request.
    pool : str or None
        None where no line tells it.
    """

    __slots__ = ("_lines", "request_lines", "pool", "request_id")

    def __init__(self, request_id, lines):
        self.request_id = request_id
        self._lines = lines
        self.request_lines = [line for line in lines if line.mentions(request_id)]
        named = (line.fields.get("pool") for line in self.request_lines)
        self.pool = next(filter(None, named), None)

    @property
    def status(self):
        """Return what became of the request, as far as the logs tell."""
        ended = self._last("job ended")
        if ended is not None:
            return ended.fields["status"]
        if any(line.event in _ACCEPTED for line in self.request_lines):
            return "accepted"
        return "refused" if self._last(_REFUSED) is not None else "unknown"

    @property
    def _placed(self):
        found = [line for line in self.request_lines if line.event in _PLACED]
        return found[0] if found else None

    @property
    def _is_unplaced(self):
        return self.status == "accepted" and self._placed is None

    def vacancies(self):
        """Return when its pool had no working owner before it was first placed.

        Returns
        -------
        list of Vacancy
            Their parts after its acceptance; none where no line tells of any.
        """
        accepted = [line for line in self.request_lines if line.event in _ACCEPTED]
        if self.pool is None or not accepted:
            return []
        end = (self._placed or self._lines[-1]).seconds
        # Whoever placed it was an owner at work: a vacancy that would last beyond its
        # placement was suspected wrongly.
        parts = [
            vacancy.within(accepted[0].seconds, end)
            for vacancy in read_vacancies(self._lines, self.pool)
            if vacancy.end <= end
        ]
        return [part for part in parts if part is not None]

    def context_lines(self):
        """Return the lines that tell of its surroundings.

        Returns
        -------
        list of Line
            Between its first and last; of one that was accepted and is not placed,
            until the end of the logs.
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
            if line.event in _AROUND
            and first <= line.seconds <= last
            and not line.mentions(self.request_id)
            and not self._is_of_another_pool(line)
        ]

    def deciding(self):
        """Return the line that decided the outcome or the longest wait, or None.

        Returns
        -------
        Line or None
            Of a refused request its last refusal; of a failed job the failure that
            reached the limit; of a cancelled one its cancellation. Of any other job
            the most telling line within the longest time between two of its steps,
            or from the last one to the end of the logs while it is not placed.
        """
        if not self.request_lines:
            return None
        status = self.status
        if status == "refused":
            return self._last(_REFUSED)
        if status == "failed":
            return self._last_failure() or self.request_lines[-1]
        if status == "cancelled":
            return self._last("cancel stored") or self._last("job ended")
        return self._cause_of_longest_wait()

    def _is_of_another_pool(self, line):
        named = line.fields.get("pool")
        return None not in (named, self.pool) and named != self.pool

    def _last(self, event):
        found = [line for line in self.request_lines if line.event == event]
        return found[-1] if found else None

    def _last_failure(self):
        failures = [
            line
            for line in self.request_lines
            if line.event == "run ended" and line.fields.get("outcome") == "failed"
        ]
        # Others of its tasks may fail after the one that decided.
        for line in failures:
            if line.fields["failures"] >= line.fields["failure_limit"]:
                return line
        return failures[-1] if failures else None

    def _cause_of_longest_wait(self):
        stages = [line for line in self.request_lines if line.event in _MILESTONES]
        if self._is_unplaced:
            # It waits on after its last line.
            stages.append(self._lines[-1])
        if len(stages) < 2:
            return self.request_lines[-1]
        waits = [
            (after.seconds - before.seconds, before, after)
            for before, after in zip(stages, stages[1:], strict=False)
        ]
        _, before, after = max(waits, key=lambda wait: wait[0])
        within = [
            line
            for line in [*self.request_lines, *self.context_lines()]
            if before.seconds <= line.seconds <= after.seconds
        ]
        for event in _CAUSES:
            for line in within:
                if line.event == event:
                    return line
        return after if after in self.request_lines else self.request_lines[-1]
