"""Exchange the operator's rows between the hosts of a cell."""

import random
from concurrent.futures import TimeoutError as FutureTimeout
from concurrent.futures import as_completed

from papayapick.clients.rows import Page
from papayapick.entry.configuration.operator_rows import decode_rows
from papayapick.entry.events import CONFIGURATION_NOT_RECEIVED, CONFIGURATION_RECEIVED
from papayapick.wire.exceptions import PeerUnreachable, WireError
from papayapick.wire.messages import ConfigurationQuery, ConfigurationReply

__all__ = ["ConfigurationExchange", "preferred_peers"]

_ASK_TIMEOUT_SECONDS = 0.8
# A host asks few others, always the same, as each of them costs both a connection.
_NEAR_PEERS = 4
_REMOTE_PEERS = 3
# In a round about this many hosts of a region ask one of another region. The others get
# the rows from them, so that few copies pass the link between the regions.
_REMOTE_ASKERS = 3
# A host that did not answer is not asked again for this time: the rows of removed hosts
# remain for a while.
_PEER_PAUSE_SECONDS = 5.0


class ConfigurationExchange:
    """Give the operator's rows to other hosts, and request theirs.

    Parameters
    ----------
    host : EntryHost
    rows : OperatorRows
    """

    __slots__ = ("_host", "_rows")

    def __init__(self, host, rows):
        self._host = host
        self._rows = rows

    def answer(self, query):
        """Return the ``ConfigurationReply`` to another host.

        Parameters
        ----------
        query : ConfigurationQuery
        """
        rows, version = self._rows.changed_since(query.known_version)
        return ConfigurationReply(
            version=version,
            rows=rows,
            is_current=not self._host.store_health.is_lost(),
        )

    def fetch(self, version):
        """Ask a few hosts for newer rows; return a Page of them, or None.

        Parameters
        ----------
        version : int
            Version of the store up to which this host has all rows.
        """
        executor = self._host.executor
        calls = [
            executor.submit(self._ask, peer, version) for peer in self._choose_round()
        ]
        try:
            for call in as_completed(calls, _ASK_TIMEOUT_SECONDS):
                reply = call.result()
                if reply is not None and reply.page.rows:
                    return reply.page
        except FutureTimeout:
            # Whoever has not answered by now is logged by its own call.
            return None
        return None

    def fetch_current(self, version):
        """Return a Page from a host that the store answers or that has newer rows.

        Returns None if there is no such host.

        Parameters
        ----------
        version : int
        """
        near, remote = self._groups()
        for peer in near + remote:
            reply = self._ask(peer, version)
            if reply is not None and (reply.is_current or reply.page.rows):
                return reply.page
        return None

    def _choose_round(self):
        near, remote = self._groups()
        chosen = [random.choice(near)] if near else []
        region = self._host.settings.region
        size = 1 + sum(peer.region == region for peer in self._host.peers.all())
        if remote and (not near or random.random() < _REMOTE_ASKERS / size):
            chosen.append(random.choice(remote))
        return chosen

    def _groups(self):
        """Return the hosts to ask in this region and in others, as two lists."""
        settings = self._host.settings
        now = self._host.clock.monotonic()
        able = [
            peer
            for peer in self._host.peers.all()
            if now - peer.configuration_failed_at > _PEER_PAUSE_SECONDS
        ]
        near = [peer for peer in able if peer.region == settings.region]
        remote = [peer for peer in able if peer.region != settings.region]
        return (
            preferred_peers(settings.host_name, near, _NEAR_PEERS),
            preferred_peers(settings.host_name, remote, _REMOTE_PEERS),
        )

    def _ask(self, peer, version):
        """Return what a host answers, or None if it does not."""
        asked_at = self._host.clock.monotonic()
        try:
            reply = peer.client.ask(
                ConfigurationQuery(known_version=version), _ASK_TIMEOUT_SECONDS
            )
            rows = decode_rows(reply.rows)
        except WireError as error:
            peer.configuration_failed_at = self._host.clock.monotonic()
            CONFIGURATION_NOT_RECEIVED.write(peer=peer.name, error=str(error))
            if not isinstance(error, PeerUnreachable):
                peer.client.close()
            return None
        if rows:
            CONFIGURATION_RECEIVED.write(
                peer=peer.name,
                rows=len(rows),
                bytes=len(reply.rows),
                seconds=round(self._host.clock.monotonic() - asked_at, 3),
            )
        return _Reply(Page(rows, max(version, reply.version)), bool(reply.is_current))


class _Reply:
    """Hold a decoded ``ConfigurationReply``."""

    __slots__ = ("is_current", "page")

    def __init__(self, page, is_current):
        self.page = page
        self.is_current = is_current


def preferred_peers(host_name, peers, count):
    """Return the hosts that a host asks, always the same as long as they are there.

    Each host asks others than the next one does. Large hosts are chosen more often:
    they have wider links, and read the rows from the store before small ones do.

    Parameters
    ----------
    host_name : str
        Of the host that asks.
    peers : list of Peer
    count : int

    Returns
    -------
    list of Peer
    """

    def preference(peer):
        drawn = random.Random(f"{host_name} {peer.name}").random()
        return drawn ** (1 / max(peer.processors, 0.01) ** 2)

    return sorted(peers, key=preference, reverse=True)[:count]
