"""Keep in touch with one worker: renew its lease, read its runs and ends."""

import threading

from papayapick.platform.exceptions import CheckFailed, WorkerSilent
from papayapick.pool.events import (
    RENEWAL_REFUSED,
    WORKER_BACK,
    WORKER_SILENT,
    WORKER_UNSEEN,
)
from papayapick.pool.metrics import RENEWALS

__all__ = ["LEASE_SECONDS", "WorkerLink"]

# Long enough for a takeover (2 s after a freeze) and one lost renewal, short enough
# that a task of a worker that was cut off is placed again soon.
LEASE_SECONDS = 3.6
# A worker's steady clock may be 2% slow.
_CLOCK_RATE = 0.98
_LAPSE_SLACK_SECONDS = 0.1
# An answer waits so long for an end; a lease is renewed at least so often.
_WAIT_SECONDS = 0.6
_WAIT_PACED_SECONDS = 0.4
_WAIT_DOUBTFUL_SECONDS = 0.3
_RETRY_SECONDS = 0.2
# While the store is away ends can't be acknowledged, and a waiting call would
# return at once with the same ends.
_UNACKNOWLEDGED_SECONDS = 0.3
# Acknowledges no end: they are numbered from 1.
_NOTHING = 0
_FENCED = 409
_OTHER_LIFE = 421


