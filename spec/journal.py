"""Specify the journal: one request, its owner, a successor, a cancelling caller.

Every write to the table may be answered, may take effect without an answer, or may take
effect later. The work may be repeatable or not. Either owner may be frozen between any
two steps, and the first one continues after the takeover.
"""

from typing import NamedTuple

from minicheck import Protocol

from spec.checking import Specification

__all__ = ["SPECIFICATION"]

MAX_RUNS = 2
NEW, OPEN_ACCEPT, WAIT, TAKEN, OPEN_START, READY, SENT, OVER = range(8)
ACCEPT, START, CANCEL, DONE, UNKNOWN, NOT_RUN = (
    "accepted",
    "started",
    "cancelled",
    "done",
    "unknown",
    "not_run",
)

GUARDS = {
    "start_before_send": "at_most_once",
    "settle_start_before_send": "at_most_once",
    "epoch_condition": "at_most_once",
    "no_resend_after_lost_answer": "at_most_once",
    "successor_says_unknown": "at_most_once",
    "settle_under_same_key": "not_run_is_true",
    "unsettled_is_unknown": "not_run_is_true",
    "look_after_start": "not_run_is_true",
    "cancel_loses_to_start": "not_run_is_true",
    "not_run_only_before_start": "not_run_is_true",
    "tell_after_durable": "one_outcome",
}


class State(NamedTuple):
    """State of the journal, both owners, the runs and the reported outcomes.

    ``late`` is an unanswered write that may still take effect; ``told`` is the set of
    outcomes that callers have received, sorted.
    """

    repeatable: bool = False
    accepted: bool = False
    started: bool = False
    ended: str = ""
    epoch: int = 1
    late: str = ""
    first: int = NEW
    second: int = NEW
    runs: int = 0
    told: tuple = ()


def build(guards):
    """Return the protocol with the given guards active."""
    return Protocol(
        name="journal",
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=lambda state: list(_steps(State(*state), guards)),
        invariants={
            "at_most_once": lambda found: found["repeatable"] or found["runs"] <= 1,
            "not_run_is_true": lambda found: (
                NOT_RUN not in found["told"] or not found["runs"]
            ),
            "one_outcome": lambda found: len(found["told"]) <= 1,
        },
    )


def _steps(state, guards):
    if state.first == NEW and not state.repeatable:
        yield "the work is repeatable", state._replace(repeatable=True)
    if state.late:
        applied = _apply(state._replace(late=""), state.late, guards)
        yield f"the late write of {state.late} takes effect", applied
        yield "the late write is lost", state._replace(late="")
    yield from _owner(state, "first", 1, guards)
    yield from _owner(state, "second", 2, guards)
    if state.epoch == 1 and state.first != NEW:
        # The successor's claim changes the shard's row, so writes of the first owner
        # that are still in flight fail on their epoch condition.
        late = "" if "epoch_condition" in guards else state.late
        taken = state._replace(epoch=2, late=late)
        yield from _successor(taken, guards)


def _successor(state, guards):
    if not state.accepted or state.ended:
        yield "a successor finds nothing to do", state._replace(second=OVER)
    elif not state.started or state.repeatable:
        yield "a successor resumes the work", state._replace(second=WAIT)
    elif "successor_says_unknown" in guards:
        ended = _report_outcome(state._replace(second=OVER, ended=UNKNOWN), UNKNOWN)
        yield "a successor finds it started and says unknown", ended
    else:
        yield "a successor finds it started and runs it", state._replace(second=WAIT)


def _apply(state, kind, guards):
    if kind == ACCEPT:
        return state._replace(accepted=True)
    if kind == START:
        return state._replace(started=True)
    if state.ended:
        return state
    if kind == CANCEL and state.started and "cancel_loses_to_start" in guards:
        return state
    return state._replace(ended=NOT_RUN if kind == CANCEL else kind)


def _report_outcome(state, outcome):
    return state._replace(told=tuple(sorted({*state.told, outcome})))


