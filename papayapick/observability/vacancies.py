"""Find in logs the times in which a pool had no working owner."""

__all__ = ["Vacancy", "read_vacancies"]

_BEGIN_EVENTS = ("candidate waits", "owner suspected", "pool left")
# A new owner logs the jobs that it reads before it logs that it took the pool.
_OWNER_EVENTS = ("job taken in", "pool taken", "pool settled")


class Vacancy:
    """Hold a span of time in which a pool had no working owner.

    Parameters
    ----------
    pool : str
    begin, end : float
        In Unix seconds.
    is_over : bool
        Whether a host took the pool at ``end``; otherwise the logs end there.
    """

    __slots__ = ("begin", "end", "is_over", "pool")

    def __init__(self, pool, begin, end, is_over):
        self.pool = pool
        self.begin = begin
        self.end = end
        self.is_over = is_over

    @property
    def seconds(self):
        """Return its length in seconds."""
        return self.end - self.begin

    def within(self, begin, end):
        """Return the part between two times, or None if it is empty.

        Returns
        -------
        Vacancy or None
        """
        begin, own_end = max(begin, self.begin), min(end, self.end)
        if own_end <= begin:
            return None
        return Vacancy(self.pool, begin, own_end, self.is_over)


class _VacancyReader:
    """Find the vacancies of one pool from its lines, in order."""

    __slots__ = ("_begin", "_epoch", "_last_owner_line_at", "_pool", "vacancies")

    def __init__(self, pool):
        self.vacancies = []
        self._pool = pool
        # Begin of the open vacancy.
        self._begin = None
        self._epoch = 0
        self._last_owner_line_at = float("-inf")

    def read(self, line):
        """Process one line of the pool."""
        epoch = line.fields.get("epoch", 0)
        if epoch < self._epoch:
            # The host that wrote it did not know of the takeover yet.
            return
        if line.event in _BEGIN_EVENTS:
            self._open(line)
        elif line.event in _OWNER_EVENTS:
            if epoch > self._epoch:
                self.close(line.seconds, is_over=True)
            # With an unchanged epoch the suspected owner is still working.
            self._begin = None
            self._last_owner_line_at = line.seconds
        else:
            return
        self._epoch = epoch

    def close(self, now, is_over):
        """End the open vacancy, if any."""
        if self._begin is not None:
            self.vacancies.append(Vacancy(self._pool, self._begin, now, is_over))
            self._begin = None

    def _open(self, line):
        silent = line.fields.get("silent_seconds", 0.0)
        begin = max(line.seconds - silent, self._last_owner_line_at)
        self._begin = begin if self._begin is None else min(begin, self._begin)


def read_vacancies(lines, pool):
    """Return the times in which a pool had no working owner.

    Parameters
    ----------
    lines : list of Line
        In the order of their times.
    pool : str

    Returns
    -------
    list of Vacancy
        Each begins when the first host that reports it last heard from the owner, or
        when the owner left, and ends when an owner of a higher epoch works or the logs
        end. If an owner of the same epoch works afterwards, the suspicion was false
        and there is no vacancy.
    """
    reader = _VacancyReader(pool)
    for line in lines:
        if line.fields.get("pool") == pool:
            reader.read(line)
    if lines:
        reader.close(lines[-1].seconds, is_over=False)
    return reader.vacancies
