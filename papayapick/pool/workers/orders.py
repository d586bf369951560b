"""Orders to workers: starts, stops and paces, and the handling of their outcomes."""

import functools

from papayapick.jobs.runs import RunPhase
from papayapick.platform.exceptions import CallFailed, WorkerSilent
from papayapick.pool.metrics import STARTS
from papayapick.pool.workers.events import (
    ORDER_FAILED,
    ORDERS_HELD_UP,
    PACE_NOT_SET,
    PACE_SET,
    START_REFUSED,
    START_UNANSWERED,
    STOP_REFUSED,
)
from papayapick.pool.workers.reports import StartOutcome, run_fields

__all__ = ["OrderSender", "StartOrder"]

_UNANSWERED = (StartOutcome.NOT_SENT, StartOutcome.UNKNOWN)


def _log_errors(send):
    """Log unexpected errors of a method that runs in an executor.

    The futures of the executors are never read, so that an error would go unnoticed.
    """

    @functools.wraps(send)
    def run(self, link, *args):
        try:
            send(self, link, *args)
        except Exception:
            ORDER_FAILED.write_failure(worker=link.worker)

    return run


class StartOrder:
    """A start that has not been sent yet.

    Parameters
    ----------
    run : Run
    payload, checkpoint, ticket : str
    usable_until : float
        Monotonic time after which the worker would refuse the ticket.
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


class OrderSender:
    """Send starts, stops and paces in threads, and process their outcomes.

    Parameters
    ----------
    owner : PoolOwner
    executor : concurrent.futures.Executor
        Sends starts.
    stop_executor : concurrent.futures.Executor
        Sends all other orders.
    threads : int
        Number of threads of ``executor``.
    """

    __slots__ = (
        "_executor",
        "_owner",
        "_queued_starts",
        "_stop_executor",
        "_stops_in_progress",
        "_threads",
    )

    def __init__(self, owner, executor, stop_executor, threads):
        self._owner = owner
        self._executor = executor
        self._stop_executor = stop_executor
        self._threads = threads
        # Number of starts that wait for a thread.
        self._queued_starts = 0
        # Runs with a stop that waits for a thread or for its answer.
        self._stops_in_progress = set()

    def is_backlogged(self):
        """Return whether as many starts wait for a thread as there are threads.

        Starts of tasks placed now could not be sent before calls in progress return.
        """
        if self._queued_starts < self._threads:
            return False
        ORDERS_HELD_UP.write(
            pool=self._owner.pool,
            starts=self._queued_starts,
            stops=len(self._stops_in_progress),
        )
        return True

    def start(self, link, start):
        """Send a start to a worker.

        Parameters
        ----------
        link : WorkerLink
        start : StartOrder
        """
        with self._owner.lock:
            self._queued_starts += 1
            self._submit(self._executor, self._start, link, start)

    def stop(self, link, run):
        """Send a stop to a worker, unless a stop of this run is in progress."""
        with self._owner.lock:
            # Repeating a stop that has not been sent yet would queue stops faster than
            # the threads can send them.
            if run not in self._stops_in_progress:
                self._stops_in_progress.add(run)
                self._submit(self._stop_executor, self._stop, link, run)

    def pace(self, link, run, percent):
        """Set the percentage of its processors that a run may use."""
        self._submit(self._stop_executor, self._pace, link, run, percent)

    def note_start_outcome(self, link, run, outcome):
        """Process the outcome of a start.

        Parameters
        ----------
        link : WorkerLink
        run : Run
        outcome : StartOutcome
        """
        STARTS.labels(outcome.value).inc()
        with self._owner.lock:
            room = self._owner.rooms.get(link.worker)
            if room is None or run.name not in room.runs:
                return
            now = self._owner.now()
            if outcome == StartOutcome.STARTED:
                run.start_confirmed_at = now
                self._owner.job_registry.note_started(run)
            elif outcome == StartOutcome.UNKNOWN:
                if run.phase == RunPhase.ORDERED:
                    run.phase = RunPhase.UNSURE
                    remaining = link.lease.lapse_at - now
                    START_UNANSWERED.write(
                        **run_fields(run), lapse_in_seconds=round(remaining, 3)
                    )
                    self.stop_once(run, now)
            else:
                self._handle_refusal(room, run, outcome, now)
            self.stop_unneeded()
        if outcome == StartOutcome.FENCED:
            self._owner.report_handler.note_fenced(link)
        self._owner.wake()

    def _handle_refusal(self, room, run, outcome, now):
        START_REFUSED.write(
            **run_fields(run),
            reason=outcome.value,
            room_processors=room.processors,
            room_memory=room.memory,
        )
        room.release(run)
        if outcome == StartOutcome.TICKET_INVALID:
            self._owner.advice_manager.drop_ticket(run)
        elif outcome in (StartOutcome.NO_ROOM, StartOutcome.REFUSED):
            step = self._owner.job_registry.step_of(run.key)
            if step is not None:
                step.tasks[run.key.index].avoid.add(run.worker)
        self._owner.job_registry.drop_run(run, now)

    def note_stop_confirmed(self, run):
        """Record that a worker has confirmed a stop."""
        with self._owner.lock:
            run.stop_confirmed = self._owner.now()

    def stop_unneeded(self):
        """Send the stops that the job registry has requested."""
        now = self._owner.now()
        runs, self._owner.job_registry.to_stop = self._owner.job_registry.to_stop, []
        for run in runs:
            self.stop_once(run, now)

    def stop_once(self, run, now):
        """Send a stop of a run unless one was sent before.

        The run's room stays reserved until its end is certain.
        """
        if run.stop_requested is not None:
            return
        link = self._owner.links_by_worker.get(run.worker)
        run.phase = RunPhase.STOPPING
        run.stop_requested = now
        if link is not None:
            self.stop(link, run)

    def _submit(self, executor, step, *args):
        with self._owner.lock:
            # No order may be sent after the pool was released or lost.
            if not self._owner.is_stopped:
                executor.submit(step, *args)

    @_log_errors
    def _start(self, link, start):
        owner, run = self._owner, start.run
        with owner.lock:
            self._queued_starts -= 1
            # The order must not be sent if the run was stopped meanwhile, if it was
            # given up because its worker restarted, or if ownership of the pool is no
            # longer confirmed. The task of a run that was given up has been placed
            # again, and would run twice.
            is_wanted = run.phase == RunPhase.ORDERED and self._is_active(link, run)
            permitted_at = owner.now()
            may_send = is_wanted and owner.may_act()
            # Writing the record may have taken longer than the ticket is valid.
            may_send = may_send and owner.now() < start.usable_until
            lease_end = link.lease.grant(permitted_at) if may_send else None
            if lease_end is not None:
                run.note_sent(owner.now())
        if lease_end is None:
            outcome = StartOutcome.NOT_SENT
        else:
            outcome = self._send_start(link, start, lease_end)
            self._note_order(link, is_answered=outcome not in _UNANSWERED)
        self.note_start_outcome(link, run, outcome)

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
            # An unexpected failure, such as in parsing the answer. Without an outcome
            # the run would stay ORDERED forever: no worker reports it, and its task
            # waits for its end. Treated as an unanswered start, it is stopped first.
            ORDER_FAILED.write_failure(worker=link.worker)
            return StartOutcome.UNKNOWN

    @_log_errors
    def _stop(self, link, run):
        try:
            if self._is_active(link, run):
                self._send_stop(link, run)
        finally:
            with self._owner.lock:
                self._stops_in_progress.discard(run)

    def _is_active(self, link, run):
        """Return whether a run still reserves room on its worker."""
        with self._owner.lock:
            room = self._owner.rooms.get(link.worker)
            return room is not None and room.runs.get(run.name) is run

    def _send_stop(self, link, run):
        owner, born = self._owner, link.born
        try:
            link.client.stop(run.key, run.attempt, owner.row.epoch)
        except WorkerSilent:
            # A later tick sends the stop again.
            self._note_order(link, is_answered=False)
            return
        except CallFailed as error:
            STOP_REFUSED.write(worker=link.worker, status=error.details["status"])
            return
        self._note_order(link, is_answered=True)
        with owner.lock:
            if link.born != born:
                # The worker has restarted and may have forgotten the stop, so that a
                # late start would begin the run after all. A later tick sends the stop
                # again.
                return
            self.note_stop_confirmed(run)
        if run.phase == RunPhase.STOPPING and not run.was_listed:
            # The run may never have started. No end is reported for it then, and only
            # a report requested after the stop shows that its room is free.
            link.refresh()

    def _note_order(self, link, is_answered):
        """Close a worker to new tasks while it accepts no connection for orders."""
        link.order_refusals.note_order(is_answered, link.client.is_refused)
        with self._owner.lock:
            self._owner.report_handler.update_availability(link)

    @_log_errors
    def _pace(self, link, run, percent):
        try:
            link.client.pace(run.key, run.attempt, percent, self._owner.row.epoch)
        except WorkerSilent as error:
            # The order may have been carried out, or may still be carried out later.
            run.pace, run.is_pace_unconfirmed = None, True
            PACE_NOT_SET.write(worker=link.worker, error=str(error))
            return
        except CallFailed as error:
            PACE_NOT_SET.write(worker=link.worker, error=str(error))
            return
        PACE_SET.write(**run_fields(run), percent=percent, percent_before=run.pace)
        run.pace = percent
