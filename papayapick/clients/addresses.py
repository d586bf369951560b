"""Check addresses before the first call to them.

Guards against an address that some program has written and that no socket takes.
Connecting to it raises another error than a failed connection does, which would end
the loop that makes the call.
"""

import re

__all__ = ["is_address", "is_header_text"]

# Host and port, optionally followed by a path of visible ASCII characters.
_ADDRESS = re.compile(r"([0-9A-Za-z.-]+):([0-9]{1,5})(/[!-~]*)?")
_MAX_PORT = 65535
_HEADER_TEXT = re.compile(r"[!-~]+")


def is_address(text):
    """Return whether a text is ``HOST:PORT``, and may be called.

    Parameters
    ----------
    text : str
        A path may follow the port.

    Examples
    --------
    >>> is_address("10.1.0.13:8160"), is_address("10.1.0.13:8160/w1")
    (True, True)
    >>> is_address("10.1.0.13:99999"), is_address("a..b:8160")
    (False, False)
    """
    found = _ADDRESS.fullmatch(text)
    if found is None or not 0 < int(found[2]) <= _MAX_PORT:
        return False
    try:
        # As connecting does: labels of a name that are empty or too long are refused.
        found[1].encode("idna")
    except UnicodeError:
        return False
    return True


def is_header_text(text):
    """Return whether a text may be sent as the value of a header.

    Examples
    --------
    >>> is_header_text("i-a7b5768a"), is_header_text("two words"), is_header_text("")
    (True, False, False)
    """
    return _HEADER_TEXT.fullmatch(text) is not None
