"""Connections to workers: counted, and logged where a worker refuses one."""

from papayapick.clients.connections import Connections
from papayapick.clients.http import HttpPool
from papayapick.exceptions import root_cause
from papayapick.pool.metrics import WORKER_CONNECTIONS
from papayapick.pool.workers.events import CONNECTION_REFUSED

__all__ = ["WorkerConnectionMonitor", "worker_pool"]

_CALL_SECONDS = 1.0
# Idle connections to workers may take this share of the descriptors. The others are for
# calls in progress, callers, the store and other hosts.
_IDLE_DESCRIPTORS_SHARE = 0.25


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
    connections = Connections(max_idle=max_idle, monitor=WorkerConnectionMonitor())
    return HttpPool(_CALL_SECONDS, connections=connections)
