"""Check that the services of the platform answer, and compare the clocks."""

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

_MAX_CLOCK_DIFFERENCE_SECONDS = 2.0
_SERVICE_HINT = "check the address and the service"
_ABSENT_OBJECT = "check/absent"


@register
def check_reachability(context):
    """Find services of the platform that do not answer."""
    if context.settings is None:
        return
    try:
        context.table.read("bundle/head")
    except TableUnavailable as error:
        yield Finding("platform.E001", f"table: {error}", _SERVICE_HINT)
    if context.entries is None:
        yield Finding("platform.E002", "the live list does not answer", _SERVICE_HINT)
    try:
        context.objects.get(_ABSENT_OBJECT)
    except ObjectMissing:
        # The object does not exist, so this is the expected answer.
        return
    except ObjectsUnavailable as error:
        yield Finding("platform.E003", f"objects: {error}", _SERVICE_HINT)


@register
def check_clock(context):
    """Find a clock that differs from the platform's.

    Deadlines of durable work are wall-clock times: with a clock that is ahead, work is
    refused before its deadline has passed.
    """
    if context.settings is None:
        return
    before = context.clock.time()
    try:
        answer = context.pool.request("GET", context.settings.hosts_url)
    except (NotSent, AnswerMissing):
        return
    date_header = answer.headers.get("Date")
    platform_time = (
        email.utils.parsedate_to_datetime(date_header).timestamp()
        if date_header
        else None
    )
    if platform_time is None:
        return
    # The header has whole seconds, and its time lies between request and answer.
    after = context.clock.time()
    ahead, behind = before - platform_time - 1, platform_time - after
    difference = max(ahead, behind)
    if difference > _MAX_CLOCK_DIFFERENCE_SECONDS:
        side = "ahead of" if ahead > behind else "behind"
        message = f"the clock is {difference:.0f} s {side} the platform's"
        yield Finding(
            "clock.W001", message, "check the time synchronization of the host"
        )
