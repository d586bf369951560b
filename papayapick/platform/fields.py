"""Read fields of decoded JSON, with an error that names the field."""

from papayapick.numbers import NumberInvalid, finite_number, whole_number
from papayapick.platform.exceptions import BodyInvalid

__all__ = ["optional_field", "required_field"]

_TYPE_NAMES = {
    bool: "true or false",
    dict: "a table",
    list: "a list",
    str: "a string",
}
_NUMBER_CHECKS = {float: finite_number, int: whole_number}


def required_field(table, name, kind, place=""):
    """Return a field of a table.

    Parameters
    ----------
    table : object
        Decoded JSON.
    name : str
    kind : type
        One of bool, dict, float (any number), int (any whole number), list and str.
    place : str, optional
        Where the table stands in the body, for the error.

    Returns
    -------
    object
        Of the type ``kind``; numbers are finite, and whole ones may have a fraction
        of zero.

    Raises
    ------
    BodyInvalid
        The table is none, the field is missing or has another type.

    Examples
    --------
    >>> required_field({"weight": 3}, "weight", float)
    3.0
    """
    if not isinstance(table, dict):
        raise BodyInvalid(reason=f"{place or 'the body'} is not a table")
    path = f"{place}.{name}" if place else name
    if name not in table:
        raise BodyInvalid(reason=f"{path} is missing")
    return _checked(table[name], kind, path)


def optional_field(table, name, kind, default, place=""):
    """Return a field of a table, or a default if it is missing.

    See ``required_field``.
    """
    if isinstance(table, dict) and name not in table:
        return default
    return required_field(table, name, kind, place)


def _checked(value, kind, path):
    if kind in _NUMBER_CHECKS:
        try:
            return _NUMBER_CHECKS[kind](value)
        except NumberInvalid as error:
            raise BodyInvalid(reason=f"{path} {error}") from error
    if not isinstance(value, kind):
        raise BodyInvalid(reason=f"{path} is not {_TYPE_NAMES[kind]}")
    return value