class WorkerLink:
    """Hold what is known of one worker, and the task that asks it.

    Parameters
    ----------
    registration : Registration
    client : WorkerClient
    epoch : int
    clock : Clock
    listener : LinkListener
        Told of reports, of silence and of lapsed leases.

    Attributes
    ----------
    processed, acknowledged : int
        Number of the last end that was taken note of, and of the last whose
        record is durable.
    lapse_at : float
        Monotonic seconds after which no lease given by this owner is in force.
    has_reported : bool
        Whether it has answered this owner, so that it refuses older ones.
    """

    __slots__ = (
        "_acknowledgement",
        "_clock",
        "_clock_read_at",
        "_epoch",
        "_listener",
        "_worker_clock",
        "acknowledged",
        "born",
        "client",
        "failed_since",
        "has_reported",
        "is_listed",
        "is_stopped",
        "lapse_at",
        "newest_asked_at",
        "processed",
        "registration",
    )

    def __init__(self, registration, client, epoch, clock, listener):
        self.registration = registration
        self.client = client
        self._epoch = epoch
        self._clock = clock
        self._listener = listener
        self._acknowledgement = threading.Event()
        self._worker_clock = None
        self._clock_read_at = 0.0
        self.acknowledged = 0
        self.processed = 0
        self.born = None
        self.failed_since = None
        self.has_reported = False
        # Whether the platform's list names it now.
        self.is_listed = True
        self.is_stopped = False
        self.lapse_at = 0.0
        # Monotonic seconds of the newest question whose list of runs was taken in.
        self.newest_asked_at = float("-inf")

    @property
    def worker(self):
        """Return the id of the worker."""
        return self.registration.worker

    @property
    def is_silent(self):
        """Return whether its last call had no answer."""
        return self.failed_since is not None

    def grant_lease(self):
        """Return the end of a lease given now, on the worker's clock, or None.

        None where its clock was not read yet. The end is kept in mind: until it
        is over, whatever this worker was ordered may run there.
        """
        if self._worker_clock is None:
            return None
        now = self._clock.monotonic()
        end = self._worker_clock + (now - self._clock_read_at) + LEASE_SECONDS
        rest = (end - self._worker_clock) / _CLOCK_RATE
        lapse = self._clock_read_at + rest + _LAPSE_SLACK_SECONDS
        self.lapse_at = max(self.lapse_at, lapse)
        return end

    def acknowledge(self, number, born):
        """Let the worker forget ends up to a number: their record is durable.

        Parameters
        ----------
        number : int
        born : int or None
            Life of the worker whose ends were recorded. Ends are numbered anew in each
            life: an acknowledgement of the life before, whose record took longer than
            the worker's restart, would have the ends of the new one forgotten before
            they are recorded, and their tasks run again after a takeover.
        """
        if born == self.born:
            self.acknowledged = max(self.acknowledged, number)
            self._acknowledgement.set()

    def begin_incarnation(self, born):
        """Count the ends of a new life; the caller holds the owner's lock."""
        self.born = born
        self.acknowledged = self.processed = 0

    def stop(self):
        """End the task that asks the worker, after its present call."""
        self.is_stopped = True
        self._acknowledgement.set()

    def run(self):
        """Ask the worker again and again until the link is stopped."""
        while not self.is_stopped:
            if not self._listener.may_act():
                self._pause(_RETRY_SECONDS)
                continue
            try:
                self._poll()
            except WorkerSilent:
                RENEWALS.labels("no-answer").inc()
                self._note_silence()
            except CheckFailed as error:
                RENEWALS.labels("refused").inc()
                self._note_refusal(error)

    def refresh(self):
        """Read both lists now, beside the call that waits for an end."""
        asked_at = self._clock.monotonic()
        try:
            report = self.client.renew(self._epoch, _NOTHING)
        except (WorkerSilent, CheckFailed) as error:
            WORKER_UNSEEN.write(worker=self.worker, error=str(error))
            return
        if not self.is_stopped and report.born == self.born:
            self._listener.note_report(self, report, asked_at)

    def _poll(self):
        wait = self._wait_seconds()
        # A worker that is silent may be in its next life, whose ends are numbered anew:
        # it would forget ends that were never read. In the same life it is told again
        # as soon as it answers.
        acknowledged = _NOTHING if self.is_silent else self.acknowledged
        self._acknowledgement.clear()
        asked_at = self._clock.monotonic()
        # A call that gets no answer may still renew the lease. While the worker is
        # silent it is only looked at: else its lease would never count as over, and
        # what ran on a worker that is gone would never be placed again.
        lease_end = None if self.is_silent else self.grant_lease()
        report = self.client.renew(self._epoch, acknowledged, lease_end, wait)
        RENEWALS.labels("answered").inc()
        if self.is_stopped:
            return
        self._worker_clock = report.clock
        self._clock_read_at = self._clock.monotonic()
        if self.born is not None and report.born != self.born:
            # It crashed and started again under its id: nothing of before runs,
            # and its ends are numbered anew. What it lists it was given since.
            listed = report.runs + report.ends
            names = {(one.key, one.attempt) for one in listed}
            self._listener.note_restart(self, report.born, names)
        self.born = report.born
        self._note_word()
        self._listener.note_report(self, report, asked_at)
        if self.processed > self.acknowledged:
            self._pause(_UNACKNOWLEDGED_SECONDS)

    def _wait_seconds(self):
        if self._worker_clock is None or self.is_silent:
            return 0.0
        if self.processed > self.acknowledged:
            return 0.0
        if self._listener.needs_pacing(self):
            return _WAIT_PACED_SECONDS
        if self._listener.may_have_stalled_run(self):
            return _WAIT_DOUBTFUL_SECONDS
        return _WAIT_SECONDS

    def _pause(self, seconds):
        self._clock.wait(self._acknowledgement, seconds)

    def _note_word(self):
        since, self.failed_since = self.failed_since, None
        if since is not None:
            silent = round(self._clock.monotonic() - since, 3)
            WORKER_BACK.write(worker=self.worker, silent_seconds=silent)

    def _note_silence(self):
        if self.failed_since is None:
            now = self.failed_since = self._clock.monotonic()
            rest = round(self.lapse_at - now, 3) if self.lapse_at else None
            WORKER_SILENT.write(worker=self.worker, lapse_in_seconds=rest)
        self._listener.note_silence(self)
        self._pause(_RETRY_SECONDS)

    def _note_refusal(self, error):
        status = error.details["status"]
        if status == _FENCED:
            self._listener.note_fenced(self)
        elif status == _OTHER_LIFE:
            # Another worker answers at its address: this life is over.
            self._listener.note_restart(self, None)
            self._note_silence()
            return
        else:
            RENEWAL_REFUSED.write(worker=self.worker, status=status)
        self._pause(_RETRY_SECONDS)
