"""Calls to the workers of a fault simulation, some lost or late."""

from papayapick.platform.exceptions import CallFailed, WorkerSilent
from papayapick.pool.workers.reports import StartOutcome

__all__ = ["UnreliableClient"]


class NoAnswer(Exception):
    """Raise for a call that got no answer."""


class UnreliableClient:
    """Call a worker over a network that may lose or delay a call."""

    is_refused = False

    def __init__(self, simulation, worker):
        self._simulation = simulation
        self._worker = worker

    def start(self, run, payload, lease_end, epoch, checkpoint="", ticket=""):
        incarnation = self._worker.born

        def execute():
            was_there = (run.key, run.attempt) in self._worker.runs
            outcome = self._worker.start(run.key, run.attempt, lease_end, epoch)
            started = self._worker.runs.get((run.key, run.attempt))
            if started is not None:
                is_over = (incarnation, run.key, run.attempt) in self._worker.stops
                started.is_stray = self._worker.born != incarnation and (
                    is_over or epoch != self._simulation.epoch
                )
                self._simulation.note_started(self._worker, run.key)
                if not (was_there or started.is_stray):
                    self._simulation.done_ends.note_started(run.key)
            return outcome

        try:
            return self._call(execute)
        except NoAnswer:
            return StartOutcome.UNKNOWN

    def stop(self, key, attempt, epoch):
        try:
            self._call(lambda: self._worker.stop(key, attempt, epoch))
        except NoAnswer as error:
            raise WorkerSilent(worker=self._worker.name) from error

    def renew(self, epoch, acknowledged, lease_end=None, wait_seconds=0.0, **options):
        incarnation = self._worker.born

        def execute():
            is_stray = self._worker.born != incarnation
            return self._worker.renew(epoch, acknowledged, lease_end, is_stray)

        try:
            report = self._call(execute)
        except NoAnswer as error:
            raise WorkerSilent(worker=self._worker.name) from error
        self._simulation.note_answer(report, epoch)
        return report

    def _call(self, execute):
        if not self._worker.is_reached:
            raise NoAnswer
        if self._simulation.loses_answer():
            self._simulation.run_later(lambda: self._execute_late(execute))
            raise NoAnswer
        return execute()

    def _execute_late(self, execute):
        if self._worker.is_reached:
            try:
                execute()
            except CallFailed:
                return