def _write(state, epoch, kind, guards):
    """Yield each result that the writer can observe, with the state after it."""
    if epoch < state.epoch and "epoch_condition" in guards:
        yield "refused", state
        return
    yield "written", _apply(state, kind, guards)
    yield "lost", _apply(state, kind, guards)
    if not state.late:
        yield "lost", state._replace(late=kind)


def _settle(state, kind, guards):
    """Return whether the write had taken effect, and the state after settling."""
    found = state.accepted if kind == ACCEPT else state.started
    if "settle_under_same_key" in guards and state.late == kind:
        # Settling writes an empty segment under the same key, so the late write fails.
        state = state._replace(late="")
    return found, state


def _owner(state, name, epoch, guards):
    phase = getattr(state, name)

    def to(found, phase):
        return found._replace(**{name: phase})

    if phase == NEW and name == "first":
        for seen, after in _write(state, epoch, ACCEPT, guards):
            after = to(after, WAIT if seen == "written" else OPEN_ACCEPT)
            if seen == "lost" and "unsettled_is_unknown" not in guards:
                after = _report_outcome(after, NOT_RUN)
            yield f"accept {seen}", after
    if phase == OPEN_ACCEPT:
        found, after = _settle(state, ACCEPT, guards)
        after = to(after, WAIT) if found else to(_report_outcome(after, NOT_RUN), OVER)
        yield "the accept is settled", after
    if phase == WAIT and not state.ended:
        yield f"{name} owner takes the work", to(state, TAKEN)
        yield from _deadline(state, name, epoch, guards, to)
    if phase in (WAIT, TAKEN, READY) and not state.ended:
        yield from _cancel(state, name, epoch, guards)
    if phase == TAKEN:
        yield from _start(state, name, epoch, guards, to)
    if phase == OPEN_START:
        _, after = _settle(state, START, guards)
        yield f"{name} owner settles its start", to(after, WAIT)
    if phase == READY and state.runs < MAX_RUNS:
        sent = to(state._replace(runs=state.runs + 1), SENT)
        yield f"{name} owner's call runs", sent
    if phase == SENT:
        yield from _end(state, name, epoch, guards, to)


def _start(state, name, epoch, guards, to):
    if "start_before_send" not in guards:
        yield f"{name} owner sends without a record", to(state, READY)
        return
    for seen, after in _write(state, epoch, START, guards):
        if seen == "refused":
            yield f"{name} owner's start is refused", to(after, OVER)
        elif seen == "written" or "settle_start_before_send" not in guards:
            is_over = after.ended and "look_after_start" in guards
            yield f"{name} owner's start {seen}", to(after, OVER if is_over else READY)
        else:
            yield f"{name} owner's start lost", to(after, OPEN_START)


def _cancel(state, name, epoch, guards):
    for seen, after in _write(state, epoch, CANCEL, guards):
        if seen == "written" and after.ended == NOT_RUN:
            after = _report_outcome(after, NOT_RUN)
        yield f"cancel through {name} owner {seen}", after


def _deadline(state, name, epoch, guards, to):
    is_refusal = not state.started or "not_run_only_before_start" not in guards
    outcome = NOT_RUN if is_refusal else UNKNOWN
    for seen, after in _write(state, epoch, outcome, guards):
        if seen == "written":
            yield (
                f"the deadline ends: {outcome}",
                to(_report_outcome(after, after.ended), OVER),
            )


def _end(state, name, epoch, guards, to):
    if state.repeatable or "no_resend_after_lost_answer" not in guards:
        yield f"{name} owner has no answer and waits", to(state, WAIT)
    for outcome in (DONE, UNKNOWN):
        for seen, after in _write(state, epoch, outcome, guards):
            is_reported = seen == "written" or "tell_after_durable" not in guards
            reported = after.ended if seen == "written" else outcome
            if is_reported:
                after = _report_outcome(after, reported)
            yield f"{name} owner ends it as {outcome}, {seen}", to(after, OVER)


SPECIFICATION = Specification("journal", GUARDS, build)
