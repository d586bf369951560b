"""Check the key files, without showing their contents."""

import json
import os
import stat

from papayapick.bundle import BundleInvalid, KeyRing
from papayapick.checks.findings import Finding
from papayapick.checks.queries import register
from papayapick.wire import CellKeyInvalid, CellKeys

__all__ = ["check_cell_key", "check_operator_keys"]

_OTHERS_READ = stat.S_IRGRP | stat.S_IROTH
_OTHERS_WRITE = stat.S_IWGRP | stat.S_IWOTH


@register
def check_cell_key(context):
    """Find a cell key that is invalid or readable by other users."""
    settings = context.settings
    if settings is None:
        return
    try:
        keys = CellKeys.from_file(settings.cell_key)
    except CellKeyInvalid as error:
        yield Finding("keys.E001", str(error), "see docs/howto/rotate-keys.md")
        return
    if _mode(settings.cell_key) & _OTHERS_READ:
        yield Finding(
            "keys.W001",
            f"{settings.cell_key} can be read by users other than its owner",
            "with this key anyone can submit work: chmod 600, then rotate it",
        )
    if len(keys) > 1:
        yield Finding(
            "keys.W002",
            f"{len(keys)} cell keys are accepted",
            "a key rotation is in progress; finish it: docs/howto/rotate-keys.md",
        )


@register
def check_operator_keys(context):
    """Find operators' keys that are invalid or writable by other users."""
    settings = context.settings
    if settings is None:
        return
    try:
        KeyRing.from_config(settings)
        with open(settings.operator_keys, encoding="utf-8") as file:
            count = len(json.load(file))
    except (BundleInvalid, OSError, UnicodeDecodeError) as error:
        yield Finding("keys.E002", str(error), "see docs/howto/rotate-keys.md")
        return
    if _mode(settings.operator_keys) & _OTHERS_WRITE:
        yield Finding(
            "keys.E003",
            f"{settings.operator_keys} can be changed by users other than its owner",
            "anyone who adds a key can sign bundles: chmod 644",
        )
    if count == settings.required_signatures:
        yield Finding(
            "keys.W003",
            f"all {count} operators must sign each bundle",
            "a single lost key would block all rolls; add an operator",
        )


def _mode(path):
    return os.stat(path).st_mode
