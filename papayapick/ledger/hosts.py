"""Reserve room on workers before anything starts there."""

import threading

from papayapick.ledger.accelerator_reserve import AcceleratorReserve
from papayapick.ledger.amounts import Amounts
from papayapick.ledger.exceptions import HostFull, HostUnknown, ReservationUnknown
from papayapick.ledger.rooms import RoomIndex

__all__ = ["HostLedger"]

# Of each free accelerator's share of its host, what other work must leave free.
RESERVED_PERCENT = 50
_WITHOUT_ACCELERATORS = -1
_NOTHING = Amounts()


class _Host:
    __slots__ = (
        "capacity",
        "free",
        "held",
        "is_quarantined",
        "is_open",
        "name",
        "reservations",
        "shown",
    )

    def __init__(self, name, capacity):
        self.name = name
        self.capacity = capacity
        self.free = capacity
        self.held = _NOTHING
        self.shown = _NOTHING
        self.is_quarantined = False
        self.is_open = False
        self.reservations = set()


class HostLedger:
    """Count the room of the workers of one shard.

    A host is closed until it has been fenced and its inventory taken; a closed
    host counts as full. Two indexes hold the open hosts, one for work that needs
    accelerators and one for work that needs none; the second shows of a host
    with free accelerators only what it need not keep for them.

    Several tasks of a placer use one ledger. Each change and each choice with its
    reservation holds the lock: two choices of the same room would overfill a host.

    Parameters
    ----------
    reserved_percent : int
        Of each free accelerator's share of its host's processors and memory,
        what work without accelerators leaves free.
    """

    __slots__ = (
        "_accelerated",
        "_hosts",
        "_reserve",
        "_lock",
        "_plain",
        "_reservations",
        "_shown",
        "_version",
    )

    def __init__(self, reserved_percent=RESERVED_PERCENT):
        self._hosts = {}
        self._reservations = {}
        self._plain = RoomIndex()
        self._accelerated = RoomIndex()
        self._reserve = AcceleratorReserve(reserved_percent)
        self._shown = _NOTHING
        self._version = 0
        self._lock = threading.RLock()

    def __contains__(self, name):
        return name in self._hosts

    @property
    def names(self):
        """Return the names of the hosts."""
        with self._lock:
            return list(self._hosts)

    @property
    def lock(self):
        """Return the lock to hold over a choice and its reservation."""
        return self._lock

    @property
    def version(self):
        """Return a number that grows with each change."""
        return self._version

    def add(self, name, capacity):
        """Add a closed host; an equal one that is there stays as it is."""
        with self._lock:
            host = self._hosts.get(name)
            if host is None:
                self._hosts[name] = _Host(name, capacity)
                self._reserve.add(capacity)
            elif host.capacity != capacity:
                self._reserve.add(capacity)
                self._reserve.remove(host.capacity)
                free = host.free + capacity - host.capacity
                host.capacity = capacity
                self._change(host, free)

    def open(self, name):
        """Let new work go to a host."""
        with self._lock:
            host = self._host(name)
            host.is_open = True
            self._change(host, host.free)

    def close(self, name):
        """Let no new work go to a host; what is reserved stays reserved."""
        with self._lock:
            host = self._host(name)
            host.is_open = False
            self._change(host, host.free)

    def set_quarantined(self, name, is_quarantined):
        """Keep new work from an open host, or let it go there again."""
        with self._lock:
            host = self._host(name)
            if host.is_quarantined != is_quarantined:
                host.is_quarantined = is_quarantined
                self._change(host, host.free)

    def is_open(self, name):
        """Return whether new work may go to a host."""
        return name in self._hosts and self._hosts[name].is_open

    def remove(self, name):
        """Forget a host and its reservations."""
        with self._lock:
            self.close(name)
            host = self._hosts.pop(name)
            self._reserve.remove(host.capacity)
            for reservation in host.reservations:
                del self._reservations[reservation]

    def reserve(self, name, reservation, demand):
        """Take room on an open host; the same reservation again changes nothing.

        Raises
        ------
        HostUnknown, HostFull
        """
        with self._lock:
            if reservation in self._reservations:
                return
            host = self._host(name)
            if host.is_quarantined or not host.is_open or not demand.fits_in(host.free):
                raise HostFull(host=name, demand=demand)
            self._take(host, reservation, demand)

    def restore(self, name, reservation, demand):
        """Count work that an inventory found, even where it overfills the host.

        What runs there runs, whatever the ledger thinks; a free amount below
        zero keeps new work away until it has ended.
        """
        with self._lock:
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
        with self._lock:
            if reservation not in self._reservations:
                raise ReservationUnknown(reservation=reservation)
            host, demand = self._reservations.pop(reservation)
            host.reservations.discard(reservation)
            self._change(host, host.free + demand)
            return host.name

    def hold(self, name, amounts):
        """Hide free room of a host from choices; a reservation may still use it.

        Parameters
        ----------
        name : str
        amounts : Amounts
            Replaces what was held there before; nothing ends the hold.
        """
        with self._lock:
            host = self._host(name)
            if host.held != amounts:
                host.held = amounts
                self._index(host)

    def free(self, name):
        """Return the free amounts of a host, nothing where it is closed."""
        host = self._host(name)
        return host.free if host.is_open else Amounts()

    def capacity(self, name):
        """Return all that a host holds."""
        return self._host(name).capacity

    def reservations(self, name):
        """Return the reservations on a host."""
        with self._lock:
            return set(self._host(name).reservations)

    def reserved(self, reservation):
        """Return the host's name and the amounts of a reservation, or None."""
        found = self._reservations.get(reservation)
        return (found[0].name, found[1]) if found else None

    def open_hosts(self):
        """Return the names of the hosts that take new work."""
        with self._lock:
            return [
                host.name
                for host in self._hosts.values()
                if host.is_open and not host.is_quarantined
            ]

    def best_fit(self, demand):
        """Return the open host that holds a demand with least left over.

        Returns
        -------
        str or None
        """
        with self._lock:
            if self._reserve.may_use_reserve(demand):
                name = self._accelerated.find(demand)
                if name is not None:
                    return name
            return None if demand.accelerators else self._plain.find(demand)

    def usable(self, name, free, demand):
        """Return what a demand may use of the free amounts of a host.

        Parameters
        ----------
        name : str
        free : Amounts
            Now, or as it will be.
        demand : Amounts

        Returns
        -------
        Amounts
        """
        host = self._host(name)
        if not host.capacity.accelerators or self._reserve.may_use_reserve(demand):
            return free
        return free - self._reserve.reserved_amounts(host.capacity, free)

    def grow(self, reservation, used):
        """Raise a reservation to what its task is proved to use; never lower it.

        The host runs it, whatever the ledger thinks; a free amount below zero
        keeps new work away.
        """
        with self._lock:
            if reservation not in self._reservations:
                return
            host, demand = self._reservations[reservation]
            grown = Amounts(
                max(demand.processors, used.processors),
                max(demand.memory, used.memory),
                max(demand.accelerators, used.accelerators),
            )
            if grown != demand:
                self._reservations[reservation] = (host, grown)
                self._change(host, host.free + demand - grown)

    def capacities(self):
        """Return the different capacities of the hosts."""
        with self._lock:
            return self._reserve.capacities

    def may_have_room(self, demand, members):
        """Return whether so many members fit in all free room taken together.

        It refuses most large jobs without a try; a true answer promises nothing.
        """
        with self._lock:
            return (
                demand.processors * members <= self._shown.processors
                and demand.memory * members <= self._shown.memory
                and demand.accelerators * members <= self._shown.accelerators
            )

    def could_hold(self, demand, members=1):
        """Return whether the hosts could hold so many members if all were empty."""
        with self._lock:
            return self._reserve.could_hold(demand, members)

    def _host(self, name):
        if name not in self._hosts:
            raise HostUnknown(host=name)
        return self._hosts[name]

    def _take(self, host, reservation, demand):
        self._reservations[reservation] = (host, demand)
        host.reservations.add(reservation)
        self._change(host, host.free - demand)

    def _change(self, host, free):
        self._version += 1
        host.free = free
        self._index(host)

    def _index(self, host):
        self._plain.discard(host.name)
        self._accelerated.discard(host.name)
        shown = host.free - host.held
        # An overfilled host stands in no index: none of it is free.
        is_taking = host.is_open and not host.is_quarantined
        is_shown = is_taking and _NOTHING.fits_in(shown)
        before, host.shown = host.shown, shown if is_shown else _NOTHING
        self._shown = self._shown + host.shown - before
        if not is_shown:
            return
        if not host.capacity.accelerators:
            self._plain.add(host.name, shown, _WITHOUT_ACCELERATORS)
            return
        self._accelerated.add(host.name, shown)
        rest = shown - self._reserve.reserved_amounts(host.capacity, shown)
        if _NOTHING.fits_in(rest):
            self._plain.add(host.name, rest, shown.accelerators)
