"""Index the granted slots that are not freed yet."""

__all__ = ["HeldGrant", "HeldGrants"]


class HeldGrant:
    """Represent one granted slot.

    Parameters
    ----------
    instance, service, request_id : str
    granted_at : float
        Monotonic seconds.
    in_doubt_after : float
        Monotonic seconds after which the backend server is queried about the call.
    """

    __slots__ = ("granted_at", "in_doubt_after", "instance", "request_id", "service")

    def __init__(self, instance, service, request_id, granted_at, in_doubt_after):
        self.instance = instance
        self.service = service
        self.request_id = request_id
        self.granted_at = granted_at
        self.in_doubt_after = in_doubt_after


class HeldGrants:
    """Index grants by id and instance, and count them by service."""

    __slots__ = ("_by_id", "_by_instance", "_counts")

    def __init__(self):
        self._by_id = {}
        self._by_instance = {}
        self._counts = {}

    def __len__(self):
        return len(self._by_id)

    def add(self, grant_id, held):
        """Add a grant."""
        self._by_id[grant_id] = held
        self._by_instance.setdefault(held.instance, {})[grant_id] = held
        self._counts[held.service] = self._counts.get(held.service, 0) + 1

    def get(self, grant_id):
        """Return a grant, or None if its slot has been freed."""
        return self._by_id.get(grant_id)

    def remove(self, grant_id):
        """Remove a grant; raise KeyError for an unknown id."""
        held = self._by_id.pop(grant_id)
        del self._by_instance[held.instance][grant_id]
        self._counts[held.service] -= 1

    def count(self, service):
        """Return the number of taken slots of a service."""
        return self._counts.get(service, 0)

    def request_ids(self, instance):
        """Return the set of ids of the requests that hold slots of an instance."""
        return {held.request_id for held in self._at(instance).values()}

    def in_doubt_instances(self, now):
        """Return the sorted names of the instances that have a grant in doubt."""
        return sorted(
            name
            for name, grants in self._by_instance.items()
            if any(held.in_doubt_after <= now for held in grants.values())
        )

    def ended(self, instance, running, now):
        """Return the grants in doubt whose calls an instance no longer runs.

        Parameters
        ----------
        instance : str
        running : collection of str
            Ids of the requests that the instance reports as running.
        now : float
            Monotonic seconds.

        Returns
        -------
        list of (hashable, HeldGrant)
        """
        return [
            (grant_id, held)
            for grant_id, held in self._at(instance).items()
            if held.in_doubt_after <= now and held.request_id not in running
        ]

    def _at(self, instance):
        return self._by_instance.get(instance, {})
