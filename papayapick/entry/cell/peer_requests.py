"""Answer the requests of the other entry hosts."""

from papayapick.entry.cell.forecast_messages import decode_forecast
from papayapick.entry.cell.state_relays import StateForwarder
from papayapick.entry.store.health import LOST_AGE_SECONDS
from papayapick.placement.order.backlog import QueueBacklog
from papayapick.wire.messages import (
    AdviceQuery,
    ConfigurationQuery,
    OwnerQuery,
    PoolBeat,
    PoolBeatAnswer,
    StateBatch,
    StateBatchAnswer,
    StoreCall,
)

__all__ = ["PeerRequestHandler"]


class PeerRequestHandler:
    """Dispatch the messages of other hosts by their type.

    Parameters
    ----------
    host : EntryHost
    candidacies : dict of str to Candidacy
        By pool; grows as pools are configured.
    relay : StoreRelay
    """

    __slots__ = ("_candidacies", "_forwarder", "_host", "_relay")

    def __init__(self, host, candidacies, relay):
        self._host = host
        self._candidacies = candidacies
        self._relay = relay
        self._forwarder = StateForwarder(host)

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
        if isinstance(payload, StateBatch):
            return self._answer_states(payload)
        if isinstance(payload, AdviceQuery):
            return self._host.advice.answer(payload)
        if isinstance(payload, OwnerQuery):
            return self._answer_owner_query(payload)
        if isinstance(payload, ConfigurationQuery):
            return self._host.configuration.exchange.answer(payload)
        if isinstance(payload, StoreCall):
            return self._relay.answer(payload)
        return None

    def note_disconnect(self, peer):
        """Make each candidacy check whether a disconnected host owned its pool.

        Parameters
        ----------
        peer : Hello
        """
        for candidacy in list(self._candidacies.values()):
            candidacy.note_disconnect(peer)

    def _answer_beat(self, beat):
        job_states = self._host.job_states
        candidacy = self._candidacies.get(beat.pool)
        epoch = 0
        # A host that has not read the row of the pool can't tell who owns it. If it
        # reported its store as recently reached, it would confirm a replaced owner.
        age = LOST_AGE_SECONDS
        if candidacy is not None:
            if candidacy.note_beat(beat):
                job_states.note_statuses(*_statuses_and_teams(beat.news))
                self._note_backlogs(beat)
            epoch = candidacy.known_epoch
            if candidacy.has_read_row:
                age = self._host.store_health.reported_age()
        return PoolBeatAnswer(
            epoch=epoch,
            store_age_milliseconds=int(age * 1000),
            clock_milliseconds=int(self._host.clock.monotonic() * 1000),
        )

    def _answer_states(self, batch):
        candidacy = self._candidacies.get(batch.pool)
        if candidacy is None or batch.epoch < candidacy.known_epoch:
            # The states of a replaced owner may be older than those already cached.
            return StateBatchAnswer(missed=batch.hosts)
        self._host.job_states.note_statuses(*_statuses_and_teams(batch.news))
        if not batch.hosts:
            return StateBatchAnswer(missed=[])
        return self._forwarder.forward(batch)

    def _note_backlogs(self, beat):
        now = self._host.clock.monotonic()
        self._host.job_states.note_forecast(
            beat.pool, beat.epoch, decode_forecast(beat, now)
        )
        if not beat.has_read_state:
            # A new owner sends heartbeats before it has read its state. These list
            # no queue, which callers would see as queues without waiting jobs.
            return
        backlogs = {
            one.queue: QueueBacklog(one.waiting, one.retry_after_seconds)
            for one in beat.queue_loads
        }
        self._host.job_states.note_backlogs(
            beat.pool, beat.epoch, backlogs, self._known_at(beat)
        )

    def _known_at(self, beat):
        """Return the time as of which the counts of a heartbeat hold, or None."""
        known_at = beat.known_at_milliseconds / 1000
        # A time in the future was computed for the clock of a machine that this one
        # has replaced. The answer to this heartbeat gives the owner the
        # present clock.
        is_ahead = known_at > self._host.clock.monotonic()
        return None if is_ahead or not known_at else known_at

    def _answer_owner_query(self, query):
        candidacy = self._candidacies.get(query.pool)
        epoch = candidacy.owned_epoch if candidacy is not None else 0
        return PoolBeatAnswer(epoch=epoch, store_age_milliseconds=0)


def _statuses_and_teams(news):
    """Return the statuses and the teams of jobs, each as a dict by job id."""
    statuses = {one.identifier: one.status for one in news}
    return statuses, {one.identifier: one.team for one in news if one.team}
