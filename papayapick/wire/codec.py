"""Encode and decode messages as packed Cap'n Proto bytes."""

from pathlib import Path

import capnp

from papayapick.wire import messages
from papayapick.wire.exceptions import FrameInvalid

__all__ = ["decode", "encode"]

capnp.remove_import_hook()
_SCHEMA = capnp.load(str(Path(__file__).with_name("messages.capnp")))

_NESTED = {
    "shards": messages.ShardSummary,
    "loads": messages.ServiceLoad,
    "placers": messages.PlacerSummary,
    "news": messages.JobNews,
    "queue_loads": messages.QueueLoad,
    "queue_outlooks": messages.QueueOutlook,
    "teams_beyond_rate": messages.TeamBeyondRate,
    "tickets": messages.Ticket,
}
_TEXT_LISTS = frozenset(("avoid", "hosts", "missed", "workers"))
# Packing encodes a run of zeros in two bytes, so a short frame can expand to gigabytes.
# The limit bounds a decoded message to 16 MiB, four times the longest frame.
_TRAVERSAL_WORDS = 2 << 20


def _camel_case(name):
    head, *rest = name.split("_")
    return head + "".join(part.title() for part in rest)


_WIRE_NAMES = {}
_CLASSES = {}
_FIELDS = {}
for _name in messages.__all__:
    _class = getattr(messages, _name)
    _WIRE_NAMES[_class] = {slot: _camel_case(slot) for slot in _class.__slots__}
    _FIELDS[_class] = _name[0].lower() + _name[1:]
    _CLASSES[_FIELDS[_class]] = _class


def _fill(builder, payload):
    """Set the fields of a message builder from a payload.

    Building the message from a nested dict takes pycapnp six times as long. Empty
    values equal the schema's defaults and are left out; the bytes are the same.
    """
    for slot, wire_name in _WIRE_NAMES[type(payload)].items():
        value = getattr(payload, slot)
        if not value:
            continue
        if isinstance(value, (list, tuple)):
            _fill_list(builder.init(wire_name, len(value)), value)
        else:
            setattr(builder, wire_name, value)


def _fill_list(builder, values):
    for number, value in enumerate(values):
        if isinstance(value, messages.Payload):
            _fill(builder[number], value)
        else:
            builder[number] = value


def encode(identifier, payload, traceparent=""):
    """Return the packed bytes of one message.

    Parameters
    ----------
    identifier : int
        Matches an answer to its request; 0 for a message that has no answer.
    payload : Payload
    traceparent : str

    Returns
    -------
    bytes
    """
    message = _SCHEMA.Message.new_message()
    message.id = identifier
    if traceparent:
        message.traceparent = traceparent
    _fill(message.init(_FIELDS[type(payload)]), payload)
    return message.to_bytes_packed()


def decode(data):
    """Decode one message.

    Parameters
    ----------
    data : bytes

    Returns
    -------
    identifier : int
    payload : Payload
    traceparent : str

    Raises
    ------
    FrameInvalid
        The bytes are not a message of this schema.
    """
    try:
        message = _SCHEMA.Message.from_bytes_packed(
            data, traversal_limit_in_words=_TRAVERSAL_WORDS
        )
        kind = message.which()
        payload = _read(_CLASSES[str(kind)], getattr(message, str(kind)))
        return message.id, payload, message.traceparent
    except (capnp.KjException, KeyError, ValueError) as error:
        raise FrameInvalid(reason="not a message of the schema") from error


def _read(kind, reader):
    fields = {}
    for slot, wire_name in _WIRE_NAMES[kind].items():
        value = getattr(reader, wire_name)
        nested = _NESTED.get(slot)
        if nested is not None:
            value = [_read(nested, item) for item in value]
        elif slot in _TEXT_LISTS:
            value = list(value)
        fields[slot] = value
    return kind(**fields)
