"""Keep payloads and results, small ones in the record, large ones as objects."""

import base64

from papayapick.clients.objects import digest_of
from papayapick.journal.work import ENDED
from papayapick.wire.messages import WorkState

__all__ = ["INLINE_BYTES", "inline_or_object", "load_inline_or_object", "state_of"]

INLINE_BYTES = 4096


def inline_or_object(objects, data):
    """Return base64 text of small bytes, or store large ones by digest.

    Returns
    -------
    inline : str
    name : str
        Of the object, empty where the bytes are inline.
    """
    if len(data) <= INLINE_BYTES:
        return base64.b64encode(data).decode(), ""
    name = f"payload/{digest_of(data)}"
    objects.put(name, data)
    return "", name


def load_inline_or_object(objects, inline, name):
    """Return the bytes that ``inline_or_object`` kept."""
    return objects.get(name) if name else base64.b64decode(inline)


def state_of(item, objects):
    """Return what a caller is told of a request.

    Parameters
    ----------
    item : WorkItem
    objects : ObjectsProtocol
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
