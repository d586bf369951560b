"""Register and run checks."""

import json

from papayapick.bundle import Bundle, BundleInvalid
from papayapick.checks.findings import ERROR, Finding
from papayapick.conf import SETTINGS, Settings
from papayapick.conf.exceptions import SettingsError
from papayapick.conf.settings import OPERATOR
from papayapick.platforms import HostList, HttpPool, PlatformError, Table
from papayapick.wire import decode, encode
from papayapick.wire.messages import WorkQuery

__all__ = ["register", "run_checks"]

_CHECKS = []


def register(check):
    """Add a check; it takes bundles and is_deployed and yields findings."""
    _CHECKS.append(check)
    return check


def run_checks(bundles=(), is_deployed=False):
    """Run every check.

    Parameters
    ----------
    bundles : sequence of str
        Paths of bundle documents.
    is_deployed : bool
        Look at settings and reach the platform.

    Returns
    -------
    list of Finding
    """
    return [
        finding for check in _CHECKS for finding in check(list(bundles), is_deployed)
    ]


@register
def check_defaults(bundles, is_deployed):
    """Find defaults outside their own range."""
    for setting in SETTINGS:
        if setting.kind in ("integer", "number") and setting.default is not None:
            try:
                setting.parse(str(setting.default))
            except SettingsError as error:
                yield Finding("conf.E001", ERROR, str(error), "mend conf/defaults.py")


@register
def check_schema(bundles, is_deployed):
    """Find a message schema that does not carry its classes."""
    query = WorkQuery(shard="zone.0", request_id="r")
    _, payload, _ = decode(encode(1, query))
    if payload.request_id != query.request_id:
        yield Finding("wire.E001", ERROR, "a message is not carried", "reinstall")


@register
def check_bundles(bundles, is_deployed):
    """Find bundle documents that break the schema."""
    for path in bundles:
        try:
            with open(path, encoding="utf-8") as file:
                found = json.load(file)
            Bundle.from_document(found.get("document", found))
        except (OSError, ValueError, AttributeError) as error:
            yield Finding(
                "bundle.E001", ERROR, f"{path}: {error}", "name a JSON document"
            )
        except BundleInvalid as error:
            yield Finding(
                "bundle.E002", ERROR, f"{path}: {error}", "see docs/ref/bundle.md"
            )


@register
def check_surroundings(bundles, is_deployed):
    """Find settings that are wrong and services that do not answer."""
    if not is_deployed:
        return
    try:
        settings = Settings.from_config(OPERATOR)
    except SettingsError as error:
        yield Finding("conf.E002", ERROR, str(error), "see docs/ref/settings.md")
        return
    pool = HttpPool(settings.platform_timeout_seconds)
    reaches = (
        ("platform.E001", Table(settings.table_url, pool).read, ("bundle/head",)),
        ("platform.E002", HostList(settings.hosts_url, pool).fetch, ()),
    )
    for identifier, reach, arguments in reaches:
        try:
            reach(*arguments)
        except PlatformError as error:
            yield Finding(identifier, ERROR, str(error), "look at the address")
