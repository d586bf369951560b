"""Define the input of the checks."""

import json
import os
from functools import cached_property

from papayapick.bundle import Bundle, BundleInvalid, Envelope
from papayapick.bundle.queries import object_name, read_head
from papayapick.clients import (
    HostList,
    HostListUnavailable,
    HttpPool,
    ObjectMissing,
    ObjectStore,
    ObjectsUnavailable,
    Table,
    TableUnavailable,
)
from papayapick.clock import SystemClock
from papayapick.conf import Settings
from papayapick.conf.exceptions import SettingsError
from papayapick.conf.setting import OPERATOR

__all__ = ["CheckContext"]


class CheckContext:
    """Read settings and platform on first use, once for all checks.

    Parameters
    ----------
    bundles : sequence of str
        Paths of bundle documents.
    is_deployed : bool
        Whether settings and platform are read.
    environment : dict, optional
        The environment of the process by default.
    clock : Clock, optional
    """

    def __init__(self, bundles=(), is_deployed=False, environment=None, clock=None):
        self.bundles = list(bundles)
        self.is_deployed = is_deployed
        self.environment = dict(os.environ if environment is None else environment)
        self.clock = clock or SystemClock()

    @cached_property
    def settings(self):
        """Return the operator's settings, None if they are invalid or not checked."""
        if not self.is_deployed:
            return None
        try:
            return Settings.from_config(OPERATOR, environment=self.environment)
        except SettingsError:
            return None

    @cached_property
    def pool(self):
        """Return the pool of HTTP connections to the platform."""
        return HttpPool(self.settings.platform_timeout_seconds)

    @cached_property
    def table(self):
        """Return the client of the table service."""
        return Table(self.settings.table_url, self.pool)

    @cached_property
    def objects(self):
        """Return the client of the object store."""
        return ObjectStore(self.settings.objects_url, self.pool)

    @cached_property
    def entries(self):
        """Return the live list, None if it is not checked or does not answer."""
        if self.settings is None:
            return None
        try:
            return HostList(self.settings.hosts_url, self.pool).fetch()
        except HostListUnavailable:
            return None

    @cached_property
    def bundle_in_force(self):
        """Return the accepted bundle, None if there is none or it can't be read."""
        if self.settings is None:
            return None
        try:
            head = read_head(self.table)
            if not head.sequence:
                return None
            data = self.objects.get(object_name(head.digest))
            return Envelope.from_bytes(data).bundle
        except (TableUnavailable, ObjectsUnavailable, ObjectMissing, BundleInvalid):
            return None

    @cached_property
    def compared_bundle(self):
        """Return the first named bundle, else the accepted one; None if unreadable."""
        for path in self.bundles:
            try:
                return read_bundle(path)
            except (OSError, ValueError, BundleInvalid):
                return None
        return self.bundle_in_force


def read_bundle(path):
    """Return the bundle in a file, signed or unsigned.

    Raises
    ------
    OSError, ValueError, BundleInvalid
    """
    with open(path, encoding="utf-8") as file:
        found = json.load(file)
    if isinstance(found, dict) and "document" in found:
        found = found["document"]
    return Bundle.from_document(found)
