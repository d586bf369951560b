"""Specify shard ownership: two placers and one worker with room for one task.

A placer reads the shard's row, claims it at the next epoch, fences the worker, reads
its inventory, and only then makes decisions. It may be frozen between any two steps, a
message may be delayed without limit, and an answer of the table may be lost whether or
not the write took effect.
"""

from typing import NamedTuple

from minicheck import Protocol

from spec.checking import Specification

__all__ = ["SPECIFICATION"]

CAPACITY = 1
LAST_EPOCH = 3
IDLE, READ, UNSURE, CLAIMED, FENCED, OPEN = range(6)

GUARDS = {
    "compare_and_set": "one_owner_per_epoch",
    "read_back_lost_answer": "one_owner_per_epoch",
    "fence_before_inventory": "host_within_capacity",
    "worker_refuses_lower_epoch": "host_within_capacity",
    "inventory_before_placing": "host_within_capacity",
    "reserve_before_send": "host_within_capacity",
}


class Placer(NamedTuple):
    """State known to a placer; ``sending`` is the epoch of a start in flight."""

    phase: int = IDLE
    epoch: int = 0
    reserved: int = 0
    sending: int = 0


class State(NamedTuple):
    """State of the shard's row, the placers and the worker."""

    owner: str = ""
    epoch: int = 0
    a: Placer = Placer()
    b: Placer = Placer()
    fence: int = 0
    running: int = 0


def build(guards):
    """Return the protocol with the given guards active."""
    return Protocol(
        name="ownership",
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=lambda state: list(_steps(State(*state), guards)),
        invariants={
            "host_within_capacity": lambda found: found["running"] <= CAPACITY,
            "one_owner_per_epoch": _one_owner_per_epoch,
        },
    )


def _one_owner_per_epoch(found):
    a, b = found["a"], found["b"]
    return min(a.phase, b.phase) < CLAIMED or a.epoch != b.epoch


def _steps(state, guards):
    for name in ("a", "b"):
        yield from _claim(state, name, guards)
        yield from _open(state, name, guards)
        yield from _place(state, name, guards)
    if state.running:
        yield "a task ends", state._replace(running=state.running - 1)


def _with(state, name, **changes):
    return state._replace(**{name: getattr(state, name)._replace(**changes)})


def _claim(state, name, guards):
    me = getattr(state, name)
    if me.phase in (IDLE, OPEN) and me.epoch <= state.epoch < LAST_EPOCH:
        read = _with(state, name, phase=READ, epoch=state.epoch, reserved=0)
        yield f"{name} reads epoch {state.epoch}", read
    if me.phase == READ:
        epoch = me.epoch + 1
        if state.epoch == me.epoch or "compare_and_set" not in guards:
            done = state._replace(epoch=epoch, owner=name)
            yield (
                f"{name} claims epoch {epoch}",
                _with(done, name, phase=CLAIMED, epoch=epoch),
            )
            yield f"{name} claims, answer lost", _with(done, name, phase=UNSURE)
        yield f"{name}'s claim is lost", _with(state, name, phase=UNSURE)
        yield f"{name} gives up", _with(state, name, phase=IDLE)
    if me.phase == UNSURE:
        epoch = me.epoch + 1
        is_mine = (state.owner, state.epoch) == (name, epoch)
        if is_mine or "read_back_lost_answer" not in guards:
            label = f"{name} concludes that it owns epoch {epoch}"
            yield label, _with(state, name, phase=CLAIMED, epoch=epoch)
        else:
            yield f"{name} reads that its claim failed", _with(state, name, phase=IDLE)


def _open(state, name, guards):
    me = getattr(state, name)
    if me.phase == CLAIMED:
        if "fence_before_inventory" not in guards:
            yield f"{name} skips the fence", _with(state, name, phase=FENCED)
        elif me.epoch >= state.fence:
            fenced = state._replace(fence=me.epoch)
            yield f"{name} fences the worker", _with(fenced, name, phase=FENCED)
    if me.phase == FENCED:
        found = state.running if "inventory_before_placing" in guards else 0
        opened = _with(state, name, phase=OPEN, reserved=found)
        yield f"{name} opens the worker with {found} tasks", opened


def _place(state, name, guards):
    me = getattr(state, name)
    if me.phase == OPEN and me.reserved < CAPACITY and not me.sending:
        reserved = me.reserved + ("reserve_before_send" in guards)
        yield (
            f"{name} decides on a start",
            _with(state, name, reserved=reserved, sending=me.epoch),
        )
    if me.sending:
        sent = _with(state, name, sending=0)
        is_lower = me.sending < state.fence
        if is_lower and "worker_refuses_lower_epoch" in guards:
            yield f"the worker refuses {name}'s start", sent
        elif state.running <= CAPACITY:
            fence = max(state.fence, me.sending)
            started = sent._replace(running=state.running + 1, fence=fence)
            yield f"the worker starts {name}'s task", started


SPECIFICATION = Specification("ownership", GUARDS, build)
