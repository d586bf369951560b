"""Show the workers of the users' platform, with the speeds that were learned."""

from papayapick.management.base import Command
from papayapick.management.commands.pool import current_configuration
from papayapick.management.exit_codes import EXIT_OK
from papayapick.management.pools import PoolsView
from papayapick.management.workers import recorded_speeds
from papayapick.speeds import WorkerSpeeds

__all__ = ["WorkerCommand"]


class WorkerCommand(Command):
    """Show workers from the store of the users' platform, without changes."""

    name = "worker"
    usage = """Show the workers of the users' platform.

Usage:
  papayapick worker list [<pool>] [--json]
  papayapick worker --help

list shows the workers of each pool, or of one, the slowest first: the speed that the
owner of the pool has learned, relative to the mean of the pool, how certain it is from
0 to 1, its class, and the age of the record. There is no record while speeds do not
differ so much that callers notice.

Options:
  --json  Write JSON lines for programs.
  --help  Show this page.

An environment variable of the platform names its settings file.
"""

    def handle(self):
        """Run the named subcommand."""
        view = PoolsView.from_config()
        configuration = current_configuration(view)
        for pool in sorted(configuration.pools):
            if self.options["<pool>"] in (None, pool):
                self._list(view, configuration, pool)
        return EXIT_OK

    def _list(self, view, configuration, pool):
        age, workers = recorded_speeds(
            view.learned(pool, WorkerSpeeds.name),
            view.workers(pool),
            configuration.tightest_stretch(pool),
            self.clock.time(),
        )
        age = None if age is None else round(age, 1)
        record = "no record of speeds" if age is None else f"recorded {age} s ago"
        self.output.write(
            f"pool {pool}: {len(workers)} workers, {record}",
            pool=pool,
            workers=len(workers),
            age_seconds=age,
        )
        for worker in workers:
            tier = worker.tier.name.lower()
            self.output.write(
                f"  {worker.worker} {','.join(worker.labels) or '-'}: speed "
                f"{worker.speed:.2f}, certainty {worker.certainty:.2f}, {tier}",
                pool=pool,
                worker=worker.worker,
                labels=list(worker.labels),
                speed=round(worker.speed, 3),
                certainty=round(worker.certainty, 3),
                tier=tier,
                age_seconds=age,
            )
