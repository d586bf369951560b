"""Check numbers that were decoded from JSON.

Guards against a number that every operation accepts but the one that ends a loop: an
integer beyond all floats (400 digits), infinity (``1e400``), 2.0 for a count, or a
truth value, which is an integer in Python.
"""

import math

from papayapick.exceptions import PapayapickError

__all__ = ["LARGEST_NUMBER", "NumberInvalid", "finite_number", "whole_number"]

# Up to this one, every whole number is exact as a float.
LARGEST_NUMBER = 2**53


class NumberInvalid(PapayapickError):
    """Report a value that is not a number of the kind that is wanted."""

    code = "number.invalid"
    template = "is {reason}"


def whole_number(value, least=-LARGEST_NUMBER):
    """Return a whole number as an int; 2.0 is the whole number 2.

    JSON has one kind of number, and some encoders write whole ones with a fraction.

    Parameters
    ----------
    value : object
        Decoded JSON.
    least : int, optional

    Raises
    ------
    NumberInvalid

    Examples
    --------
    >>> whole_number(2.0)
    2
    >>> whole_number(2.5)
    Traceback (most recent call last):
    papayapick.numbers.NumberInvalid: is not an integer
    """
    _check_range(value, least, "an integer")
    if value != int(value):
        raise NumberInvalid(reason="not an integer")
    return int(value)


def finite_number(value, least=-LARGEST_NUMBER):
    """Return a number as a float that sums and products keep finite.

    Parameters
    ----------
    value : object
        Decoded JSON.
    least : float, optional

    Raises
    ------
    NumberInvalid

    Examples
    --------
    >>> finite_number(10**400)
    Traceback (most recent call last):
    papayapick.numbers.NumberInvalid: is too large
    """
    _check_range(value, least, "a number")
    return float(value)


def _check_range(value, least, kind):
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise NumberInvalid(reason=f"not {kind}")
    if isinstance(value, float) and not math.isfinite(value):
        raise NumberInvalid(reason="not finite")
    if value > LARGEST_NUMBER:
        raise NumberInvalid(reason="too large")
    if value < least:
        raise NumberInvalid(reason=f"below {least}")
