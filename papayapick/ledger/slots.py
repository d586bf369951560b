"""Ledger of the slots of instances."""

from papayapick.ledger.exceptions import HostFull, HostUnknown, ReservationUnknown

__all__ = ["SlotLedger"]


class _Instance:
    __slots__ = (
        "connections",
        "grants",
        "is_open",
        "name",
        "service",
        "slots",
        "url",
    )

    def __init__(self, name, service, url, slots, connections):
        self.name = name
        self.service = service
        self.url = url
        self.slots = slots
        self.connections = connections
        self.grants = set()
        self.is_open = False

    @property
    def limit(self):
        return min(self.slots, self.connections)


class SlotLedger:
    """Track the slots in use of the instances of one shard.

    Each call needs a slot and a connection, so the lower of the two limits applies. An
    instance is closed until the owner of the shard knows which calls run there.
    """

    __slots__ = ("_grants", "_instances", "_services")

    def __init__(self):
        self._instances = {}
        self._services = {}
        self._grants = {}

    @property
    def names(self):
        """Return the names of the instances."""
        return list(self._instances)

    def add(self, name, service, url, slots, connections):
        """Add a closed instance, or update the address of a known one."""
        found = self._instances.get(name)
        if found is not None:
            found.url = url
            return
        instance = _Instance(name, service, url, slots, connections)
        self._instances[name] = instance
        self._services.setdefault(service, []).append(instance)

    def open(self, name):
        """Allow new work on an instance."""
        self._instance(name).is_open = True

    def close(self, name):
        """Allow no new work on an instance."""
        self._instance(name).is_open = False

    def is_open(self, name):
        """Return whether new work is allowed on an instance."""
        return name in self._instances and self._instances[name].is_open

    def remove(self, name):
        """Remove an instance and its grants."""
        instance = self._instances.pop(name)
        self._services[instance.service].remove(instance)
        for grant in instance.grants:
            del self._grants[grant]

    def reserve(self, name, grant):
        """Reserve a slot of an open instance.

        Raises
        ------
        HostUnknown
        HostFull
            If the instance is closed or has no free slot.
        """
        instance = self._instance(name)
        if not instance.is_open or len(instance.grants) >= instance.limit:
            raise HostFull(host=name, demand="one slot")
        self._grants[grant] = instance
        instance.grants.add(grant)

    def restore(self, name, grant):
        """Add a grant for a call that is running already, even beyond the limit."""
        instance = self._instance(name)
        self._grants[grant] = instance
        instance.grants.add(grant)

    def release(self, grant):
        """Release the slot of a call that is known to have ended.

        Returns
        -------
        str
            Name of the instance.

        Raises
        ------
        ReservationUnknown
        """
        instance = self._grants.pop(grant, None)
        if instance is None:
            raise ReservationUnknown(reservation=grant)
        instance.grants.discard(grant)
        return instance.name

    def url(self, name):
        """Return the address of an instance."""
        return self._instance(name).url

    def busy(self, name):
        """Return the number of slots in use at an instance."""
        return len(self._instance(name).grants)

    def free_slots(self, service):
        """Return the number of free slots at the open instances of a service."""
        return sum(
            max(0, instance.limit - len(instance.grants))
            for instance in self._services.get(service, ())
            if instance.is_open
        )

    def instances(self, service):
        """Return the names of a service's instances, open or not."""
        return [instance.name for instance in self._services.get(service, ())]

    def open_instances(self, service):
        """Return the open instances of a service.

        Returns
        -------
        list of (str, int, int)
            Name, slots in use and limit of each instance.
        """
        return [
            (instance.name, len(instance.grants), instance.limit)
            for instance in self._services.get(service, ())
            if instance.is_open
        ]

    def services(self):
        """Return the names of the services."""
        return list(self._services)

    def _instance(self, name):
        if name not in self._instances:
            raise HostUnknown(host=name)
        return self._instances[name]
