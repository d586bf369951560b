"""Check what is stored of a job, as it is read."""

from papayapick.exceptions import PapayapickError
from papayapick.ledger.amounts import Amounts
from papayapick.numbers import NumberInvalid, finite_number, whole_number

__all__ = ["JOB_CHECKS", "STEP_CHECKS", "RecordInvalid", "checked_fields"]


class RecordInvalid(PapayapickError):
    """Report a stored job with a value with which no version can run it."""

    code = "job.record-invalid"
    template = "{field} {reason}"


# Checks of values that an earlier version accepted as they came. What its hosts can run
# goes on as it ran there: a truth value is 0 or 1, and nothing ("", null and the like)
# is the default.


# The memory of no host holds the state of more tasks.
_MOST_TASKS = 1_000_000


def _stored_tasks(value):
    tasks = _stored_count(value)
    if not 0 < tasks <= _MOST_TASKS:
        raise NumberInvalid(reason=f"not between 1 and {_MOST_TASKS}")
    return tasks


def _stored_demand(value):
    try:
        amounts = Amounts.from_mapping(value).as_mapping().values()
    except (AttributeError, OverflowError, TypeError, ValueError) as error:
        raise NumberInvalid(reason="not a mapping of amounts") from error
    return Amounts(*(max(0, whole_number(amount)) for amount in amounts))


def _stored_count(value):
    return int(finite_number(value if not isinstance(value, bool) else int(value)))


def _stored_limit(value):
    return _stored_count(value or 0)


def _stored_occurrences(value):
    # A negative number was taken for none.
    return max(0, whole_number(int(value) if isinstance(value, bool) else value))


def _stored_label(value):
    if value and not isinstance(value, str):
        raise NumberInvalid(reason="not a string")
    return value or ""


def _stored_hint(value):
    return value if isinstance(value, str) else ""


def _or_zero(check):
    """Return a check that takes 0 for a value without which a job can run."""

    def stored(value):
        try:
            return check(value)
        except NumberInvalid:
            return 0

    return stored


JOB_CHECKS = {
    "occurrences": _stored_occurrences,
    "first_due": finite_number,
    "interval_seconds": finite_number,
}
STEP_CHECKS = {
    "tasks": _stored_tasks,
    "demand": _stored_demand,
    "estimate_seconds": _or_zero(finite_number),
    "label": _stored_label,
    "preferred_rack": _stored_hint,
    "image": _stored_hint,
    "tasks_per_worker": _stored_limit,
    "tail_limit_seconds": _or_zero(finite_number),
    "unavailable_limit": _or_zero(_stored_count),
}


def checked_fields(record, checks):
    """Return the fields of a record, each one as it is used.

    Parameters
    ----------
    record : dict
    checks : dict of str to callable
        ``JOB_CHECKS`` or ``STEP_CHECKS``.

    Raises
    ------
    RecordInvalid
        A field, which the error names, has a value that can't be used.
    """
    fields = dict(record)
    for name in checks.keys() & fields.keys():
        try:
            fields[name] = checks[name](fields[name])
        except NumberInvalid as error:
            raise RecordInvalid(field=name, reason=str(error)) from error
    return fields
