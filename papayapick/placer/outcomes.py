"""Journal the outcomes of durable work."""

from papayapick.journal import JournalError
from papayapick.placer.exceptions import OutcomeUnsettled

__all__ = ["journal_outcome"]


def journal_outcome(dispatcher, shard, item, ended):
    """Journal the outcome of a request or job, then answer the waiting callers.

    A record whose write was lost is appended again while this process owns the
    shard.

    Parameters
    ----------
    dispatcher : WorkDispatcher
    shard : Shard
    item : WorkItem
    ended : Ended
    """
    try:
        entry = shard.journal.append(ended, must_persist=True)
    except JournalError as error:
        # A newer owner determines the outcome from the journaled start or from the
        # workers. This process can't know it.
        dispatcher.fail_waiters(item, OutcomeUnsettled(cause=error.code))
        return

    def settled(done):
        # An outcome whose write was lost is journaled again. The work holds no room
        # by now, so nothing else would end it.
        if done.result():
            dispatcher.answer_waiters(item)
        elif not shard.is_closed:
            journal_outcome(dispatcher, shard, item, ended)

    entry.settled.add_done_callback(settled)
