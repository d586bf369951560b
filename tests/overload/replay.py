"""Replay loads against ways of admission: plain loops over the decisions.

There is no network and no preemption. Tasks start in the order of service as long as
cores are free, and take up to twice or half as long as estimated.
"""

import heapq
import random

from papayapick.forecasts import DeclaredTimes
from papayapick.jobs import JobRegistry
from papayapick.overload.admission import ForecastAdmission, JobShape
from papayapick.overload.forecaster import Forecaster
from papayapick.placement.order.backlog import BacklogMonitor
from papayapick.placement.order.steps import order_steps
from papayapick.quotas import Entitlements, Team
from tests.overload.loads import NOW, REBUILD, RUSH, document_of

STEP_SECONDS = 0.1
# A forecast is this old when a host has it, and the next one comes after two steps.
DELAY_STEPS = 1
BEAT_STEPS = 2
# Until no job is of use any more.
AFTER_SECONDS = 55.0
HOSTS = 8
TEAMS = 20
TRIES = 3


class Spell:
    """A time in which more comes than usual.

    Parameters
    ----------
    begin, end : float
        Seconds from the start.
    factor : float
    queue : Queue, optional
        Given if only this queue gets more.
    teams : tuple of str, optional
        Given if only these teams send more.
    """

    def __init__(self, begin, end, factor, queue=None, teams=()):
        self.begin, self.end, self.factor = begin, end, factor
        self.queue, self.teams = queue, teams

    def factor_for(self, queue, team, seconds):
        is_meant = self.queue in (None, queue) and (
            not self.teams or team in self.teams
        )
        return self.factor if is_meant and self.begin <= seconds < self.end else 1.0


class Arrival:
    """A job that a caller sends, and what becomes of it."""

    def __init__(self, document, queue, sent_at):
        self.document, self.queue, self.sent_at = document, queue, sent_at
        self.useful_until = sent_at + JobShape(document, queue).useful
        self.refusals = []
        self.tries = 0
        self.job = None

    @property
    def is_useful(self):
        ended_at = self.job.finished_at if self.job is not None else None
        return ended_at is not None and ended_at <= self.useful_until

    @property
    def is_in_vain(self):
        return self.job is not None and not self.is_useful


def arrivals_of(seed, seconds, rates, spells):
    """Return the jobs of a load, in the order in which they are sent."""
    source = random.Random(seed)
    found = []
    for number in range(round(seconds / STEP_SECONDS)):
        at = number * STEP_SECONDS
        for queue, rate in rates.items():
            for team in (f"t{index}" for index in range(TEAMS)):
                factor = 1.0
                for spell in spells:
                    factor *= spell.factor_for(queue, team, at)
                if source.random() < factor * rate * STEP_SECONDS / TEAMS:
                    steps = _steps(source, queue)
                    document = document_of(len(found), queue, steps, team)
                    found.append(Arrival(document, queue, NOW + at))
    return found


def _steps(source, queue):
    if queue is RUSH:
        chain = 1 + (source.random() < 0.6)
        return [(source.randint(4, 16), 2.2, 1.0)] * chain
    return [(source.randint(8, 34), 4.5, 3.8)] * 2


class AcceptAll:
    """Refuse nobody."""

    def refusal(self, arrival, replay, host):
        return None

    def note_accepted(self, arrival, replay, host):
        pass


class ByCount(AcceptAll):
    """Refuse by the number of jobs that wait, as without a forecast."""

    def __init__(self):
        self._monitor = BacklogMonitor()
        self._started = set()

    def refusal(self, arrival, replay, host):
        live = replay.registry.live_jobs()
        for job in live:
            if job.has_placed_task and job.identifier not in self._started:
                self._started.add(job.identifier)
                self._monitor.note_first_start(job.queue.name, replay.now)
        name = arrival.queue.name
        waiting = sum(
            job.queue.name == name and not job.has_placed_task for job in live
        )
        useful = arrival.useful_until - arrival.sent_at
        backlog = self._monitor.backlog(name, waiting, replay.now, useful)
        return ("full", backlog.retry_after) if backlog.retry_after else None


class ByWork(AcceptAll):
    """Refuse by all work that waits, divided by the cores."""

    def refusal(self, arrival, replay, host):
        work = sum(
            step.unfinished_tasks
            * step.step.demand.processors
            / 1000
            * step.step.estimate_seconds
            for job in replay.registry.live_jobs()
            if job.queue.priority <= arrival.queue.priority
            for step in job.steps()
        )
        shape = JobShape(arrival.document, arrival.queue)
        left = arrival.useful_until - replay.now
        return ("late", None) if work / replay.cores + shape.path > left else None


