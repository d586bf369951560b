"""Decode the entries of the platform's list of workers."""

from papayapick.clients.addresses import is_address, is_header_text
from papayapick.ledger.amounts import Amounts
from papayapick.numbers import NumberInvalid, finite_number, whole_number
from papayapick.pool.workers.reports import Registration

__all__ = ["WORKERS_TABLE", "WRONG_SHAPE", "born_of", "decode_registration", "text_of"]

WORKERS_TABLE = "servers"
# Raised by JSON of another shape than expected.
WRONG_SHAPE = (
    AttributeError,
    IndexError,
    KeyError,
    NumberInvalid,
    OverflowError,
    TypeError,
    ValueError,
)


def decode_registration(key, value):
    """Return the registration of a worker, or None if it is invalid.

    Parameters
    ----------
    key : str
        Id of the worker.
    value : dict or None
        Value of the worker's row.

    Returns
    -------
    Registration or None
        None if fields are missing, have a wrong type or hold what can't be used, since
        other programs also write to the table.
    """
    try:
        capacity = value["capacity"]
        state = value["state"]
        if state not in ("ready", "draining"):
            return None
        return Registration(
            worker=_worker_id(key),
            pool=text_of(value["service"]),
            address=_address(value["address"]),
            zone=text_of(value["zone"]),
            capacity=Amounts(
                whole_number(capacity["cpu"], least=0),
                whole_number(capacity["mem_mb"], least=0),
                whole_number(capacity.get("gpu", 0), least=0),
            ),
            labels=tuple(text_of(label) for label in _list(value.get("labels", []))),
            is_leaving=state == "draining",
            leaves_in=finite_number(value.get("remaining_ms", 0)) / 1000,
            born=born_of(value),
        )
    except WRONG_SHAPE:
        return None


def born_of(body):
    """Return the start time of a worker's process in Unix milliseconds, or None."""
    born = body.get("born")
    return None if born is None else whole_number(born)


def _worker_id(value):
    # It is sent in a header of each call.
    if not is_header_text(value):
        raise ValueError("not a worker id")
    return value


def _address(value):
    if not is_address(text_of(value)):
        raise ValueError("not an address")
    return value


def text_of(value):
    """Return a string.

    Raises
    ------
    TypeError
        It is none.
    """
    if not isinstance(value, str):
        raise TypeError("not a string")
    return value


def _list(value):
    if not isinstance(value, list):
        raise TypeError("not a list")
    return value
