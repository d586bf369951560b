"""Run entry hosts as processes under random faults, and look for second runs.

By hand: ``python -m tests.entry.soak --seeds=1-50 [--seconds=30] [--hosts=4]
[--departures] [--keep=FOLDER]``.

The faults come from outside the processes: hosts are killed and started again, alone or
all at once and in series, or suspended; workers crash and come back under the same id
or another one, at the same address or another one, or are cut off while their tasks run
on; calls get no answer and are executed at once, late or never; the store is away, and
entries of workers lapse meanwhile; the list of machines is behind. Workers drain and
exit with whatever runs, also right after the end of a run.
"""

import contextlib
import functools
import heapq
import itertools
import random
import signal
import sys
import tempfile
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from docopt import docopt

from tests.entry.cell import EntryCell, job
from tests.entry.soak_workers import LaggingMachines, SoakWorker
from tests.standins.cluster import Cluster
from tests.standins.runs import overlapping_runs, starts_after_done

WORKERS = 8
STEP_SECONDS = 0.05
# Longest time for which a fault other than a departure is felt.
FELT_SECONDS = 8.5
FAULT_INTERVAL_SECONDS = 0.8
JOB_INTERVAL_SECONDS = 0.35


class Soak:
    """Run one cell under the faults of one seed.

    Parameters
    ----------
    seed : int
    folder : pathlib.Path
        Receives settings and logs of the hosts.
    seconds : float
    hosts : int
    departures : bool, optional
        Whether workers that leave are the only fault.
    """

    def __init__(self, seed, folder, seconds=30.0, hosts=4, departures=False):
        self._random = random.Random(seed)
        self._lock = threading.Lock()
        self._seconds = seconds
        self._departures = departures
        self._cluster = Cluster()
        self._cluster.machines = LaggingMachines(self._cluster)
        self._cluster.configure()
        for number in range(1, WORKERS + 1):
            self._add_worker(f"w{number}")
        self._cell = EntryCell(self._cluster, folder, hosts)
        self._due = []
        self._numbers = itertools.count(1)
        self._callers = ThreadPoolExecutor(16)
        self._workers = list(self._cluster.workers.values())
        self.faults = []
        self.accepted = 0

    def draw(self):
        """Return a random number between 0 and 1."""
        with self._lock:
            return self._random.random()

    def run(self):
        """Run the faults, and return the pairs of runs that break a rule.

        They overlapped, or the second one began although the first was known as done.

        Returns
        -------
        list of (RunRecord, RunRecord)
        """
        try:
            with self._cell:
                self._run_faults()
        finally:
            self._callers.shutdown(wait=False, cancel_futures=True)
            self._cluster.close()
        late = starts_after_done(self._workers, self._is_calm)
        return overlapping_runs(self._workers) + late

    @property
    def runs(self):
        """Return the number of runs so far."""
        return sum(len(worker.records) for worker in self._workers)

    def _is_calm(self, since, until):
        """Return whether no fault but departures was felt between two times."""
        times = [at for at, name in self.faults if name != "drain_a_worker"]
        return not any(since - FELT_SECONDS < at < until for at in times)

    def _run_faults(self):
        began = time.monotonic()
        next_fault, next_job = began + 1.0, began
        while (now := time.monotonic()) < began + self._seconds:
            self._cluster.machines.note_present()
            while self._due and self._due[0][0] <= now:
                heapq.heappop(self._due)[2]()
            if now >= next_job:
                next_job = now + 2 * JOB_INTERVAL_SECONDS * self.draw()
                self._submit()
            if now >= next_fault:
                next_fault = now + 2 * FAULT_INTERVAL_SECONDS * self.draw()
                self._inject()
            time.sleep(STEP_SECONDS)

    def _after(self, seconds, action, *args):
        at = time.monotonic() + seconds
        step = functools.partial(action, *args)
        heapq.heappush(self._due, (at, next(self._numbers), step))

    def _between(self, low, high):
        return low + (high - low) * self.draw()

    def _choose(self, items):
        return items[int(len(items) * self.draw())]

    # Load.

    def _submit(self):
        identifier = f"{next(self._numbers):016x}"
        body = job(tasks=4, cpu=1000, estimate_ms=800, checkpointing=True)
        self._callers.submit(self._hand_in, identifier, body, self.draw())

    def _hand_in(self, identifier, body, draw):
        for attempt in range(4):
            host = self._cell.hosts[
                int(len(self._cell.hosts) * (draw + attempt / 4))
                % len(self._cell.hosts)
            ]
            with contextlib.suppress(OSError, ValueError):
                status, _ = host.call("POST", f"/quick/{identifier}", body, timeout=2.0)
                if status == 200:
                    self.accepted += 1
                    return
            time.sleep(0.5)

    def _add_worker(self, name, slot=None):
        worker = SoakWorker(name, self, task_seconds=0.8)
        worker.clock_rate = 0.98 + 0.04 * self.draw()
        worker.slot = slot or name
        self._cluster.workers[name] = worker
        self._cluster.register(name)
        return worker

    def note_exit(self, name):
        """Show the machine of a worker as down, since its process has ended."""
        self._cluster.down.add(name)

    # Faults.

    def _inject(self):
        kinds = (
            (0.10, self._kill_all_hosts),
            (0.14, self._kill_a_host),
            (0.10, self._suspend_a_host),
            (0.22, self._crash_a_worker),
            (0.20, self._cut_off_a_worker),
            (0.10, self._lose_calls),
            (0.09, self._disturb_the_store),
            (0.05, self._delay_the_list),
            (0.25, self._drain_a_worker),
        )
        if self._departures:
            kinds = kinds[-1:]
        weights = [weight for weight, _ in kinds]
        with self._lock:
            ((_, fault),) = self._random.choices(kinds, weights)
        self.faults.append((round(time.monotonic(), 2), fault.__name__[1:]))
        fault()

    def _kill_all_hosts(self):
        down = self._between(0.1, 2.5)
        for host in self._cell.hosts:
            host.end()
        for host in self._cell.hosts:
            self._after(down + self._between(0.0, 0.3), self._start, host)

    def _kill_a_host(self):
        owner = self._cell.owner()
        host = owner if owner and self.draw() < 0.7 else self._choose(self._cell.hosts)
        host.end()
        self._after(self._between(0.1, 2.5), self._start, host)

    @staticmethod
    def _start(host):
        if host.process.poll() is not None:
            host.start()

    def _suspend_a_host(self):
        host = self._cell.owner() or self._choose(self._cell.hosts)
        process = host.process
        if process.poll() is None:
            process.send_signal(signal.SIGSTOP)
            self._after(self._between(0.3, 4.0), process.send_signal, signal.SIGCONT)

    def _crash_a_worker(self):
        worker = self._choose(list(self._cluster.workers.values()))
        if worker.is_silent or worker.is_leaving:
            return
        with worker.changed:
            worker.is_silent = True
            worker.lose_runs()
        self._cluster.down.add(worker.name)
        back = self._after
        if self.draw() < 0.6:
            back(self._between(0.05, 2.0), self._restart, worker, self.draw() < 0.3)
        else:
            back(self._between(0.5, 3.0), self._replace, worker)

    def _restart(self, worker, is_moved):
        """Begin another life of a worker, perhaps at another address."""
        with worker.changed:
            worker.restart()
            worker.is_silent = worker.is_cut = False
        if is_moved:
            worker.slot = f"{worker.name}-{next(self._numbers)}"
        self._cluster.down.discard(worker.name)
        if not self._cluster.rows.is_down:
            self._cluster.register(worker.name)

    def _replace(self, worker):
        """Let another worker take the machine and the address of a crashed one."""
        machine = worker.name.partition(".")[0]
        self._cluster.workers.pop(worker.name)
        self._cluster.down.discard(worker.name)
        self._cluster.rows.remove("servers", "", worker.name)
        new = self._add_worker(f"{machine}.{next(self._numbers)}", worker.slot)
        self._workers.append(new)

    def _drain_a_worker(self):
        worker = self._choose(list(self._cluster.workers.values()))
        if worker.is_silent or worker.is_leaving:
            return
        worker.is_leaving = True
        if not self._cluster.rows.is_down:
            self._cluster.register(worker.name, "draining")
        self._after(self._between(0.2, 3.0), self._leave, worker)

    def _leave(self, worker):
        """Let a worker exit, at once or just after the next run that is done."""
        if worker.name not in self._cluster.workers:
            return
        if self.draw() < 0.3:
            self._exit(worker)
            return
        delay = self._between(0.0, 0.08)

        def exit_soon():
            worker.on_done = None
            timer = threading.Timer(delay, worker.exit)
            timer.daemon = True
            timer.start()

        worker.on_done = exit_soon
        self._after(1.0, self._exit, worker)

    def _exit(self, worker):
        worker.exit()
        if worker.name in self._cluster.workers:
            self._replace(worker)

    def _cut_off_a_worker(self):
        worker = self._choose(list(self._cluster.workers.values()))
        worker.is_cut = True
        self._after(self._between(0.3, 8.0), setattr, worker, "is_cut", False)

    def _lose_calls(self):
        for worker in list(self._cluster.workers.values()):
            worker.loss = 0.15
            self._after(self._between(1.0, 3.0), setattr, worker, "loss", 0.0)

    def _disturb_the_store(self):
        rows = self._cluster.rows
        rows.is_down = True
        names = [name for name in self._cluster.workers if self.draw() < 0.3]
        seconds = self._between(0.3, 4.0)
        for name in names:
            self._after(0.8 * seconds, rows.remove, "servers", "", name)
            self._after(seconds + self._between(0.1, 2.0), self._register, name)
        self._after(seconds, setattr, rows, "is_down", False)

    def _register(self, name):
        if name in self._cluster.workers:
            self._cluster.register(name)

    def _delay_the_list(self):
        self._cluster.machines.lag_seconds = self._between(0.5, 3.0)
        self._after(8.0, setattr, self._cluster.machines, "lag_seconds", 0.0)


