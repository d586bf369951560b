"""Connections to workers: how many there are, and which ones are kept.

A worker accepts a limited number of connections. A host that loses power closes none of
its own. Those with a call in progress end when its power is back, as the answer of the
worker is reset then; idle ones stay at the worker for good. So the idle connections of
all owners that may have lost power must stay below what the worker accepts, whatever
their number: each owner keeps fewer than the one before, and after some losses none.
"""

from papayapick.clients.connections import Connections
from papayapick.clients.http import HttpPool
from papayapick.exceptions import root_cause
from papayapick.pool.metrics import WORKER_CONNECTIONS
from papayapick.pool.workers.events import CONNECTION_REFUSED

__all__ = [
    "IdleAllowance",
    "WorkerConnectionMonitor",
    "idle_limit",
    "worker_pool",
]

_CALL_SECONDS = 1.0
# Idle connections to workers may take this share of the descriptors. The others are for
# calls in progress, callers, the store and other hosts.
_IDLE_DESCRIPTORS_SHARE = 0.25
# What a worker accepts, where the configuration doesn't say it.
_ACCEPTED = 64
# An owner has at most this many open to one worker: two owners that lost power, and are
# still without it, leave room for the next one.
_MAX_OPEN = _ACCEPTED // 8
# Of what a worker accepts, that all owners together may leave idle.
_MAX_LEFT_SHARE = 0.5
# An owner keeps this part of what is left of them, as its own loss may not be the last.
_KEPT_PART = 8
# The clocks of a worker and of the hosts differ by less than this.
_CLOCK_DIFFERENCE_SECONDS = 10.0
_MILLISECONDS_PER_SECOND = 1000


def idle_limit(losses, born, accepted=_ACCEPTED):
    """Return how many connections for orders to keep idle to a worker.

    Parameters
    ----------
    losses : iterable of float
        When owners that may have lost power were replaced, in Unix seconds.
    born : int or None
        Start of the worker's process in Unix milliseconds: it has no connection that
        was opened before.
    accepted : int, optional
        Number of connections that the worker accepts from all hosts together.

    Returns
    -------
    int

    Examples
    --------
    >>> [idle_limit([0.0] * count, None) for count in (0, 1, 4, 13, 14)]
    [4, 3, 2, 1, 0]
    >>> idle_limit([0.0] * 14, born=60_000)
    4
    >>> [idle_limit([], None, accepted) for accepted in (16, 8)]
    [1, 0]
    """
    since = float("-inf")
    if born is not None:
        since = born / _MILLISECONDS_PER_SECOND - _CLOCK_DIFFERENCE_SECONDS
    left = int(_MAX_LEFT_SHARE * accepted)
    for at in losses:
        if at >= since:
            left -= left // _KEPT_PART
    return left // _KEPT_PART


class IdleAllowance:
    """Tell how many idle connections an owner keeps to one worker.

    Parameters
    ----------
    owner : PoolOwner
    registration : Registration
    """

    __slots__ = ("_owner", "_registration")

    def __init__(self, owner, registration):
        self._owner = owner
        self._registration = registration

    def after_order(self):
        """Return the number to keep after an order; none once the owner stops."""
        if self._owner.is_stopped:
            return 0
        return idle_limit(
            self._owner.row.losses,
            self._registration.born,
            self._accepted(),
        )

    def after_poll(self):
        """Return the number to keep after a poll, which the next one follows soon."""
        return 0 if self._owner.is_stopped else self.after_order() + 1

    def _accepted(self):
        """Return how many connections the worker accepts from all hosts together."""
        configuration = self._owner.host.configuration.current
        if configuration is None:
            return _ACCEPTED
        pool = self._owner.row.pool
        return configuration.accepted_connections.get(pool, _ACCEPTED)


class WorkerConnectionMonitor:
    """Implement ``ConnectionMonitor`` for connections to workers."""

    __slots__ = ()

    def note_opened(self):
        """Count a connection that was opened."""
        WORKER_CONNECTIONS.labels("opened").inc()

    def note_closed(self):
        """Count a connection that was closed."""
        WORKER_CONNECTIONS.labels("closed").inc()

    def note_refused(self, address, is_open, error):
        """Count and log a new connection that was reset before its first answer."""
        WORKER_CONNECTIONS.labels("refused").inc()
        CONNECTION_REFUSED.write(
            address=address, is_open=is_open, error=root_cause(error)
        )


def worker_pool(settings):
    """Return the pool of connections of a host to its workers.

    Parameters
    ----------
    settings : PlatformSettings

    Returns
    -------
    HttpPool
    """
    max_idle = int(_IDLE_DESCRIPTORS_SHARE * settings.descriptor_limit)
    connections = Connections(
        max_idle=max_idle,
        monitor=WorkerConnectionMonitor(),
        max_open=_MAX_OPEN,
        shares_refused=True,
    )
    return HttpPool(_CALL_SECONDS, connections=connections)
