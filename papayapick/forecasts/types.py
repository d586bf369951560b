"""Interface to the expected durations of tasks, and the callers' estimates."""

from typing import Protocol

__all__ = ["DeclaredTimes", "TaskTimeSource"]


class TaskTimeSource(Protocol):
    """Provide the expected durations of the tasks of steps on a worker of speed 1."""

    def note_done(self, step_state, run, now: float):
        """Record a run that has just ended as done.

        Parameters
        ----------
        step_state : StepState
        run : Run
        now : float
            Monotonic seconds.
        """

    def expected_seconds(self, step_state) -> float:
        """Return the mean duration of a task of a step; 0 if nothing is known.

        Parameters
        ----------
        step_state : StepState
        """

    def likely_seconds(self, step_state, share: float) -> float:
        """Return a duration that a share of the step's tasks does not exceed.

        Parameters
        ----------
        step_state : StepState
        share : float
        """

    def critical_path_seconds(self, job, step_number: int) -> float:
        """Return the time from the start of a step to the end of its job.

        Parameters
        ----------
        job : JobState
        step_number : int
        """


class DeclaredTimes:
    """Take the callers' estimates as they are: the baseline for comparisons."""

    __slots__ = ()

    def note_done(self, step_state, run, now):
        """Learn nothing from a run."""

    def expected_seconds(self, step_state):
        """Return the caller's estimate."""
        return step_state.step.estimate_seconds

    def likely_seconds(self, step_state, share):
        """Return the caller's estimate, whatever the share."""
        return step_state.step.estimate_seconds

    def critical_path_seconds(self, job, step_number):
        """Return the sum of the callers' estimates along the critical path."""
        return job.critical_paths[step_number]
