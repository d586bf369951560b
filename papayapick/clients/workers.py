"""Client of workers: start, stop, renew and list tasks under an owner's epoch."""

import json

from papayapick.clients.exceptions import (
    AnswerMissing,
    NotSent,
    StaleEpoch,
    TaskRefused,
    WorkerUnreachable,
)

__all__ = ["TaskReport", "WorkerClient"]


class TaskReport:
    """Hold a worker's report on one task.

    Parameters
    ----------
    task : str
    state : {"running", "done", "failed", "stopped", "lapsed", "checkpointed"}
    demand : dict of str to int
    usage : dict of str to int
        Observed usage, which lags behind.
    result : str
    """

    __slots__ = ("demand", "result", "state", "task", "usage")

    def __init__(self, task, state, demand, usage=None, result=""):
        self.task = task
        self.state = state
        self.demand = demand
        self.usage = usage or {}
        self.result = result

    @property
    def is_running(self):
        """Return whether the task still occupies its host."""
        return self.state == "running"


class WorkerClient:
    """Call workers.

    Parameters
    ----------
    pool : HttpPool
    """

    __slots__ = ("_pool",)

    def __init__(self, pool):
        self._pool = pool

    def fence(self, worker, epoch):
        """Make a worker refuse lower epochs and return its tasks.

        Parameters
        ----------
        worker : HostEntry
        epoch : int

        Returns
        -------
        list of TaskReport

        Raises
        ------
        StaleEpoch, WorkerUnreachable
        """
        return self._reports(self._call(worker, "/fence", epoch, {}))

    def start(self, worker, epoch, task, demand, lease_seconds, work):
        """Start a task; repeating the start of a task has no effect.

        Raises
        ------
        StaleEpoch, TaskRefused
            The task does not run.
        WorkerUnreachable
            The task may run.
        """
        body = {
            "task": task,
            "demand": demand,
            "lease_seconds": lease_seconds,
            "work": work,
        }
        self._call(worker, "/tasks", epoch, body)

    def stop(self, worker, epoch, tasks):
        """Stop tasks; they no longer run when this returns.

        Raises
        ------
        StaleEpoch, WorkerUnreachable
        """
        self._call(worker, "/stop", epoch, {"tasks": tasks})

    def checkpoint(self, worker, epoch, tasks):
        """Save the state of tasks and stop them; they no longer run when this returns.

        A later start whose work names a saved task as ``checkpoint`` resumes from it.

        Raises
        ------
        StaleEpoch, WorkerUnreachable
        """
        self._call(worker, "/checkpoint", epoch, {"tasks": tasks})

    def renew(self, worker, epoch, tasks, lease_seconds):
        """Renew the leases of tasks and return the worker's reports.

        Returns
        -------
        list of TaskReport

        Raises
        ------
        StaleEpoch, WorkerUnreachable
        """
        body = {"tasks": tasks, "lease_seconds": lease_seconds}
        return self._reports(self._call(worker, "/leases", epoch, body))

    def _call(self, worker, path, epoch, body):
        data = json.dumps({"epoch": epoch, **body}).encode()
        try:
            answer = self._pool.request("POST", worker.url + path, data)
            found = json.loads(answer.body)
        except NotSent as error:
            raise WorkerUnreachable(worker=worker.name) from error
        except (AnswerMissing, ValueError) as error:
            raise WorkerUnreachable(worker=worker.name) from error
        if answer.status == 409:
            raise StaleEpoch(target=worker.name, epoch=epoch)
        if answer.status == 507:
            raise TaskRefused(worker=worker.name, reason=found.get("reason", ""))
        if answer.status != 200:
            raise WorkerUnreachable(worker=worker.name)
        return found

    @staticmethod
    def _reports(found):
        return [TaskReport(**report) for report in found["tasks"]]
