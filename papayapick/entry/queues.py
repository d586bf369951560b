"""Know the queues of jobs, those that are configured no more too."""

from papayapick.jobs.queues import Queue

__all__ = ["KnownQueues"]


class KnownQueues:
    """Hold each queue as it was last configured in the life of this process."""

    __slots__ = ("_queues",)

    def __init__(self):
        self._queues = {}

    def note(self, configuration):
        """Take in the queues of a configuration; others stay as they were."""
        self._queues.update(configuration.queues)

    def queue_of(self, document):
        """Return the queue of a job, as last configured.

        Of a queue that was removed before this process started, or that was added by a
        version that has not come here yet, nothing is known but what the job says.
        """
        found = self._queues.get(document.queue)
        if found is not None:
            return found
        return Queue.from_policy(document.queue, document.pool, document.policy)
