"""Specify slots granted to gateways: one instance with one slot, two gateways.

A gateway may be frozen between the grant and the send. The placer counts the slot as
taken until there is proof that the call has ended; after the upper bound of a run, it
queries the backend server. A new owner of the shard fences the instance and queries it
as well.
"""

from typing import NamedTuple

from minicheck import Protocol

from spec.checking import Specification

__all__ = ["SPECIFICATION"]

WINDOW = 1
BOUND = 2
SLOTS = 1
LAST_EPOCH = 2
GATEWAYS = ("a", "b")

GUARDS = {
    "use_window": "slots_within_limit",
    "bound_past_window": "slots_within_limit",
    "window_from_asking": "slots_within_limit",
    "taken_until_proof": "slots_within_limit",
    "instance_refuses_lower_epoch": "slots_within_limit",
}


class Grant(NamedTuple):
    """State of a gateway's grant; epoch 0 means that the gateway has none.

    ``asked`` tells whether the gateway has requested a slot, ``got`` whether it has
    read the grant, ``held`` whether the placer counts the slot as taken, and ``runs``
    whether the call runs. ``age`` is the age of the grant by the gateway's clock,
    ``late`` by the placer's.
    """

    epoch: int = 0
    age: int = 0
    asked: bool = False
    got: bool = False
    late: int = 0
    held: bool = False
    runs: bool = False


class State(NamedTuple):
    """State of the shard's epoch, the instance's fence and the grants."""

    epoch: int = 1
    fence: int = 1
    a: Grant = Grant()
    b: Grant = Grant()


def build(guards):
    """Return the protocol with the given guards active."""
    return Protocol(
        name="grants",
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=lambda state: list(_steps(State(*state), guards)),
        invariants={
            "slots_within_limit": lambda found: (
                sum(found[name].runs for name in GATEWAYS) <= SLOTS
            )
        },
    )


def _steps(state, guards):
    aged = {name: _aged(getattr(state, name)) for name in GATEWAYS}
    yield "time passes", state._replace(**aged)
    if state.epoch < LAST_EPOCH:
        yield "a new owner fences and counts", _take_over(state)
    for name in GATEWAYS:
        grant = getattr(state, name)
        for label, changed in _gateway(state, name, grant, guards):
            yield f"{name} {label}", state._replace(**{name: changed})
        for label, changed in _placer(state, grant, guards):
            yield f"the placer {label} of {name}", state._replace(**{name: changed})


def _aged(grant):
    limit = WINDOW + BOUND
    if grant.asked or grant.epoch:
        grant = grant._replace(age=min(grant.age + 1, limit))
    if grant.held:
        grant = grant._replace(late=min(grant.late + 1, limit))
    return grant


def _take_over(state):
    # The inventory of the instance contains exactly the running calls.
    counted = {
        name: getattr(state, name)._replace(held=getattr(state, name).runs)
        for name in GATEWAYS
    }
    return state._replace(epoch=state.epoch + 1, fence=state.epoch + 1, **counted)


def _gateway(state, name, grant, guards):
    if not (grant.asked or grant.epoch or grant.held or grant.runs):
        yield "asks for a slot", Grant(asked=True)
    is_free = not any(getattr(state, other).held for other in GATEWAYS)
    if grant.asked and is_free:
        granted = Grant(epoch=state.epoch, age=grant.age, held=True)
        yield "is granted the slot", granted
    if grant.epoch and not grant.got:
        # A frozen gateway may read the grant long after it was sent.
        age = grant.age if "window_from_asking" in guards else 0
        yield "reads the grant", grant._replace(got=True, age=age)
    if grant.got and grant.epoch:
        if grant.age <= WINDOW or "use_window" not in guards:
            is_lower = grant.epoch < state.fence
            if is_lower and "instance_refuses_lower_epoch" in guards:
                yield "is refused by the instance", Grant()
            else:
                yield "calls the instance", grant._replace(epoch=0, runs=True)
        if grant.age > WINDOW:
            yield "drops the grant unsent", grant._replace(epoch=0)
    if grant.runs:
        yield "has its answer and releases", Grant()
        yield "dies in mid-call", grant._replace(epoch=0)


def _placer(state, grant, guards):
    if not grant.held:
        return
    bound = BOUND if "bound_past_window" in guards else 0
    is_past = grant.late >= bound
    if is_past and (not grant.runs or "taken_until_proof" not in guards):
        yield "frees the slot", grant._replace(held=False)


SPECIFICATION = Specification("grants", GUARDS, build)
