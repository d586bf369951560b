"""Check bundles, and a bundle against the live list."""

from papayapick.bundle import BundleInvalid
from papayapick.checks.context import read_bundle
from papayapick.checks.findings import Finding
from papayapick.checks.queries import register
from papayapick.clients.hosts import (
    GATEWAY_KIND,
    INSTANCE_KIND,
    PLACER_KIND,
    WORKER_KIND,
)
from papayapick.ledger import Amounts

__all__ = ["check_bundles", "check_hosts", "check_services", "check_teams"]


@register
def check_bundles(context):
    """Find bundle documents that are unreadable, invalid or of another cell."""
    settings = context.settings
    for path in context.bundles:
        try:
            bundle = read_bundle(path)
        except (OSError, ValueError) as error:
            message = f"{path}: {error}"
            yield Finding("bundle.E001", message, "give a JSON document")
        except BundleInvalid as error:
            yield Finding("bundle.E002", f"{path}: {error}", "see docs/ref/bundle.md")
        else:
            if settings is not None and bundle.cell != settings.cell:
                message = f"{path} is for {bundle.cell}, this cell is {settings.cell}"
                yield Finding("bundle.E003", message, "give the right file or cell")


@register
def check_services(context):
    """Find services without an instance, and instances of unknown services."""
    bundle, entries = context.compared_bundle, context.entries
    if bundle is None or entries is None:
        return
    listed_services = {
        entry.service for entry in entries if entry.kind == INSTANCE_KIND
    }
    for name in sorted(set(bundle.services) - listed_services):
        message = f"service {name} has no instance on the live list"
        yield Finding("bundle.W001", message, "its requests will be refused")
    for name in sorted(listed_services - set(bundle.services)):
        message = f"instances of {name} are unused: the bundle does not name it"
        yield Finding("bundle.W002", message, "add it to the bundle")


@register
def check_hosts(context):
    """Find zones without placers or gateways, and hosts outside the bundle."""
    bundle, entries = context.compared_bundle, context.entries
    if bundle is None or entries is None:
        return
    zones = bundle.zones()
    for kind, identifier in (
        (PLACER_KIND, "bundle.W003"),
        (GATEWAY_KIND, "bundle.W004"),
    ):
        live_zones = {
            entry.zone for entry in entries if entry.kind == kind and entry.is_live
        }
        for zone in sorted(set(zones) - live_zones):
            message = f"zone {zone} has no live {kind}"
            yield Finding(
                identifier, message, "start one there, or check the live list"
            )
    for entry in entries:
        if zones.get(entry.zone) != entry.region:
            message = f"{entry.name} is in {entry.region}/{entry.zone}"
            hint = "the bundle has no such zone, so nothing runs there"
            yield Finding("bundle.E004", message, hint)


@register
def check_teams(context):
    """Find quotas of teams that exceed the capacity of the live workers."""
    bundle, entries = context.compared_bundle, context.entries
    if bundle is None or entries is None:
        return
    total = Amounts()
    for entry in entries:
        if entry.kind == WORKER_KIND and entry.is_live:
            total += Amounts.from_mapping(entry.capacity)
    for name, quota in sorted(bundle.teams.items()):
        if not Amounts.from_mapping(quota).fits_in(total):
            message = f"the quota of {name} exceeds the live workers' {total!r}"
            yield Finding("bundle.W005", message, "lower it, or add workers")