class ByBounds(AcceptAll):
    """Refuse by the forecast, as hosts do."""

    def __init__(self):
        self._hosts = [
            ForecastAdmission(lambda pool: self._now_known) for _ in range(HOSTS)
        ]
        self._now_known = None

    def refusal(self, arrival, replay, host):
        self._now_known = replay.known_forecast
        decision = self._hosts[host].decide(arrival.document, arrival.queue, replay.now)
        if decision.is_accepted:
            return None
        return decision.reason.value, decision.retry_after

    def note_accepted(self, arrival, replay, host):
        self._hosts[host].note_accepted(arrival.document, arrival.queue, replay.now)


class Replay:
    """Run one load under one way of admission.

    Parameters
    ----------
    way : AcceptAll
    arrivals : list of Arrival
    cores : callable
        Takes seconds from the start; returns the cores of the pool.
    rates : dict of Queue to float
    seed : int
    """

    def __init__(self, way, arrivals, cores, rates, seed):
        self.way, self.arrivals = way, arrivals
        self._cores_at = cores
        self._source = random.Random(seed)
        self.now = NOW
        self.cores = cores(0.0)
        self._free = self.cores
        self.registry = JobRegistry()
        self.entitlements = Entitlements(5.0, 20)
        rate = sum(rates.values()) / TEAMS
        self.entitlements.set_teams(
            [Team(f"t{index}", jobs_per_second=rate) for index in range(TEAMS)]
        )
        self.forecaster = Forecaster()
        self.known_forecast = None
        self._sent_forecasts = []
        self._runs = []
        self._returning = []

    def run(self, seconds):
        """Replay the load, and then go on without further jobs."""
        waiting = list(reversed(self.arrivals))
        for number in range(round((seconds + AFTER_SECONDS) / STEP_SECONDS)):
            self.now = NOW + number * STEP_SECONDS
            self._resize(number * STEP_SECONDS)
            self._end_runs()
            while waiting and waiting[-1].sent_at <= self.now:
                self._submit(waiting.pop())
            while self._returning and self._returning[0][0] <= self.now:
                self._submit(heapq.heappop(self._returning)[2])
            self._place()
            self._forecast(number)
        return self

    def _resize(self, seconds):
        cores = self._cores_at(seconds)
        self._free += cores - self.cores
        self.cores = cores

    def _submit(self, arrival):
        arrival.tries += 1
        host = int(arrival.document.identifier, 16) % HOSTS
        refusal = self.way.refusal(arrival, self, host)
        if refusal is None:
            self.way.note_accepted(arrival, self, host)
            job = self.registry.add(arrival.document, arrival.queue, self.now)
            job.is_owed = self.entitlements.is_owed(arrival.document.team, self.now)
            arrival.job = job
            return
        arrival.refusals.append(refusal)
        _, seconds = refusal
        if seconds and arrival.tries < TRIES:
            entry = (self.now + seconds, arrival.document.identifier, arrival)
            heapq.heappush(self._returning, entry)

    def _place(self):
        for step in order_steps(self.registry.waiting_steps(), self.now):
            cores = step.step.demand.processors / 1000
            for index in sorted(step.waiting):
                if self._free < cores:
                    return
                self._free -= cores
                step.job.has_placed_task = True
                run = self.registry.begin_run(step, index, "w", self.now)
                seconds = step.step.estimate_seconds * self._source.uniform(0.5, 1.5)
                entry = (self.now + seconds, str(run.key), run, cores)
                heapq.heappush(self._runs, entry)

    def _end_runs(self):
        while self._runs and self._runs[0][0] <= self.now:
            _, _, run, cores = heapq.heappop(self._runs)
            self._free += cores
            self.registry.end_run(run.key, run.attempt, "done", "", "w", self.now)

    def _forecast(self, number):
        found = self.forecaster.forecast(
            self.registry.live_jobs(),
            [RUSH, REBUILD],
            self.cores,
            DeclaredTimes(),
            lambda limit: self.entitlements.beyond_rate(self.now, limit),
            self.now,
        )
        found.known_at = self.now
        self._sent_forecasts.append(found)
        if number % BEAT_STEPS == 0 and number >= DELAY_STEPS:
            self.known_forecast = self._sent_forecasts[-1 - DELAY_STEPS]
        del self._sent_forecasts[: -1 - DELAY_STEPS]
