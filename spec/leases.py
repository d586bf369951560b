"""Specify task leases: one task, its owner, a successor and two workers.

The first worker may be disconnected from its owner, and its clock may be slow by the
drift. The task is started on the second worker once the first cannot run it any more.
The first owner may continue to renew the lease, disconnected from the table.
"""

from typing import NamedTuple

from minicheck import Protocol

from spec.checking import Specification

__all__ = ["SPECIFICATION"]

LEASE = 2
DRIFT = 1
TICKS = 7

GUARDS = {
    "wait_for_lease": "one_place",
    "add_clock_drift": "one_place",
    "count_from_last_renewal_sent": "one_place",
    "worker_stops_at_lapse": "one_place",
    "no_renewal_after_lapse": "one_place",
    "successor_waits_for_fence": "one_place",
}


class State(NamedTuple):
    """State of the first worker's lease, the owner's countdown and the task.

    ``first`` and ``second`` tell which workers run the task; ``slow`` is the number of
    ticks that the worker's clock may still miss; ``reachable`` tells whether the
    current owner reaches the worker.
    """

    first: bool = True
    lease: int = LEASE
    slow: int = DRIFT
    count: int = LEASE + DRIFT
    second: bool = False
    reachable: bool = True
    moved: bool = False
    fenced: bool = False
    ticks: int = 0


def build(guards):
    """Return the protocol with the given guards active."""
    drift = DRIFT if "add_clock_drift" in guards else 0
    return Protocol(
        name="leases",
        candidate=False,
        fields=State._fields,
        initial=State(count=LEASE + drift),
        transitions=lambda state: list(_steps(State(*state), guards, LEASE + drift)),
        invariants={
            "one_place": lambda found: not (found["first"] and found["second"])
        },
    )


def _steps(state, guards, whole):
    if state.ticks < TICKS:
        later = state._replace(ticks=state.ticks + 1, count=max(0, state.count - 1))
        yield "a second passes", _age(later, guards)
        if state.slow:
            yield "the worker's clock misses it", later._replace(slow=state.slow - 1)
    yield from _renew(state, guards, whole)
    if state.reachable:
        yield "the owner is cut from the worker", state._replace(reachable=False)
    if not state.moved:
        # The successor's countdown starts at its takeover.
        yield (
            "a successor takes over and can't reach the worker",
            state._replace(moved=True, reachable=False, count=whole),
        )
    if state.moved and not state.fenced:
        label = "the successor fences the worker and finds it idle or stops it"
        yield label, state._replace(fenced=True, first=False, count=0)
    if not state.second and _may_move(state, guards):
        yield "the task is started on the second worker", state._replace(second=True)


def _age(state, guards):
    lease = max(0, state.lease - 1)
    stops = not lease and "worker_stops_at_lapse" in guards
    return state._replace(lease=lease, first=state.first and not stops)


def _renew(state, guards, whole):
    """Yield the renewals by the owner, or by the earlier owner after a takeover."""
    if state.fenced or state.second and not state.moved:
        return
    if not state.first and "no_renewal_after_lapse" in guards:
        return
    if not (state.reachable or state.moved):
        return
    renewed = state._replace(first=True, lease=LEASE, slow=DRIFT)
    if state.moved:
        yield "the earlier owner renews", renewed
    else:
        yield "the owner renews", renewed._replace(count=whole)
        is_counted = "count_from_last_renewal_sent" in guards
        count = whole if is_counted else state.count
        yield "the owner renews, answer lost", renewed._replace(count=count)


def _may_move(state, guards):
    if state.moved and "successor_waits_for_fence" in guards:
        return state.fenced
    return not state.count or "wait_for_lease" not in guards


SPECIFICATION = Specification("leases", GUARDS, build)
