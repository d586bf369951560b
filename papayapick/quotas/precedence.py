"""Which of the teams that are owed jobs goes first while room is short.

Load pattern: several large teams fill the pool within their rates, and a small one
finds no room though it uses little of its maximum.
"""

import enum

__all__ = ["Precedence", "team_precedence"]

_LOW_SHARE = 0.5


class Precedence(enum.IntEnum):
    """Classes of teams; a lower one goes first."""

    UNDER_HALF = 0
    UNDER_SHARE = 1
    ABOVE_SHARE = 2


def team_precedence(used, fair):
    """Return the class of a team.

    Few classes keep the order by deadline among teams that are served alike, and a team
    under half its share is never behind one above its share.

    Parameters
    ----------
    used : float
        Share of its maximum that the team uses, by dominant resource; see
        ``TeamUsage.ratio``.
    fair : float
        Mean of these shares over the teams that have work.

    Returns
    -------
    Precedence

    Examples
    --------
    >>> [team_precedence(used, 0.4).name for used in (0.1, 0.3, 0.4, 0.9)]
    ['UNDER_HALF', 'UNDER_SHARE', 'UNDER_SHARE', 'ABOVE_SHARE']
    """
    if used > fair:
        return Precedence.ABOVE_SHARE
    return Precedence.UNDER_HALF if used < _LOW_SHARE * fair else Precedence.UNDER_SHARE
