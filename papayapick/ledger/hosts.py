"""Reserve room on workers before anything starts there."""

from sortedcontainers import SortedKeyList

from papayapick.ledger.amounts import Amounts
from papayapick.ledger.exceptions import HostFull, HostUnknown, ReservationUnknown

__all__ = ["HostLedger"]


class _Host:
    __slots__ = ("capacity", "free", "is_open", "name", "reservations")

    def __init__(self, name, capacity):
        self.name = name
        self.capacity = capacity
        self.free = capacity
        self.is_open = False
        self.reservations = set()


class HostLedger:
    """Count the room of the workers of one shard.

    A host is closed until it has been fenced and its inventory taken; a closed
    host counts as full. The index holds open hosts by free processors, so that
    a decision does not scan them all.
    """

    __slots__ = ("_hosts", "_index", "_reservations")

    def __init__(self):
        self._hosts = {}
        self._reservations = {}
        self._index = SortedKeyList(
            key=lambda host: (host.free.processors, host.free.memory, host.name)
        )

    @property
    def names(self):
        """Return the names of the hosts."""
        return list(self._hosts)

    def add(self, name, capacity):
        """Add a closed host; an equal one that is there stays as it is."""
        host = self._hosts.get(name)
        if host is None:
            self._hosts[name] = _Host(name, capacity)
        elif host.capacity != capacity:
            self._change(host, free=host.free + capacity - host.capacity)
            host.capacity = capacity

    def open(self, name):
        """Let new work go to a host."""
        host = self._host(name)
        if not host.is_open:
            host.is_open = True
            self._index.add(host)

    def close(self, name):
        """Let no new work go to a host; what is reserved stays reserved."""
        host = self._host(name)
        if host.is_open:
            self._index.remove(host)
            host.is_open = False

    def is_open(self, name):
        """Return whether new work may go to a host."""
        return name in self._hosts and self._hosts[name].is_open

    def remove(self, name):
        """Forget a host and its reservations."""
        self.close(name)
        host = self._hosts.pop(name)
        for reservation in host.reservations:
            del self._reservations[reservation]

    def reserve(self, name, reservation, demand):
        """Take room on an open host; the same reservation again changes nothing.

        Raises
        ------
        HostUnknown, HostFull
        """
        if reservation in self._reservations:
            return
        host = self._host(name)
        if not host.is_open or not demand.fits_in(host.free):
            raise HostFull(host=name, demand=demand)
        self._take(host, reservation, demand)

    def restore(self, name, reservation, demand):
        """Count work that an inventory found, even where it overfills the host.

        What runs there runs, whatever the ledger thinks; a free amount below
        zero keeps new work away until it has ended.
        """
        if reservation not in self._reservations:
            self._take(self._host(name), reservation, demand)

    def release(self, reservation):
        """Give room back on proof that the work has ended.

        Returns
        -------
        str
            Name of the host.

        Raises
        ------
        ReservationUnknown
        """
        if reservation not in self._reservations:
            raise ReservationUnknown(reservation=reservation)
        host, demand = self._reservations.pop(reservation)
        host.reservations.discard(reservation)
        self._change(host, free=host.free + demand)
        return host.name

    def free(self, name):
        """Return the free amounts of a host, nothing where it is closed."""
        host = self._host(name)
        return host.free if host.is_open else Amounts()

    def capacity(self, name):
        """Return all that a host holds."""
        return self._host(name).capacity

    def reservations(self, name):
        """Return the reservations on a host."""
        return set(self._host(name).reservations)

    def tightest(self, demand):
        """Return the open host that holds a demand with least processors left.

        Returns
        -------
        str or None
        """
        start = self._index.bisect_key_left((demand.processors, 0, ""))
        for host in self._index.islice(start):
            if demand.fits_in(host.free):
                return host.name
        return None

    def could_hold(self, demand):
        """Return whether any host could hold a demand if it were empty."""
        return any(demand.fits_in(host.capacity) for host in self._hosts.values())

    def _host(self, name):
        if name not in self._hosts:
            raise HostUnknown(host=name)
        return self._hosts[name]

    def _take(self, host, reservation, demand):
        self._reservations[reservation] = (host, demand)
        host.reservations.add(reservation)
        self._change(host, free=host.free - demand)

    def _change(self, host, free):
        if host.is_open:
            self._index.remove(host)
        host.free = free
        if host.is_open:
            self._index.add(host)
