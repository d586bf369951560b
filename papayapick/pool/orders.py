"""Send orders to workers and tell the owner what became of them."""

import functools

from papayapick.jobs.runs import RunPhase
from papayapick.platform.exceptions import CheckFailed, WorkerSilent
from papayapick.pool.events import (
    ORDER_FAILED,
    ORDERS_HELD_UP,
    PACE_NOT_SET,
    PACE_SET,
    START_REFUSED,
    START_UNANSWERED,
    STOP_REFUSED,
)
from papayapick.pool.metrics import STARTS
from papayapick.pool.reports import StartOutcome, run_fields

__all__ = ["Orders", "Start"]


def _logged(send):
    """Write a line for an error that nobody foresaw, as nobody reads the future."""

    @functools.wraps(send)
    def run(self, link, *args):
        try:
            send(self, link, *args)
        except Exception:
            ORDER_FAILED.write_failure(worker=link.worker)

    return run


class Start:
    """Hold a start that is to be ordered.

    Parameters
    ----------
    run : Run
    payload, checkpoint, ticket : str
    usable_until : float
        Monotonic seconds after which the worker would refuse the ticket.
    """

    __slots__ = ("checkpoint", "payload", "run", "ticket", "usable_until")

    def __init__(
        self, run, payload, checkpoint="", ticket="", usable_until=float("inf")
    ):
        self.run = run
        self.payload = payload
        self.checkpoint = checkpoint
        self.ticket = ticket
        self.usable_until = usable_until


