"""Journal how durable work ended, until that is settled."""

from papayapick.journal import JournalError
from papayapick.placer.exceptions import OutcomeUnsettled

__all__ = ["journal_outcome"]


def journal_outcome(dispatcher, shard, item, ended):
    """Journal the end of a request or job, then answer those who wait for it.

    Parameters
    ----------
    dispatcher : WorkDesk
    shard : Shard
    item : WorkItem
    ended : Ended
    """
    try:
        entry = shard.journal.append(ended, must_last=True)
    except JournalError as error:
        # A newer owner settles it, from the start that is journaled or from its
        # workers; until then this process can't tell.
        dispatcher.fail_waiters(item, OutcomeUnsettled(cause=error.code))
        return

    def settled(done):
        # An outcome whose write was lost is written again: the work holds no room any
        # more, and nothing else would end it.
        if done.result():
            dispatcher.answer_waiters(item)
        elif not shard.is_closed:
            journal_outcome(dispatcher, shard, item, ended)

    entry.settled.add_done_callback(settled)
