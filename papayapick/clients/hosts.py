"""Read the platform's list of live and leaving hosts, which lags behind."""

import json

from papayapick.clients.exceptions import (
    AnswerMissing,
    HostListUnavailable,
    NotSent,
)

__all__ = [
    "GATEWAY_KIND",
    "INSTANCE_KIND",
    "PLACER_KIND",
    "WORKER_KIND",
    "HostEntry",
    "HostList",
]

WORKER_KIND = "worker"
INSTANCE_KIND = "instance"
PLACER_KIND = "placer"
GATEWAY_KIND = "gateway"
LIVE = "live"
_NOT_MODIFIED = 304


class HostEntry:
    """Hold one entry of the live list.

    Parameters
    ----------
    name : str
    kind : {"worker", "instance", "gateway", "placer"}
    state : {"live", "leaving"}
    url : str
        Base address; ``IP:PORT`` for processes of the cell.
    region, zone, rack : str
    capacity : dict of str to int
        ``processors`` (millicores), ``memory`` (MiB), ``accelerators``,
        ``slots`` and ``connections``; a missing key means 0.
    service : str
        Service of an instance; empty for other kinds.
    worker : str
        Worker on which an instance runs; empty for other kinds.
    """

    __slots__ = (
        "capacity",
        "kind",
        "name",
        "rack",
        "region",
        "service",
        "state",
        "url",
        "worker",
        "zone",
    )

    def __init__(
        self,
        name,
        kind,
        state,
        url,
        region,
        zone,
        rack="",
        capacity=None,
        service="",
        worker="",
    ):
        self.name = name
        self.kind = kind
        self.state = state
        self.url = url
        self.region = region
        self.zone = zone
        self.rack = rack
        self.capacity = capacity or {}
        self.service = service
        self.worker = worker

    @property
    def is_live(self):
        """Return whether the host accepts new work."""
        return self.state == LIVE

    @property
    def address(self):
        """Return the IP address and port of a process of the cell.

        Returns
        -------
        tuple of (str, int)
        """
        host, _, port = self.url.rpartition(":")
        return host, int(port)


class HostList:
    """Fetch the live list.

    Parameters
    ----------
    url : str
    pool : HttpPool
    """

    __slots__ = ("_entries", "_pool", "_tag", "_url")

    def __init__(self, url, pool):
        self._url = url
        self._pool = pool
        self._tag = None
        self._entries = ()

    @property
    def tag(self):
        """Return the entity tag of the last fetched list, or an empty string."""
        return self._tag or ""

    def fetch(self):
        """Return the entries of the list.

        The request is conditional, so an unchanged list is answered without a body:
        the list of a cell takes about ten kilobytes, and each process polls it once a
        second.

        Returns
        -------
        tuple of HostEntry
            The same object as before if the list has not changed.

        Raises
        ------
        HostListUnavailable
        """
        try:
            headers = {"If-None-Match": self._tag} if self._tag else {}
            answer = self._pool.request("GET", self._url, headers=headers)
            if answer.status == _NOT_MODIFIED:
                return self._entries
            if answer.status != 200:
                raise HostListUnavailable()
            entries = json.loads(answer.body)["hosts"]
            self._entries = tuple(HostEntry(**entry) for entry in entries)
            self._tag = answer.headers.get("ETag")
            return self._entries
        except (NotSent, AnswerMissing, ValueError, KeyError, TypeError) as error:
            raise HostListUnavailable() from error
