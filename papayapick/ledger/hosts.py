"""Ledger of the room on hosts, which is reserved before a task starts."""

import threading

from papayapick.ledger.accelerator_reserve import AcceleratorReserve
from papayapick.ledger.amounts import Amounts
from papayapick.ledger.exceptions import HostFull, HostUnknown, ReservationUnknown
from papayapick.ledger.rooms import RoomIndex

__all__ = ["HostLedger"]

# Part of each free accelerator's share of its host that other work must leave free.
RESERVED_PERCENT = 50
# Sort key of hosts without accelerators, before those with no free accelerator.
_WITHOUT_ACCELERATORS = -1
_ZERO = Amounts()


class _Host:
    __slots__ = (
        "capacity",
        "free",
        "held",
        "is_open",
        "is_quarantined",
        "name",
        "reservations",
        "shown",
    )

    def __init__(self, name, capacity):
        self.name = name
        self.capacity = capacity
        self.free = capacity
        # Amounts hidden from choices by ``HostLedger.hold``.
        self.held = _ZERO
        # Free amounts offered to choices; zero if the host is in no index.
        self.shown = _ZERO
        self.is_quarantined = False
        self.is_open = False
        self.reservations = set()


class HostLedger:
    """Track the capacity, reservations and free amounts of the hosts of one shard.

    A host is closed until it has been fenced and its inventory has been read; a closed
    host counts as full. Two indexes hold the open hosts: one for work that needs
    accelerators and one for work that needs only processors and memory. The second
    shows a host without the amounts that are reserved for its free accelerators.

    Several threads of a placer use one ledger. Each change holds the lock, and so must
    a choice with its reservation: two choices of the same room would overfill a host.

    Parameters
    ----------
    reserved_percent : int
        Part of each free accelerator's share of its host's processors and memory that
        work without accelerators leaves free, in percent.
    """

    __slots__ = (
        "_accelerator_index",
        "_hosts",
        "_lock",
        "_processor_index",
        "_reservations",
        "_reserve",
        "_total_shown",
        "_version",
    )

    def __init__(self, reserved_percent=RESERVED_PERCENT):
        self._hosts = {}
        self._reservations = {}
        self._processor_index = RoomIndex()
        self._accelerator_index = RoomIndex()
        self._reserve = AcceleratorReserve(reserved_percent)
        self._total_shown = _ZERO
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
        """Return the lock to hold during a choice and its reservation."""
        return self._lock

    @property
    def version(self):
        """Return a number that increases with each change."""
        return self._version

    def add(self, name, capacity):
        """Add a closed host, or update the capacity of a known one."""
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
                self._set_free(host, free)

    def open(self, name):
        """Allow new work on a host."""
        with self._lock:
            host = self._host(name)
            host.is_open = True
            self._set_free(host, host.free)

    def close(self, name):
        """Allow no new work on a host; its reservations stay."""
        with self._lock:
            host = self._host(name)
            host.is_open = False
            self._set_free(host, host.free)

    def set_quarantined(self, name, is_quarantined):
        """Keep new work away from an open host, or allow it there again."""
        with self._lock:
            host = self._host(name)
            if host.is_quarantined != is_quarantined:
                host.is_quarantined = is_quarantined
                self._set_free(host, host.free)

    def is_open(self, name):
        """Return whether a host is open, even if it is quarantined."""
        return name in self._hosts and self._hosts[name].is_open

    def remove(self, name):
        """Remove a host and its reservations."""
        with self._lock:
            self.close(name)
            host = self._hosts.pop(name)
            self._reserve.remove(host.capacity)
            for reservation in host.reservations:
                del self._reservations[reservation]

    def reserve(self, name, reservation, demand):
        """Reserve room on an open host; repeating a reservation has no effect.

        Raises
        ------
        HostUnknown
        HostFull
            If the host is closed or quarantined, or the demand exceeds its free room.
        """
        with self._lock:
            if reservation in self._reservations:
                return
            host = self._host(name)
            if host.is_quarantined or not host.is_open or not demand.fits_in(host.free):
                raise HostFull(host=name, demand=demand)
            self._add_reservation(host, reservation, demand)

    def restore(self, name, reservation, demand):
        """Add a reservation for work that an inventory lists, even beyond the capacity.

        The work is running in any case. A negative free amount keeps new work away
        until enough of it has ended.
        """
        with self._lock:
            if reservation not in self._reservations:
                self._add_reservation(self._host(name), reservation, demand)

    def release(self, reservation):
        """Release a reservation whose work is known to have ended.

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
            self._set_free(host, host.free + demand)
            return host.name

    def hold(self, name, amounts):
        """Hide free room of a host from ``best_fit``; a reservation may still use it.

        Parameters
        ----------
        name : str
        amounts : Amounts
            Amounts to hide instead of those of an earlier call; zero to end the hold.
        """
        with self._lock:
            host = self._host(name)
            if host.held != amounts:
                host.held = amounts
                self._update_index(host)

    def free(self, name):
        """Return the free amounts of a host, or zero if it is closed."""
        host = self._host(name)
        return host.free if host.is_open else Amounts()

    def capacity(self, name):
        """Return the capacity of a host."""
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
        """Return the names of the hosts that are open and not quarantined."""
        with self._lock:
            return [
                host.name
                for host in self._hosts.values()
                if host.is_open and not host.is_quarantined
            ]

    def best_fit(self, demand):
        """Return the first open host in the order of ``RoomIndex`` with enough room.

        Returns
        -------
        str or None
        """
        with self._lock:
            if self._reserve.may_use_reserve(demand):
                name = self._accelerator_index.find(demand)
                if name is not None:
                    return name
            return None if demand.accelerators else self._processor_index.find(demand)

    def usable(self, name, free, demand):
        """Return the part of a host's free amounts that a demand may use.

        Parameters
        ----------
        name : str
        free : Amounts
            Present or expected free amounts.
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
        """Raise a reservation to the reported usage of its task; never lower it.

        The task uses these amounts in any case, so the free amounts of the host may
        become negative, which keeps new work away.
        """
        with self._lock:
            if reservation not in self._reservations:
                return
            host, demand = self._reservations[reservation]
            raised = Amounts(
                max(demand.processors, used.processors),
                max(demand.memory, used.memory),
                max(demand.accelerators, used.accelerators),
            )
            if raised != demand:
                self._reservations[reservation] = (host, raised)
                self._set_free(host, host.free + demand - raised)

    def capacities(self):
        """Return the distinct capacities of the hosts."""
        with self._lock:
            return self._reserve.capacities

    def may_have_room(self, demand, members):
        """Return whether the sum of all free room suffices for a number of members.

        This cheap check rejects most large jobs that can't be placed. If it passes, the
        job may still not fit, as the room is spread over the hosts.
        """
        with self._lock:
            return (
                demand.processors * members <= self._total_shown.processors
                and demand.memory * members <= self._total_shown.memory
                and demand.accelerators * members <= self._total_shown.accelerators
            )

    def could_hold(self, demand, members=1):
        """Return whether empty hosts could hold a number of members of a demand."""
        with self._lock:
            return self._reserve.could_hold(demand, members)

    def _host(self, name):
        if name not in self._hosts:
            raise HostUnknown(host=name)
        return self._hosts[name]

    def _add_reservation(self, host, reservation, demand):
        self._reservations[reservation] = (host, demand)
        host.reservations.add(reservation)
        self._set_free(host, host.free - demand)

    def _set_free(self, host, free):
        self._version += 1
        host.free = free
        self._update_index(host)

    def _update_index(self, host):
        self._processor_index.discard(host.name)
        self._accelerator_index.discard(host.name)
        shown = host.free - host.held
        # An overfilled host is in no index: even an empty demand must not go there.
        accepts_work = host.is_open and not host.is_quarantined
        is_shown = accepts_work and _ZERO.fits_in(shown)
        before, host.shown = host.shown, shown if is_shown else _ZERO
        self._total_shown = self._total_shown + host.shown - before
        if not is_shown:
            return
        if not host.capacity.accelerators:
            self._processor_index.add(host.name, shown, _WITHOUT_ACCELERATORS)
            return
        self._accelerator_index.add(host.name, shown)
        unreserved = shown - self._reserve.reserved_amounts(host.capacity, shown)
        if _ZERO.fits_in(unreserved):
            self._processor_index.add(host.name, unreserved, shown.accelerators)
