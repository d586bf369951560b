"""Compute the resource use of each role at the target size from measured unit costs.

Run as ``python -m benchmarks.target [--json]``. The unit costs were measured by
``benchmarks.processes``, ``benchmarks.messages`` and ``benchmarks.capacity``; the page
docs/CAPACITY.md says when and on which host. Nothing is measured here.
"""

from benchmarks.tables import print_rows

# Target size that the users require.
WORKERS, TASKS, SERVICE_TASKS, ZONES = 5900, 75_000, 15_000, 13
JOBS_PER_DAY, CHANGES_PER_DAY, RETENTION_DAYS = 41_000, 5_000, 3
DAY_SECONDS = 86_400
# Three entry hosts per zone, each with a gateway and a placer; the largest region has
# four of the zones.
HOSTS, NEAR_HOSTS = 3 * ZONES, 3 * 4
SHARDS = 4 * ZONES
SERVICES = 200
# Unit costs in seconds of processor time.
ASK, ANSWER = 0.82e-3, 0.55e-3
GATEWAY_POLL, PLACER_POLL = 0.89e-3, 1.92e-3
GATEWAY_REST, PLACER_REST = 1.05e-3, 3.2e-3
PLATFORM_CALL, VERIFY = 0.165e-3, 62e-3
# Reading an entry of the live list, and grouping it by shard.
LIST_ENTRY = 6.4e-6 + 4.6e-6
# Unit costs in bytes.
HEARTBEAT, SHARD_BYTES, LOAD_BYTES, PACKET = 139, 25, 20.1, 80
LIST_LINE, LIST_HELD, TASK_HELD, WORKER_HELD = 267, 781, 137, 937
GATEWAY_BASE, PLACER_BASE, WORK_HELD = 52.3e6, 56.5e6, 697
LEASE_BODY, LEASE_TASK, HTTP_HEADS = 62, 279, 270
BUNDLE = 37_758


class Plan:
    """Settings that differ between the plans.

    Parameters
    ----------
    name : str
    near, far : float
        Seconds between heartbeats within and between regions.
    renewal : float
        Seconds between renewals of a worker's leases.
    loads : float
        Number of service loads of each shard in a heartbeat.
    list_share : float
        Share of the live list that a process reads.
    rest : float
        Remaining share of the cost of the placer's idle loops.
    has_relay : bool
        Whether a gateway gets all heartbeats through the placer of its own host.
    """

    def __init__(
        self, name, near, far, renewal, loads, list_share, rest, has_relay=False
    ):
        self.name = name
        self.near = near
        self.far = far
        self.renewal = renewal
        self.loads = loads
        self.list_share = list_share
        self.rest = rest
        self.has_relay = has_relay


PLANS = (
    Plan("today's code and settings", 0.5, 2.0, 0.5, SERVICES, 1.0, 1.0),
    Plan("settings alone", 2.0, 8.0, 3.0, SERVICES, 1.0, 1.0),
    Plan("and the first four changes", 2.0, 8.0, 20.0, 5, 1 / ZONES, 0.2),
    Plan("and a relay on each host", 2.0, 8.0, 20.0, 5, 1 / ZONES, 0.2, True),
)
RELAY_HEARTBEAT_RATE = 2.0
LIST_CHANGES_PER_DAY = 32 + 2 * 370
ENTRIES = WORKERS + SERVICE_TASKS


def main():
    print_rows([row for plan in PLANS for row in _rows(plan)])


def _rows(plan):
    heartbeat_rate = NEAR_HOSTS / plan.near
    change = CHANGES_PER_DAY / DAY_SECONDS
    list_reads = LIST_CHANGES_PER_DAY / DAY_SECONDS * plan.list_share
    common = change * VERIFY + list_reads * ENTRIES * LIST_ENTRY
    listed = list_reads * ENTRIES * LIST_LINE + change * BUNDLE
    shard = SHARD_BYTES + plan.loads * LOAD_BYTES
    # The relay sends the summary of the remote regions again after each change.
    far_shards = SHARDS * (1 - NEAR_HOSTS / HOSTS)
    summary = far_shards * shard / plan.far
    exchange = 2 * HEARTBEAT + SHARDS / HOSTS * shard + 2 * PACKET
    gateway_heartbeat_rate = RELAY_HEARTBEAT_RATE if plan.has_relay else heartbeat_rate
    # Messages from a relay to its gateway do not leave the host.
    gateway_sent = 0 if plan.has_relay else heartbeat_rate * exchange + summary
    gateway_seconds = (
        gateway_heartbeat_rate * ASK + GATEWAY_POLL + GATEWAY_REST + common
    )
    held = ENTRIES * LIST_HELD * plan.list_share
    renewals = WORKERS / HOSTS / plan.renewal
    placer_seconds = (
        heartbeat_rate * ASK
        + (heartbeat_rate + gateway_heartbeat_rate) * ANSWER
        + PLACER_POLL
    )
    placer_seconds += common + PLACER_REST * plan.rest + renewals * PLATFORM_CALL
    lease = LEASE_BODY + HTTP_HEADS + 2 * PACKET + LEASE_TASK * TASKS / WORKERS
    placer_bytes = 2 * heartbeat_rate * exchange + gateway_sent + summary + listed
    placer_bytes += renewals * lease
    placer_held = WORKERS / HOSTS * WORKER_HELD + TASKS / HOSTS * TASK_HELD
    # The store's region journals all jobs.
    placer_held += RETENTION_DAYS * JOBS_PER_DAY / NEAR_HOSTS * WORK_HELD
    gateway_memory, placer_memory = GATEWAY_BASE + held, PLACER_BASE + held
    placer_memory += placer_held
    gateway_bytes = gateway_sent + listed
    yield _row(plan, "gateway", gateway_seconds, gateway_bytes, gateway_memory)
    yield _row(plan, "placer", placer_seconds, placer_bytes, placer_memory)
    yield _row(
        plan,
        "entry host",
        gateway_seconds + placer_seconds,
        gateway_bytes + placer_bytes,
        gateway_memory + placer_memory,
    )


def _row(plan, role, seconds, size, memory):
    return {
        "plan": plan.name,
        "role": role,
        "core_percent": seconds * 100,
        "kb_per_s": size / 1000,
        "mb": memory / 1e6,
    }


if __name__ == "__main__":
    main()
