"""Specify the rollout of a bundle: two operators and two processes.

The operators race, and the answer of the accepting write may be lost. A process may be
frozen, resumed, and restarted without state. It gets a bundle from the table or from
the other process, whose message may be outdated when it is read. An outage of the table
is a run without the steps that need it, of any length.
"""

from typing import NamedTuple

from minicheck import Protocol

from spec.checking import Specification

__all__ = ["SPECIFICATION"]

LAST_SEQUENCE = 2
UNSIGNED = "unsigned"
IDLE, PROPOSED, READ, UNSURE, WON, LOST = range(6)
RUNNING, FROZEN, WOKEN = range(3)

GUARDS = {
    "compare_and_set": "one_digest_per_sequence",
    "accept_own_proposal": "one_digest_per_sequence",
    "settle_lost_accept": "loser_is_not_in_force",
    "step_back_is_higher": "head_never_lowers",
    "swap_only_higher": "never_reverts",
    "verify_signatures": "only_signed_in_force",
    "confirm_after_pause": "decides_on_newest",
    "ask_after_waking": "decides_on_newest",
    "ask_confirmed_peer": "decides_on_newest",
}


class Operator(NamedTuple):
    """State of an operator: its phase, its bundle and the version it has read."""

    phase: int = IDLE
    sequence: int = 0
    digest: str = ""
    version: int = 0


class Process(NamedTuple):
    """State of a process: bundle in force, highest sequence, unread message."""

    sequence: int = 0
    digest: str = ""
    highest: int = 0
    life: int = RUNNING
    mail: tuple = ()


class State(NamedTuple):
    """State of the head row, the operators, the processes and the violations.

    ``settled`` is set once all running processes had time to get the head; ``stale``
    and ``twice`` record a decision by an outdated bundle and a sequence accepted twice.
    """

    accepted: tuple = ()
    sequence: int = 0
    proposal: tuple = ()
    version: int = 0
    ana: Operator = Operator()
    ben: Operator = Operator()
    p: Process = Process()
    q: Process = Process()
    settled: bool = False
    stale: bool = False
    twice: bool = False


OTHER = {"p": "q", "q": "p"}
BUNDLES = {"ana": ("one", UNSIGNED), "ben": ("two",)}


def build(guards):
    """Return the protocol with the given guards active."""
    return Protocol(
        name="bundle",
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=lambda state: list(_steps(State(*state), guards)),
        invariants={
            "one_digest_per_sequence": lambda found: not found["twice"],
            "head_never_lowers": lambda found: (
                found["sequence"] >= len(found["accepted"])
            ),
            "loser_is_not_in_force": _loser_is_not_in_force,
            "never_reverts": lambda found: all(
                found[name].sequence >= found[name].highest for name in OTHER
            ),
            "only_signed_in_force": lambda found: all(
                found[name].digest != UNSIGNED for name in OTHER
            ),
            "decides_on_newest": lambda found: not found["stale"],
        },
    )


def _loser_is_not_in_force(found):
    # The operators propose different bundles, so a digest identifies its operator.
    accepted = found["accepted"]
    return all(
        found[name].phase != LOST
        or found[name].digest not in accepted[found[name].sequence - 1 :][:1]
        for name in BUNDLES
    )


def _steps(state, guards):
    for name in BUNDLES:
        yield from _operator(state, name, guards)
    for name in OTHER:
        yield from _freeze_or_restart(state, name, guards)
        yield from _receive_bundle(state, name, guards)
    if state.sequence and _is_everywhere(state):
        yield "seconds pass", state._replace(settled=True)


def _is_everywhere(state):
    return all(
        found.sequence == state.sequence
        for found in (state.p, state.q)
        if found.life == RUNNING
    )


