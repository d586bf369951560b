"""Tell from logs for how long a pool had no working owner."""

__all__ = ["Vacancy", "read_vacancies"]

_BEGINS = ("candidate waits", "owner suspected", "pool left")
# A new owner takes in the jobs that it reads before it writes that it took the pool.
_OWNER_WORKS = ("job taken in", "pool taken", "pool settled")


class Vacancy:
    """Hold a span of time in which no owner worked for a pool.

    Parameters
    ----------
    pool : str
    begin, end : float
        As the seconds of lines.
    is_over : bool
        Whether a host took the pool at its end; else the logs end there.
    """

    __slots__ = ("begin", "end", "is_over", "pool")

    def __init__(self, pool, begin, end, is_over):
        self.pool = pool
        self.begin = begin
        self.end = end
        self.is_over = is_over

    @property
    def seconds(self):
        """Return its length."""
        return self.end - self.begin

    def within(self, begin, end):
        """Return the part between two times, or None where there is none.

        Returns
        -------
        Vacancy or None
        """
        begin, own_end = max(begin, self.begin), min(end, self.end)
        if own_end <= begin:
            return None
        return Vacancy(self.pool, begin, own_end, self.is_over)


class _Reader:
    """Follow the lines about the owner of one pool."""

    __slots__ = ("_begin", "_epoch", "_pool", "_worked_at", "vacancies")

    def __init__(self, pool):
        self.vacancies = []
        self._pool = pool
        # Of the vacancy that goes on.
        self._begin = None
        self._epoch = 0
        self._worked_at = float("-inf")

    def take(self, line):
        """Take in one line of the pool."""
        epoch = line.fields.get("epoch", 0)
        if epoch < self._epoch:
            # Of a host that has not heard yet who took the pool.
            return
        if line.event in _BEGINS:
            self._open(line)
        elif line.event in _OWNER_WORKS:
            if epoch > self._epoch:
                self.close(line.seconds, is_over=True)
            # Else the owner that was missed is at work.
            self._begin = None
            self._worked_at = line.seconds
        else:
            return
        self._epoch = epoch

    def close(self, now, is_over):
        """End the vacancy that goes on, if there is one."""
        if self._begin is not None:
            self.vacancies.append(Vacancy(self._pool, self._begin, now, is_over))
            self._begin = None

    def _open(self, line):
        silent = line.fields.get("silent_seconds", 0.0)
        begin = max(line.seconds - silent, self._worked_at)
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
        Each from when the first host that writes of it heard no owner any more, or
        the owner left, until one of a higher epoch works or the logs end. An owner of
        the same epoch that works afterwards was suspected wrongly.
    """
    reader = _Reader(pool)
    for line in lines:
        if line.fields.get("pool") == pool:
            reader.take(line)
    if lines:
        reader.close(lines[-1].seconds, is_over=False)
    return reader.vacancies
