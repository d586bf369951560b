"""How long a worker may hold back its answer to a poll until a run ends."""

__all__ = ["poll_seconds"]

# A long poll returns when a run ends, or after this time at the latest. It also bounds
# the interval between lease renewals.
_POLL_SECONDS = 0.6
_POLL_PACED_SECONDS = 0.4
_POLL_STALLED_SECONDS = 0.3
# While the worker refuses new connections, its orders wait for the one that polls it.
_POLL_SHARED_SECONDS = 0.1


def poll_seconds(link, listener):
    """Return the longest time for which a worker is to wait for the end of a run.

    Parameters
    ----------
    link : WorkerLink
    listener : LinkListener

    Returns
    -------
    float
        In seconds; 0 if it is to answer at once.
    """
    if link.lease.reading is None or link.is_silent:
        return 0.0
    if link.read > link.acknowledged:
        return 0.0
    if link.client.is_refused:
        return _POLL_SHARED_SECONDS
    if listener.needs_pacing(link):
        return _POLL_PACED_SECONDS
    if listener.may_have_stalled_run(link):
        return _POLL_STALLED_SECONDS
    return _POLL_SECONDS
