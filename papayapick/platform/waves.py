"""Decode the operator's waves of upkeep and encode their status."""

from papayapick.placement.release.waves import Wave
from papayapick.platform.exceptions import BodyInvalid
from papayapick.platform.fields import required_field

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
        A field, which the error names, is missing or has a wrong type.
    """
    machines = required_field(value, "machines", list, "wave")
    if not all(isinstance(machine, str) for machine in machines):
        raise BodyInvalid(reason="wave.machines is not a list of strings")
    return Wave(
        number=required_field(value, "wave", int, "wave"),
        machines=machines,
        seconds=required_field(value, "duration_s", float, "wave"),
        at_once=required_field(value, "maximum", int, "wave"),
    )


def encode_wave_status(is_over):
    """Return the value of a wave's status row."""
    return {"state": _COMPLETED if is_over else _RUNNING}


def is_wave_over(status):
    """Return whether the value of a status row, or None, says that the wave is over."""
    return status is not None and status.get("state") == _COMPLETED