class Orders:
    """Send starts, stops and paces, each as a task of its own.

    Parameters
    ----------
    owner : PoolOwner
    executor : concurrent.futures.Executor
        For starts.
    stop_executor : concurrent.futures.Executor
        For all other orders.
    threads : int
        Of the first.
    """

    __slots__ = (
        "_executor",
        "_owner",
        "_starts_waiting",
        "_stop_executor",
        "_stops_under_way",
        "_threads",
    )

    def __init__(self, owner, executor, stop_executor, threads):
        self._owner = owner
        self._executor = executor
        self._stop_executor = stop_executor
        self._threads = threads
        # Starts that no thread has taken up yet.
        self._starts_waiting = 0
        # Runs with a stop that waits for a thread or for its answer.
        self._stops_under_way = set()

    def are_held_up(self):
        """Return whether as many starts wait for a thread as there are threads.

        What is placed then could not leave before calls under way have ended.
        """
        if self._starts_waiting < self._threads:
            return False
        ORDERS_HELD_UP.write(
            pool=self._owner.pool,
            starts=self._starts_waiting,
            stops=len(self._stops_under_way),
        )
        return True

    def start(self, link, start):
        """Order a start.

        Parameters
        ----------
        link : WorkerLink
        start : Start
        """
        with self._owner.lock:
            self._starts_waiting += 1
            self._submit(self._executor, self._start, link, start)

    def stop(self, link, run):
        """Order a stop, unless one of this run is under way."""
        with self._owner.lock:
            # Ordered anew before the last was sent, stops would pile up faster than
            # threads can send them.
            if run not in self._stops_under_way:
                self._stops_under_way.add(run)
                self._submit(self._stop_executor, self._stop, link, run)

    def pace(self, link, run, percent):
        """Order the share of its processors at which a run works."""
        self._submit(self._stop_executor, self._pace, link, run, percent)

    def note_start(self, link, run, outcome):
        """Take note of what became of an order to start."""
        STARTS.labels(outcome.value).inc()
        with self._owner.lock:
            room = self._owner.rooms.get(link.worker)
            if room is None or run.name not in room.runs:
                return
            now = self._owner.now()
            if outcome == StartOutcome.STARTED:
                run.start_confirmed_at = now
                self._owner.book.note_started(run)
            elif outcome == StartOutcome.UNKNOWN:
                if run.phase == RunPhase.ORDERED:
                    run.phase = RunPhase.UNSURE
                    rest = link.lapse_at - now
                    START_UNANSWERED.write(
                        **run_fields(run), lapse_in_seconds=round(rest, 3)
                    )
                    self.stop_once(run, now)
            else:
                self._note_not_started(room, run, outcome, now)
            self.stop_unneeded()
        if outcome == StartOutcome.FENCED:
            self._owner.lists.note_fenced(link)
        self._owner.wake()

    def _note_not_started(self, room, run, outcome, now):
        START_REFUSED.write(
            **run_fields(run),
            reason=outcome.value,
            room_processors=room.processors,
            room_memory=room.memory,
        )
        room.release(run)
        if outcome == StartOutcome.TICKET_INVALID:
            self._owner.advising.drop_ticket(run)
        elif outcome in (StartOutcome.NO_ROOM, StartOutcome.REFUSED):
            step = self._owner.book.step_of(run.key)
            if step is not None:
                step.tasks[run.key.index].avoid.add(run.worker)
        self._owner.book.drop_run(run, now)

    def note_stop_confirmed(self, run):
        """Note that a worker has taken a stop."""
        with self._owner.lock:
            run.stop_confirmed = self._owner.now()

    def stop_unneeded(self):
        """Order the stops that the book asks for."""
        now = self._owner.now()
        runs, self._owner.book.to_stop = self._owner.book.to_stop, []
        for run in runs:
            self.stop_once(run, now)

    def stop_once(self, run, now):
        """Order a run to stop, once; its room is taken until its end is sure."""
        if run.stop_requested is not None:
            return
        link = self._owner.links_by_worker.get(run.worker)
        run.phase = RunPhase.STOPPING
        run.stop_requested = now
        if link is not None:
            self.stop(link, run)

    def _submit(self, executor, step, *args):
        with self._owner.lock:
            # Nothing is ordered once the pool was left.
            if not self._owner.is_stopped:
                executor.submit(step, *args)

    @_logged
    def _start(self, link, start):
        owner, run = self._owner, start.run
        with owner.lock:
            self._starts_waiting -= 1
            # Stopped before it was sent, given up with its worker's life, or this
            # process is not sure any more that it owns the pool: the order must not
            # leave. A run that was given up has been placed again, and would run twice.
            is_wanted = run.phase == RunPhase.ORDERED and self._is_there(link, run)
            may_send = is_wanted and owner.may_act()
            # The record took longer than the ticket lasts.
            may_send = may_send and owner.now() < start.usable_until
            lease_end = link.grant_lease() if may_send else None
            if lease_end is not None:
                run.note_sent(owner.now())
        if lease_end is None:
            outcome = StartOutcome.NOT_SENT
        else:
            outcome = self._send_start(link, start, lease_end)
        self.note_start(link, run, outcome)

    def _send_start(self, link, start, lease_end):
        try:
            return link.client.start(
                start.run,
                start.payload,
                lease_end,
                self._owner.row.epoch,
                start.checkpoint,
                start.ticket,
            )
        except Exception:
            # A failure that nobody foresaw, as in reading the answer. Without an
            # outcome the run would stay ordered for ever: it is on no list, and its
            # task waits for its end. As one without an answer it is stopped first.
            ORDER_FAILED.write_failure(worker=link.worker)
            return StartOutcome.UNKNOWN

    @_logged
    def _stop(self, link, run):
        try:
            if self._is_there(link, run):
                self._send_stop(link, run)
        finally:
            with self._owner.lock:
                self._stops_under_way.discard(run)

    def _is_there(self, link, run):
        """Return whether the end of a run is not sure yet."""
        with self._owner.lock:
            room = self._owner.rooms.get(link.worker)
            return room is not None and room.runs.get(run.name) is run

    def _send_stop(self, link, run):
        owner = self._owner
        try:
            link.client.stop(run.key, run.attempt, owner.row.epoch)
        except WorkerSilent:
            # Ordered again by the next tick.
            return
        except CheckFailed as error:
            STOP_REFUSED.write(worker=link.worker, status=error.details["status"])
            return
        self.note_stop_confirmed(run)
        if run.phase == RunPhase.STOPPING and not run.was_listed:
            # It may never have started; then no end is listed for it, and only a
            # list asked for from now on shows that its room is free.
            link.refresh()

    @_logged
    def _pace(self, link, run, percent):
        try:
            link.client.pace(run.key, run.attempt, percent, self._owner.row.epoch)
        except WorkerSilent as error:
            # It may have been carried out, or may be later.
            run.pace, run.is_pace_unconfirmed = None, True
            PACE_NOT_SET.write(worker=link.worker, error=str(error))
            return
        except CheckFailed as error:
            PACE_NOT_SET.write(worker=link.worker, error=str(error))
            return
        PACE_SET.write(**run_fields(run), percent=percent, percent_before=run.pace)
        run.pace = percent
