"""Check the installed package."""

from papayapick.checks.findings import Finding
from papayapick.checks.queries import register
from papayapick.conf import SETTINGS
from papayapick.conf.exceptions import SettingsError
from papayapick.wire import decode, encode
from papayapick.wire.messages import WorkQuery

__all__ = ["check_defaults", "check_schema"]


@register
def check_defaults(context):
    """Find default settings outside their allowed range."""
    for setting in SETTINGS:
        if setting.kind in ("integer", "number") and setting.default is not None:
            try:
                setting.parse(str(setting.default))
            except SettingsError as error:
                yield Finding("package.E001", str(error), "fix conf/defaults.py")


@register
def check_schema(context):
    """Find a message schema that loses a field in encoding and decoding."""
    query = WorkQuery(shard="zone.0", request_id="r")
    _, payload, _ = decode(encode(1, query))
    if payload.request_id != query.request_id:
        yield Finding(
            "package.E002",
            "a message loses a field when it is encoded and decoded",
            "reinstall",
        )
