"""Tests of the host ledger: no host is overfilled, and the index finds room."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from papayapick.ledger import Amounts, HostFull, HostLedger, LedgerError

CAPACITIES = (
    Amounts(16000, 65536),
    Amounts(4000, 8192),
    Amounts(32000, 131072, 8),
)
NAMES = tuple(f"worker-{number}" for number in range(5))
DEMANDS = st.builds(
    Amounts,
    st.sampled_from((0, 125, 1000, 2500, 3875, 16000)),
    st.sampled_from((0, 1, 512, 8192, 60000)),
    st.sampled_from((0, 0, 0, 1, 3, 8)),
)
TASKS = st.integers(0, 11).map("task-{}".format)
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("add"), st.sampled_from(NAMES), st.sampled_from(CAPACITIES)),
        st.tuples(st.just("open"), st.sampled_from(NAMES)),
        st.tuples(st.just("close"), st.sampled_from(NAMES)),
        st.tuples(st.just("remove"), st.sampled_from(NAMES)),
        st.tuples(st.just("release"), TASKS),
        st.tuples(st.just("reserve"), st.sampled_from(NAMES), TASKS, DEMANDS),
        st.tuples(st.just("restore"), st.sampled_from(NAMES), TASKS, DEMANDS),
    ),
    max_size=60,
)


class UsageModel:
    """Model of the ledger: compute the usage of each host from the steps alone."""

    def __init__(self):
        self.capacities = {}
        self.tasks = {}

    def used(self, name):
        demands = [demand for host, demand in self.tasks.values() if host == name]
        return sum(demands, Amounts())

    def apply(self, step, arguments):
        if step == "add":
            self.capacities[arguments[0]] = arguments[1]
        elif step == "remove":
            del self.capacities[arguments[0]]
            self.tasks = {
                task: reservation
                for task, reservation in self.tasks.items()
                if reservation[0] != arguments[0]
            }
        elif step == "release":
            del self.tasks[arguments[0]]
        elif step in ("reserve", "restore"):
            name, task, demand = arguments
            self.tasks.setdefault(task, (name, demand))


@settings(derandomize=True, max_examples=200, deadline=None)
@given(STEPS, DEMANDS)
def test_no_sequence_of_changes_overfills_a_host(steps, wanted):
    """Guard against reservations that exceed the capacity of a host.

    Tasks start, end, are listed by an inventory and lose their host in any order. If
    one of these changes is miscounted, the ledger shows room that does not exist, and
    the next reservation overfills the host.
    """
    ledger, model = HostLedger(), UsageModel()
    for step, *arguments in steps:
        before = {name: model.used(name) for name in model.capacities}
        is_new = len(arguments) > 1 and arguments[1] not in model.tasks
        try:
            getattr(ledger, step)(*arguments)
        except LedgerError:
            continue
        model.apply(step, arguments)
        if step == "reserve" and is_new:
            name, _, demand = arguments
            assert (before[name] + demand).fits_in(model.capacities[name])
    for name in ledger.open_hosts():
        assert ledger.free(name) == model.capacities[name] - model.used(name)
    found = ledger.best_fit(wanted)
    fitting = [
        name for name in ledger.open_hosts() if wanted.fits_in(ledger.free(name))
    ]
    assert found in fitting if found else not _must_find(ledger, wanted, fitting)


def _must_find(ledger, wanted, fitting):
    # The room of a host with accelerators may be reserved, so that work that needs none
    # does not find it.
    plain = [name for name in fitting if not ledger.capacity(name).accelerators]
    return bool(fitting if wanted.accelerators else plain)


def ledger_of(*capacities, **options):
    ledger = HostLedger(**options)
    for number, capacity in enumerate(capacities):
        ledger.add(f"worker-{number}", capacity)
        ledger.open(f"worker-{number}")
    return ledger


@pytest.mark.parametrize(
    ("demand", "expected"),
    [
        (Amounts(1000, 1024), "worker-1"),
        (Amounts(5000, 1024), "worker-0"),
        (Amounts(1000, 10000), "worker-0"),
        (Amounts(1000, 1024, 1), "worker-2"),
        (Amounts(40000, 1024), None),
        (Amounts(999999999, 0), None),
    ],
)
def test_best_fit_returns_the_host_with_the_least_free_room(demand, expected):
    assert ledger_of(*CAPACITIES).best_fit(demand) == expected


def test_work_without_accelerators_leaves_the_reserve_free():
    """Guard against a job that waits while the accelerators it needs are idle.

    Small tasks could fill all processors of the host with the accelerators, so that
    none would be left for a task that uses an accelerator.
    """
    ledger = ledger_of(Amounts(8000, 8192, 8))
    number = 0
    while (name := ledger.best_fit(Amounts(1000, 1024))) is not None:
        ledger.reserve(name, f"small-{number}", Amounts(1000, 1024))
        number += 1
    assert number == 4
    assert ledger.best_fit(Amounts(4000, 4096, 8)) == "worker-0"


def test_overfilled_host_accepts_no_work_until_it_has_room():
    """Guard against new work on a host whose inventory exceeds its capacity.

    This happens if a smaller capacity is announced while work runs. The host must
    accept nothing until enough of that work has ended.
    """
    ledger = ledger_of(Amounts(2000, 2048))
    ledger.restore("worker-0", "found", Amounts(3000, 1024))
    assert ledger.best_fit(Amounts()) is None
    with pytest.raises(HostFull):
        ledger.reserve("worker-0", "new", Amounts(1, 1))
    ledger.release("found")
    assert ledger.best_fit(Amounts(2000, 2048)) == "worker-0"


def test_hosts_without_free_memory_are_not_examined():
    """Guard against decisions that take milliseconds if one host in 500 has room.

    The other hosts have free processors but no free memory. An index by processors
    alone would examine every one of them.
    """
    examined = []

    class RecordingAmounts(Amounts):
        __slots__ = ()

        def fits_in(self, other):
            examined.append(other)
            return super().fits_in(other)

    ledger = ledger_of(*[Amounts(16000, 1024)] * 500, Amounts(16000, 65536))
    assert ledger.best_fit(RecordingAmounts(1000, 4096)) == "worker-500"
    assert len(examined) <= 40


def test_could_hold_follows_changes_of_the_hosts():
    ledger = ledger_of(Amounts(2000, 2048))
    assert not ledger.could_hold(Amounts(4000, 1))
    ledger.add("worker-0", Amounts(4000, 2048))
    assert ledger.could_hold(Amounts(4000, 1))
    ledger.remove("worker-0")
    assert not ledger.could_hold(Amounts(1, 1))


def test_work_that_fits_nowhere_else_may_use_the_reserve():
    """Guard against a job that is accepted but waits until its deadline.

    All hosts have accelerators and reserve half of their room for them, so the job fits
    a host only with the reserved amounts.
    """
    ledger = ledger_of(Amounts(8000, 8192, 1))
    assert ledger.best_fit(Amounts(6000, 1024)) == "worker-0"
    assert ledger.best_fit(Amounts(9000, 1024)) is None
