"""Teams: who calls, how much is owed to them, and what they may have running."""

import hashlib
import hmac

__all__ = ["Team", "TeamDirectory", "key_digest"]


def key_digest(key):
    """Return the digest under which a key is stored and looked up.

    Keys themselves are not kept, so that none can reach a log, an error or a row.

    Parameters
    ----------
    key : str

    Returns
    -------
    bytes
    """
    return hashlib.sha256(key.encode("utf-8", "surrogateescape")).digest()


class Team:
    """Describe one team of a configuration.

    Parameters
    ----------
    name : str
    key_digests : iterable of bytes
        Digests of the keys with which its callers identify themselves. Several keys
        are valid at the same time while they are exchanged.
    jobs_per_second : float
        Rate of jobs that is owed to the team; 0 if none is.
    maximum : dict of str to int
        Amounts that the team may have running at the same time; an amount that is
        missing is not limited.
    """

    __slots__ = ("jobs_per_second", "key_digests", "maximum", "name")

    def __init__(self, name, key_digests=(), jobs_per_second=0.0, maximum=None):
        self.name = name
        self.key_digests = frozenset(key_digests)
        self.jobs_per_second = jobs_per_second
        self.maximum = maximum or {}


class TeamDirectory:
    """Find the teams of one configuration by name and by key.

    Parameters
    ----------
    teams : iterable of Team

    Examples
    --------
    >>> teams = TeamDirectory([Team("accounts", [key_digest("k1")])])
    >>> teams.find_by_key("k1").name
    'accounts'
    >>> teams.find_by_key("k2") is None
    True
    """

    __slots__ = ("_by_digest", "_by_name")

    def __init__(self, teams=()):
        self._by_name = {team.name: team for team in teams}
        self._by_digest = {
            digest: team
            for team in self._by_name.values()
            for digest in team.key_digests
        }

    def __iter__(self):
        return iter(self._by_name.values())

    def __len__(self):
        return len(self._by_name)

    def get(self, name):
        """Return the team of a name, or None."""
        return self._by_name.get(name)

    def find_by_key(self, key):
        """Return the team to which a key belongs, or None.

        The time that the search takes depends on digests only. A comparison of the
        keys would take longer the more of its first characters are right, which helps
        to guess one.

        Parameters
        ----------
        key : str
        """
        digest = key_digest(key)
        team = self._by_digest.get(digest)
        if team is None:
            return None
        is_known = any(hmac.compare_digest(digest, known) for known in team.key_digests)
        return team if is_known else None
