"""Check that the platform's services answer, and the clock."""

import email.utils

from papayapick.checks.findings import Finding
from papayapick.checks.queries import register
from papayapick.clients import (
    AnswerMissing,
    NotSent,
    ObjectMissing,
    ObjectsUnavailable,
    TableUnavailable,
)

__all__ = ["check_clock", "check_reachability"]

_LARGEST_DIFFERENCE_SECONDS = 2.0
_LOOK = "look at the address, and at the service"
_ABSENT_OBJECT = "check/absent"


@register
def check_reachability(context):
    """Find services of the platform that do not answer."""
    if context.settings is None:
        return
    try:
        context.table.read("bundle/head")
    except TableUnavailable as error:
        yield Finding("platform.E001", f"table: {error}", _LOOK)
    if context.entries is None:
        yield Finding("platform.E002", "the live list does not answer", _LOOK)
    try:
        context.objects.get(_ABSENT_OBJECT)
    except ObjectMissing:
        # The store has answered that there is no such object, as there is not.
        return
    except ObjectsUnavailable as error:
        yield Finding("platform.E003", f"objects: {error}", _LOOK)


@register
def check_clock(context):
    """Find a clock that differs from the platform's.

    Deadlines of durable work are calendar times: with a clock that is ahead,
    work is refused as late before its time.
    """
    if context.settings is None:
        return
    began = context.clock.time()
    try:
        answer = context.pool.request("GET", context.settings.hosts_url)
    except (NotSent, AnswerMissing):
        return
    told = answer.headers.get("Date")
    stamp = email.utils.parsedate_to_datetime(told).timestamp() if told else None
    if stamp is None:
        return
    # The header counts whole seconds, and the answer took its time.
    ended = context.clock.time()
    ahead, behind = began - stamp - 1, stamp - ended
    difference = max(ahead, behind)
    if difference > _LARGEST_DIFFERENCE_SECONDS:
        side = "ahead of" if ahead > behind else "behind"
        message = f"the clock is {difference:.0f} s {side} the platform's"
        yield Finding("clock.W001", message, "look at the host's time service")
