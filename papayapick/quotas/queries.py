"""Measure how evenly teams are served."""

__all__ = ["fairness_index"]


def fairness_index(shares):
    """Return Jain's index of shares: 1 where all are equal, 1/n for one alone.

    Parameters
    ----------
    shares : iterable of float
        What each got, as a share of what was due to it.

    Examples
    --------
    >>> fairness_index([0.5, 0.5]), fairness_index([1, 0, 0, 0])
    (1.0, 0.25)
    """
    found = list(shares)
    squares = sum(share * share for share in found)
    return sum(found) ** 2 / (len(found) * squares) if squares else 1.0
