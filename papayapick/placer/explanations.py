"""Explain why durable work waits, or where it was placed."""

import json

from papayapick.journal.work import ENDED, RUNNING
from papayapick.ledger import Amounts

__all__ = ["Reason", "explain", "reasons_as_text"]


class Reason:
    """Represent one reason for the state of a request.

    Parameters
    ----------
    code : str
        Stable code for programs, such as ``waits.for-room``.
    text : str
        Explanation for people.
    """

    __slots__ = ("code", "text")

    def __init__(self, code, text):
        self.code = code
        self.text = text

    def as_mapping(self):
        """Return the reason as a mapping for JSON."""
        return {"code": self.code, "text": self.text}


def reasons_as_text(reasons):
    """Return reasons as the JSON list that a ``WorkState`` carries."""
    return json.dumps([reason.as_mapping() for reason in reasons])


def explain(shard, item):
    """Return the reasons for the state of a request.

    Parameters
    ----------
    shard : Shard
        State of the shard at its owner.
    item : WorkItem

    Returns
    -------
    list of Reason
        At least one.
    """
    if item.state == ENDED:
        ended = item.ended
        text = f"{ended.outcome}" + (f" by {ended.detail}" if ended.detail else "")
        return [Reason("ended." + ended.outcome.replace("_", "-"), text)]
    if item.state == RUNNING:
        return [_placed(item, place) for place in item.started.places]
    return _shard_reasons(shard) + _capacity_reasons(shard, item)


def _placed(item, place):
    text = f"attempt {item.attempts} on {place['host']}"
    return Reason("placed.on", text)


def _shard_reasons(shard):
    reasons = []
    if shard.is_closed:
        reasons.append(
            Reason("waits.shard-closed", f"{shard.name} is being handed over")
        )
    if shard.needs_confirmation:
        text = "the owner's process was paused and has to confirm its ownership"
        reasons.append(Reason("waits.ownership-unconfirmed", text))
    if not shard.journal.is_available:
        text = "the table does not answer, so no start can be recorded"
        reasons.append(Reason("waits.journal-unavailable", text))
    return reasons


def _capacity_reasons(shard, item):
    if item.accepted.job:
        return [
            _room_reason(shard, item.accepted.job),
            *_reservation_reasons(shard, item),
        ]
    loads = {load.service: load for load in shard.slot_allocator.loads()}
    load = loads.get(item.accepted.name)
    if load is None:
        text = f"{shard.name} has no instance; a slot of another shard is requested"
        return [Reason("waits.no-instance", text)]
    text = f"{load.free_slots} slots free here, {load.waiting} requests in the queue"
    return [Reason("waits.for-slot", text)]


def _room_reason(shard, job):
    demand = Amounts.from_mapping(job["demand"])
    if not shard.hosts.could_hold(demand):
        text = f"no host of {shard.name} is large enough for {demand}"
        return Reason("waits.never-fits-shard", text)
    hosts = [name for name in shard.hosts.names if shard.hosts.is_open(name)]
    fitting = sum(demand.fits_in(shard.hosts.free(name)) for name in hosts)
    text = (
        f"{job['members']} members need {demand} each; {fitting} of {len(hosts)} "
        "open hosts have room for one member now"
    )
    return Reason("waits.for-room", text)


def _reservation_reasons(shard, item):
    promised = shard.jobs.promised
    if promised is None:
        return []
    if promised == item.request_id:
        return [Reason("waits.promised", "room is reserved; no other job delays it")]
    text = f"room is reserved for {promised}; other jobs must not delay it"
    return [Reason("waits.behind-promise", text)]
