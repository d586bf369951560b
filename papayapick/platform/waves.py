"""Decode the operator's waves of upkeep, and encode how far they are."""

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
# Begins the key of a wave's row, and of the row that tells how far it is.
WAVE_PREFIX = "wave/"
_RUNNING = "running"
_COMPLETED = "completed"


def decode_wave(found):
    """Return the wave that a row of the operator holds.

    Parameters
    ----------
    found : dict
        ``wave`` is its number; ``maximum`` bounds the machines that are away at once,
        ``duration_s`` the time for all of them.

    Returns
    -------
    Wave

    Raises
    ------
    BodyInvalid
    """
    try:
        return Wave(
            number=int(found["wave"]),
            machines=[str(machine) for machine in found["machines"]],
            seconds=float(found["duration_s"]),
            at_once=int(found["maximum"]),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise BodyInvalid(reason=f"wave: {error!r}") from error


def encode_wave_status(is_over):
    """Return the value of the row that tells how far a wave is."""
    return {"state": _COMPLETED if is_over else _RUNNING}


def is_wave_over(found):
    """Return whether the value of such a row says that the wave is done."""
    return found is not None and found.get("state") == _COMPLETED
