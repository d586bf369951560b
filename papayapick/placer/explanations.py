"""Explain why durable work waits, or where it was placed."""

import json

from papayapick.journal.work import ENDED, RUNNING
from papayapick.ledger import Amounts

__all__ = ["Reason", "explain", "reasons_as_text"]


class Reason:
    """Hold one reason for the state of a request.

    Parameters
    ----------
    code : str
        Stable, such as ``waits.no-room``.
    text : str
        For people.
    """

    __slots__ = ("code", "text")

    def __init__(self, code, text):
        self.code = code
        self.text = text

    def as_mapping(self):
        """Return the reason for programs."""
        return {"code": self.code, "text": self.text}


def reasons_as_text(reasons):
    """Return reasons as the JSON list that a ``WorkState`` carries."""
    return json.dumps([reason.as_mapping() for reason in reasons])


def explain(shard, item):
    """Return the reasons for the state of a request.

    Parameters
    ----------
    shard : Shard
        The shard as its owner holds it.
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
    return _hindrances(shard) + _shortage(shard, item)


def _placed(item, place):
    text = f"attempt {item.attempts} on {place['host']}"
    return Reason("placed.on", text)


def _hindrances(shard):
    found = []
    if shard.is_closed:
        found.append(Reason("waits.shard-closed", f"{shard.name} is handed over"))
    if shard.needs_confirmation:
        text = "its owner was paused and confirms its ownership first"
        found.append(Reason("waits.ownership-unconfirmed", text))
    if not shard.journal.is_available:
        text = "the table does not answer, so that no start can be recorded"
        found.append(Reason("waits.journal-unavailable", text))
    return found


def _shortage(shard, item):
    if item.accepted.job:
        return [_job_shortage(shard, item.accepted.job), *_turn(shard, item)]
    loads = {load.service: load for load in shard.slot_allocator.loads()}
    load = loads.get(item.accepted.name)
    if load is None:
        text = f"{shard.name} has no instance; another shard is asked for a slot"
        return [Reason("waits.no-instance", text)]
    text = f"{load.free_slots} slots free here, {load.waiting} requests wait for one"
    return [Reason("waits.for-slot", text)]


def _job_shortage(shard, job):
    demand = Amounts.from_mapping(job["demand"])
    if not shard.hosts.could_hold(demand):
        text = f"no host of {shard.name} is large enough for {demand}"
        return Reason("waits.never-fits-shard", text)
    hosts = [name for name in shard.hosts.names if shard.hosts.is_open(name)]
    fitting = sum(demand.fits_in(shard.hosts.free(name)) for name in hosts)
    text = (
        f"{job['members']} members need {demand} each; {fitting} of {len(hosts)} "
        "open hosts have room for one now"
    )
    return Reason("waits.for-room", text)


def _turn(shard, item):
    promised = shard.jobs.promised
    if promised is None:
        return []
    if promised == item.request_id:
        return [Reason("waits.promised", "room is held for it; no other delays it")]
    text = f"room is held for {promised}; others start only where they don't delay it"
    return [Reason("waits.behind-promise", text)]
