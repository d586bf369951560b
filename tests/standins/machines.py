"""Stand-in for the service that lists machines and accepts orders for their upkeep."""

import threading

OK = "200 OK"
BAD = "400 Bad Request"
CONFLICT = "409 Conflict"
PER_PAGE = 3


class MachinesStandin:
    """List the machines of a cluster; a machine in upkeep returns with a new worker.

    Parameters
    ----------
    cluster : Cluster

    Attributes
    ----------
    orders : list of (machine, wave, holder, token)
    max_in_upkeep : int
        Highest number of machines that were in upkeep at the same time.
    """

    def __init__(self, cluster):
        self._cluster = cluster
        self._lock = threading.Lock()
        self._tokens = {}
        self.upkeep_seconds = 0.3
        self.in_upkeep = {}
        self.served = set()
        # Machines of each requested wave, by its number.
        self.waves = {}
        self.orders = []
        self.max_in_upkeep = 0
        self._timers = []
        self._is_closed = False

    def close(self):
        """Cancel the timers, so that no machine returns after this call."""
        with self._lock:
            self._is_closed = True
            for timer in self._timers:
                timer.cancel()

    def list(self, query):
        """Return one page of the machines, sorted by name."""
        first = int(query.get("page_token", 0))
        entries = self.entries()
        page = entries[first : first + PER_PAGE]
        rest = first + PER_PAGE < len(entries)
        return OK, {
            "machines": page,
            "next_token": str(first + PER_PAGE) if rest else "",
        }

    def entries(self):
        """Return the entries of all machines, sorted by name."""
        with self._lock:
            names = sorted([*list(self._cluster.workers), *self.in_upkeep])
            return [self._entry(name) for name in names]

    def _entry(self, name):
        cluster = self._cluster
        capacity = self.in_upkeep.get(name) or cluster.workers[name].capacity
        state = "upkeep" if name in self.in_upkeep else "up"
        if name in cluster.down:
            state = "down"
        return {
            "machine": machine_of(name),
            "pool": "pool-1",
            "state": state,
            "zone": "z1",
            "labels": ["a", "r1-1"],
            "capacity": capacity,
            "id": name if state == "up" else "",
        }

    def begin_upkeep(self, body, environ):
        """Handle an order to begin the upkeep of a machine."""
        machine, wave = body["machine"], body["wave"]
        holder = environ.get("HTTP_X_LEASE_HOLDER", "")
        token = int(environ.get("HTTP_X_FENCING_TOKEN", 0))
        with self._lock:
            names = {machine_of(name): name for name in self._cluster.workers}
            if machine not in names and machine not in self.served:
                return BAD, {}
            if token < self._tokens.get(machine, 0):
                return CONFLICT, {"reason": "fence"}
            self._tokens[machine] = token
            if machine not in self.waves.get(wave, ()):
                return CONFLICT, {"reason": "wave"}
            if machine in self.served:
                return OK, {}
            name = names[machine]
            if name in self._cluster.down:
                return CONFLICT, {"reason": "busy"}
            self.orders.append((machine, wave, holder, token))
            self.served.add(machine)
            self._begin(name)
        return OK, {}

    def _begin(self, name):
        worker = self._cluster.workers.pop(name)
        self.in_upkeep[name] = worker.capacity
        self.max_in_upkeep = max(self.max_in_upkeep, len(self.in_upkeep))
        with worker.changed:
            worker.is_silent = True
            worker.lose_runs()
        self._cluster.rows.remove("servers", "", name)
        timer = threading.Timer(self.upkeep_seconds, self._return, (name,))
        timer.daemon = True
        timer.start()
        self._timers.append(timer)

    def _return(self, name):
        with self._lock:
            # Cancelling a timer has no effect once its thread waits for this lock.
            if self._is_closed:
                return
            del self.in_upkeep[name]
            self._cluster.add_worker(name + ".2", task_seconds=0.15)


def machine_of(name):
    """Return the machine of a worker; a restarted worker's id has a suffix."""
    return "m-" + name.partition(".")[0]
