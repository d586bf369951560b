"""Decode the operator's waves of upkeep and encode their status."""

from papayapick.placement.waves import Wave
from papayapick.platform.exceptions import BodyInvalid

__all__ = [
    "STATUS_TABLE",
    "WAVE_PREFIX",
    "decode_wave",
    "encode_wave_status",
    "is_wave_over",
]

STATUS_TABLE = "status"
# Prefix of the keys of a wave's row and of its status row.
WAVE_PREFIX = "wave/"
_RUNNING = "running"
_COMPLETED = "completed"


def decode_wave(value):
    """Return the wave held by a row of the operator.

    Parameters
    ----------
    value : dict
        ``wave`` is its number, ``maximum`` the number of machines that may be in upkeep
        at once, and ``duration_s`` the time limit for all of them.

    Returns
    -------
    Wave

    Raises
    ------
    BodyInvalid
        A field is missing or has a wrong type.
    """
    try:
        return Wave(
            number=int(value["wave"]),
            machines=[str(machine) for machine in value["machines"]],
            seconds=float(value["duration_s"]),
            at_once=int(value["maximum"]),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise BodyInvalid(reason=f"wave: {error!r}") from error


def encode_wave_status(is_over):
    """Return the value of a wave's status row."""
    return {"state": _COMPLETED if is_over else _RUNNING}


def is_wave_over(status):
    """Return whether the value of a status row, or None, says that the wave is over."""
    return status is not None and status.get("state") == _COMPLETED
