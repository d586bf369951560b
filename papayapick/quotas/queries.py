"""Measure of the fairness among teams."""

__all__ = ["fairness_index"]


def fairness_index(shares):
    """Return Jain's fairness index: 1 if all shares are equal, 1/n if one has all.

    Parameters
    ----------
    shares : iterable of float
        Amount that each team received, relative to the amount it was entitled to.

    Examples
    --------
    >>> fairness_index([0.5, 0.5]), fairness_index([1, 0, 0, 0])
    (1.0, 0.25)
    """
    values = list(shares)
    squares = sum(share * share for share in values)
    return sum(values) ** 2 / (len(values) * squares) if squares else 1.0
