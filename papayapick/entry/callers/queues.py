"""Look up the queues of jobs, including queues that are no longer configured."""

from papayapick.jobs.queues import Queue

__all__ = ["KnownQueues"]


class KnownQueues:
    """Hold each queue as last configured since this process started."""

    __slots__ = ("_queues",)

    def __init__(self):
        self._queues = {}

    def update(self, configuration):
        """Add or replace the queues of a configuration and keep all others."""
        self._queues.update(configuration.queues)

    def queue_of(self, document):
        """Return the queue of a job, as last configured.

        If the queue was removed before this process started, or was added by a version
        that this process has not read yet, it is built from the policy in the job.
        """
        queue = self._queues.get(document.queue)
        if queue is not None:
            return queue
        return Queue.from_policy(document.queue, document.pool, document.policy)