USAGE = """Run the soak by hand.

Usage:
  soak --seeds=RANGE [--seconds=N] [--hosts=N] [--departures] [--keep=FOLDER]

Options:
  --seeds=RANGE    First and last seed, such as 1-50.
  --seconds=N      Seconds of faults for each seed [default: 30].
  --hosts=N        Entry hosts [default: 4].
  --departures     Workers that leave are the only fault.
  --keep=FOLDER    Keep the logs of the hosts there, by seed.
"""


def main():
    """Run some seeds one after the other, and print the second runs."""
    options = docopt(USAGE)
    first, _, last = options["--seeds"].partition("-")
    for seed in range(int(first), int(last or first) + 1):
        with contextlib.ExitStack() as stack:
            if options["--keep"]:
                folder = Path(options["--keep"], str(seed))
                folder.mkdir(parents=True, exist_ok=True)
            else:
                folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
            soak = Soak(
                seed,
                folder,
                float(options["--seconds"]),
                int(options["--hosts"]),
                options["--departures"],
            )
            found = soak.run()
        sys.stdout.write(f"seed {seed}: {soak.runs} runs, {len(found)} second runs\n")
        for pair in found:
            sys.stdout.write("  {}\n  {}\n".format(*pair))
        sys.stdout.flush()


if __name__ == "__main__":
    main()
