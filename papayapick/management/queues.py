"""Sum up the queues of the users' platform, from the store and from metrics pages."""

import collections

from prometheus_client.parser import text_string_to_metric_families

from papayapick.jobs.state import JobStatus

__all__ = ["QueueView", "read_refusals", "read_waits", "sum_up_queues"]

_MILLICORES = 1000
_WAIT_METRIC = "papayapick_pool_predicted_wait_seconds"
_REFUSAL_METRIC = "papayapick_entry_refusals_total"


class QueueView:
    """Hold the jobs of one queue that have not ended, as recorded.

    Attributes
    ----------
    name : str
    jobs : collections.Counter
        Number of its jobs by status.
    work : float
        Core-seconds of their tasks that are not done, by the callers' estimates.
        Lasting tasks and fillers are left out.
    """

    __slots__ = ("jobs", "name", "work")

    def __init__(self, name):
        self.name = name
        self.jobs = collections.Counter()
        self.work = 0.0

    def add(self, job):
        """Add a job that has not ended.

        Parameters
        ----------
        job : JobView
        """
        self.jobs[job.status] += 1
        steps = job.document.steps
        done = {view.number: view.done for view in job.steps}
        for number, step in enumerate(steps):
            if not step.is_lasting:
                left = step.tasks - done.get(number, 0)
                cores = step.room_demand.processors / _MILLICORES
                self.work += left * cores * step.estimate_seconds


def sum_up_queues(names, jobs):
    """Return the QueueView of each queue, as a list in the order of the names.

    Parameters
    ----------
    names : iterable of str
    jobs : iterable of JobView
    """
    views = {name: QueueView(name) for name in names}
    for job in jobs:
        view = views.get(job.queue)
        if view is not None and job.status not in JobStatus.FINAL:
            view.add(job)
    return list(views.values())


def read_waits(page):
    """Return the predicted waits on a metrics page.

    Parameters
    ----------
    page : str

    Returns
    -------
    dict of str to dict
        Seconds by bound ("earliest" or "latest"), by queue.
    """
    waits = collections.defaultdict(dict)
    for sample in _samples(page, _WAIT_METRIC):
        waits[sample.labels["queue"]][sample.labels["bound"]] = sample.value
    return dict(waits)


def read_refusals(page):
    """Return the number of refused requests by code on a metrics page.

    Parameters
    ----------
    page : str

    Returns
    -------
    collections.Counter
    """
    found = collections.Counter()
    for sample in _samples(page, _REFUSAL_METRIC):
        found[sample.labels["code"]] += int(sample.value)
    return found


def _samples(page, name):
    for family in text_string_to_metric_families(page):
        yield from (sample for sample in family.samples if sample.name == name)
