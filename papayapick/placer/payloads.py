"""Store small payloads and results in the journal record, large ones as objects."""

import base64

from papayapick.clients.objects import digest_of
from papayapick.journal.work import ENDED
from papayapick.wire.messages import WorkState

__all__ = ["INLINE_BYTES", "inline_or_object", "load_inline_or_object", "state_of"]

INLINE_BYTES = 4096


def inline_or_object(objects, data):
    """Encode small data as base64, or store large data as an object by its digest.

    Parameters
    ----------
    objects : ObjectsProtocol
    data : bytes

    Returns
    -------
    inline : str
        Base64 text, empty if the data is stored as an object.
    name : str
        Name of the object, empty if the data is inline.

    Raises
    ------
    PlatformError
    """
    if len(data) <= INLINE_BYTES:
        return base64.b64encode(data).decode(), ""
    name = f"payload/{digest_of(data)}"
    objects.put(name, data)
    return "", name


def load_inline_or_object(objects, inline, name):
    """Return the bytes that ``inline_or_object`` stored."""
    return objects.get(name) if name else base64.b64decode(inline)


def state_of(item, objects):
    """Return the state of a request as the caller receives it.

    Parameters
    ----------
    item : WorkItem
    objects : ObjectsProtocol

    Returns
    -------
    WorkState

    Raises
    ------
    PlatformError
        The result is stored as an object that can't be read.
    """
    ended = item.ended
    if ended is None:
        return WorkState(request_id=item.request_id, state=item.state)
    return WorkState(
        request_id=item.request_id,
        state=ENDED,
        outcome=ended.outcome,
        status=ended.status,
        content_type=ended.content_type,
        result=load_inline_or_object(objects, ended.result, ended.result_object),
        detail=ended.detail,
    )
