"""Share threads among the links to the workers of a large pool.

Guards against an owner of more workers than a process can have threads: the links
without one would never poll their workers. Up to a number of workers each link has a
thread of its own. Beyond it, links take turns, and each poll waits for a shorter time,
so that every worker is polled as often as before; an end is then noticed a few tenths
of a second later.
"""

import threading

__all__ = ["LinkLoop", "LinkThreads"]

# Leaves threads for the other hosts, of which each needs three, and for orders, where
# a process can have about two thousand.
_MAX_THREADS = 700


class LinkThreads:
    """Assign each link to a thread.

    Parameters
    ----------
    clock : Clock
    submit : callable
        Takes a name and a function, and runs the function in a thread.
    max_threads : int, optional
    """

    __slots__ = ("_clock", "_lock", "_loops", "_max_threads", "_submit")

    def __init__(self, clock, submit, max_threads=_MAX_THREADS):
        self._clock = clock
        self._submit = submit
        self._max_threads = max_threads
        self._lock = threading.Lock()
        self._loops = []

    def add(self, link):
        """Poll a worker until its link is stopped.

        Parameters
        ----------
        link : WorkerLink
        """
        with self._lock:
            self._loops = [loop for loop in self._loops if loop.is_active]
            if len(self._loops) >= self._max_threads:
                fewest = min(self._loops, key=lambda loop: loop.count)
                if fewest.add(link):
                    return
            loop = LinkLoop(self._clock, link)
            self._loops.append(loop)
        self._submit(link.worker, loop.run)


class LinkLoop:
    """Poll the workers of one or more links in turn.

    Parameters
    ----------
    clock : Clock
    link : WorkerLink
    """

    __slots__ = ("_clock", "_links", "_lock", "is_active")

    def __init__(self, clock, link):
        self._clock = clock
        self._links = [link]
        self._lock = threading.Lock()
        self.is_active = True

    @property
    def count(self):
        """Return the number of links."""
        return len(self._links)

    def add(self, link):
        """Add a link; return False if the loop has ended."""
        with self._lock:
            if self.is_active:
                self._links.append(link)
            return self.is_active

    def run(self):
        """Poll until all links are stopped."""
        while links := self._drop_stopped():
            polled = [link for link in links if link.is_due()]
            for link in polled:
                link.poll_once(1 / len(links))
            if not polled:
                min(links, key=lambda link: link.due_at).wait_until_due()

    def _drop_stopped(self):
        """Return the links that are not stopped; end the loop if there are none."""
        with self._lock:
            self._links = [link for link in self._links if not link.is_stopped]
            self.is_active = bool(self._links)
            return list(self._links)