def _operator(state, name, guards):
    me = getattr(state, name)

    def to(found, **changes):
        return found._replace(**{name: me._replace(**changes)})

    version = state.version + 1
    if me.phase == IDLE and state.sequence < LAST_SEQUENCE:
        for digest in BUNDLES[name]:
            sequence = state.sequence + 1
            after = state._replace(proposal=(sequence, digest), version=version)
            yield (
                f"{name} proposes {digest} as {sequence}",
                to(after, phase=PROPOSED, sequence=sequence, digest=digest),
            )
    if me.phase == IDLE and state.sequence and "step_back_is_higher" not in guards:
        yield f"{name} sets the head back", state._replace(sequence=state.sequence - 1)
    if me.phase == PROPOSED:
        is_open = state.proposal == (me.sequence, me.digest)
        if is_open or "accept_own_proposal" not in guards:
            yield f"{name} reads the head", to(state, phase=READ, version=state.version)
        else:
            yield f"{name} meets a conflict", to(state, phase=LOST)
    if me.phase == READ:
        if me.version == state.version or "compare_and_set" not in guards:
            after = _accept(state._replace(version=version), me)
            yield f"{name} accepts", to(after, phase=WON)
            yield f"{name} accepts, answer lost", to(after, phase=UNSURE)
        else:
            yield f"{name} meets a conflict", to(state, phase=LOST)
    if me.phase == UNSURE:
        is_mine = state.accepted[me.sequence - 1 :][:1] == (me.digest,)
        has_won = is_mine and "settle_lost_accept" in guards
        yield f"{name} settles its accept", to(state, phase=WON if has_won else LOST)


def _accept(state, me):
    if len(state.accepted) >= me.sequence:
        return state._replace(twice=True)
    accepted = (*state.accepted, me.digest)
    return state._replace(
        accepted=accepted, sequence=me.sequence, proposal=(), settled=False
    )


def _freeze_or_restart(state, name, guards):
    me = getattr(state, name)
    if me.life == RUNNING:
        yield f"{name} is frozen", _change(state, name, life=FROZEN)
        if state.settled and me.sequence and me.sequence < state.sequence:
            yield f"{name} decides by {me.digest}", state._replace(stale=True)
    if me.life == FROZEN:
        life = WOKEN if "confirm_after_pause" in guards else RUNNING
        yield f"{name} wakes", _change(state, name, life=life)
    restarted = Process(life=WOKEN)
    yield f"{name} restarts without state", state._replace(**{name: restarted})


def _receive_bundle(state, name, guards):
    me, peer = getattr(state, name), getattr(state, OTHER[name])
    if peer.sequence and peer.life != FROZEN and not me.mail:
        # A frozen process reads the message once it resumes.
        mail = (peer.sequence, peer.digest)
        yield f"{OTHER[name]} sends its head to {name}", _change(state, name, mail=mail)
    if me.life == FROZEN:
        return
    if state.sequence:
        found = (state.sequence, state.accepted[state.sequence - 1])
        yield f"{name} reads the table", _adopt_bundle(state, name, found, True, guards)
    if me.mail:
        received = _change(state, name, mail=())
        confirms = "ask_after_waking" not in guards
        yield (
            f"{name} reads an old message",
            _adopt_bundle(received, name, me.mail, confirms, guards),
        )
    if peer.sequence and peer.life != FROZEN:
        confirms = peer.life == RUNNING or "ask_confirmed_peer" not in guards
        found = (peer.sequence, peer.digest)
        yield (
            f"{name} asks {OTHER[name]}",
            _adopt_bundle(state, name, found, confirms, guards),
        )


def _adopt_bundle(state, name, found, confirms, guards):
    me = getattr(state, name)
    sequence, digest = found
    if digest == UNSIGNED and "verify_signatures" in guards:
        return state
    changes = {}
    if sequence > me.sequence or "swap_only_higher" not in guards:
        highest = max(me.highest, sequence)
        changes = {"sequence": sequence, "digest": digest, "highest": highest}
    if confirms:
        changes["life"] = RUNNING
    return _change(state, name, **changes)


def _change(state, name, **changes):
    return state._replace(**{name: getattr(state, name)._replace(**changes)})


SPECIFICATION = Specification("bundle", GUARDS, build)
