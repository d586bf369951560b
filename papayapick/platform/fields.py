"""Read fields of decoded JSON, with an error that names the field."""

from papayapick.platform.exceptions import BodyInvalid

__all__ = ["optional_field", "required_field"]

_NUMBER = (int, float)
_TYPE_NAMES = {
    bool: "true or false",
    dict: "a table",
    int: "an integer",
    list: "a list",
    str: "a string",
    _NUMBER: "a number",
}


def required_field(table, name, kind, place=""):
    """Return a field of a table.

    Parameters
    ----------
    table : object
        Decoded JSON.
    name : str
    kind : type
        One of bool, dict, float (any number), int, list and str.
    place : str, optional
        Where the table stands in the body, for the error.

    Returns
    -------
    object
        Of the type ``kind``; numbers are finite.

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
    wanted = _NUMBER if kind is float else kind
    is_truth_value = isinstance(value, bool)
    if not isinstance(value, wanted) or is_truth_value != (kind is bool):
        raise BodyInvalid(reason=f"{path} is not {_TYPE_NAMES[wanted]}")
    if kind is not float:
        return value
    try:
        number = float(value)
    except OverflowError as error:
        raise BodyInvalid(reason=f"{path} is too large") from error
    if number != number or number in (float("inf"), float("-inf")):
        raise BodyInvalid(reason=f"{path} is not finite")
    return number
