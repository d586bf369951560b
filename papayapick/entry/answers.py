"""Answer the other entry hosts."""

from papayapick.entry.store_health import LOST_AGE_SECONDS
from papayapick.placement.backlog import QueueBacklog
from papayapick.wire.messages import (
    AdviceQuery,
    OwnerQuery,
    PoolBeat,
    PoolBeatAnswer,
    StoreCall,
)

__all__ = ["PeerAnswers"]


class PeerAnswers:
    """Take the messages of other hosts to the parts that they are for.

    Parameters
    ----------
    host : EntryHost
    candidacies : dict of str to Candidacy
        By pool; grows as pools are configured.
    relay : StoreRelay
    """

    __slots__ = ("_candidacies", "_host", "_relay")

    def __init__(self, host, candidacies, relay):
        self._host = host
        self._candidacies = candidacies
        self._relay = relay

    def answer(self, payload, peer, traceparent):
        """Return the answer to a message, or a future of it.

        Parameters
        ----------
        payload : struct
            One of ``papayapick.wire.messages``.
        peer : Hello
        traceparent : str
        """
        if isinstance(payload, PoolBeat):
            return self._answer_beat(payload)
        if isinstance(payload, AdviceQuery):
            return self._host.advice.answer(payload)
        if isinstance(payload, OwnerQuery):
            return self._answer_owner_query(payload)
        if isinstance(payload, StoreCall):
            return self._relay.answer(payload)
        return None

    def note_end(self, peer):
        """Look whether a host whose connection has ended was an owner.

        Parameters
        ----------
        peer : Hello
        """
        for candidacy in list(self._candidacies.values()):
            candidacy.note_end(peer)

    def _answer_beat(self, beat):
        job_states = self._host.job_states
        candidacy = self._candidacies.get(beat.pool)
        epoch = 0
        # A host that has not read the row yet can't tell who owns the pool: with the
        # age of its word from the store, its answer would confirm a replaced owner.
        age = LOST_AGE_SECONDS
        if candidacy is not None:
            if candidacy.note_beat(beat):
                job_states.note_statuses(
                    {one.identifier: one.status for one in beat.news}
                )
                self._note_backlogs(beat)
            epoch = candidacy.known_epoch
            if candidacy.has_read_row:
                age = self._host.store_health.told_age()
        return PoolBeatAnswer(
            epoch=epoch,
            store_age_milliseconds=int(age * 1000),
            clock_milliseconds=int(self._host.clock.monotonic() * 1000),
        )

    def _note_backlogs(self, beat):
        if not beat.has_read_state:
            # A new owner beats before it has read its state: it names no queue, which
            # would be told to callers as queues in which nothing waits.
            return
        backlogs = {
            one.queue: QueueBacklog(one.waiting, one.retry_after_seconds)
            for one in beat.queue_loads
        }
        self._host.job_states.note_backlogs(
            beat.pool, beat.epoch, backlogs, self._known_at(beat)
        )

    def _known_at(self, beat):
        """Return the time as of which the numbers of a beat are true, or None."""
        known_at = beat.known_at_milliseconds / 1000
        # A machine that took the place of another has another clock; the owner knows
        # it with the answer to this beat.
        is_ahead = known_at > self._host.clock.monotonic()
        return None if is_ahead or not known_at else known_at

    def _answer_owner_query(self, query):
        candidacy = self._candidacies.get(query.pool)
        epoch = candidacy.owned_epoch if candidacy is not None else 0
        return PoolBeatAnswer(epoch=epoch, store_age_milliseconds=0)
