"""Show pools, entry hosts and jobs of the users' platform."""

from papayapick.management.base import Command
from papayapick.management.exceptions import ConfigurationMissing, JobMissing
from papayapick.management.exit_codes import EXIT_OK, EXIT_PARTLY
from papayapick.management.pools import PoolsView
from papayapick.management.times import format_utc

__all__ = ["PoolCommand", "current_configuration", "find_job"]


def current_configuration(view):
    """Return the operator's configuration; raise ConfigurationMissing."""
    configuration = view.configuration()
    if configuration is None:
        raise ConfigurationMissing()
    return configuration


def find_job(view, configuration, identifier):
    """Return the JobView of an id; raise JobMissing."""
    job = view.job(identifier, sorted(configuration.pools))
    if job is None:
        raise JobMissing(identifier=identifier)
    return job


class PoolCommand(Command):
    """Show pools and jobs from the store of the users' platform, without changes."""

    name = "pool"
    usage = """Show pools, entry hosts and jobs of the users' platform.

Usage:
  papayapick pool status [--json]
  papayapick pool job <id> [--json]
  papayapick pool --help

status shows who owns each pool, at which epoch, which queues it serves, and which
entry hosts can be reached; job shows the recorded progress of a job of steps.

Exit code 0 when each pool has an owner that can be reached, otherwise 3.

Options:
  --json  Write JSON lines for programs.
  --help  Show this page.

An environment variable of the platform names its settings file.
"""

    def handle(self):
        """Run the named subcommand."""
        view = PoolsView.from_config()
        configuration = current_configuration(view)
        if self.options["job"]:
            return self._job(view, configuration)
        return self.show_status(view, configuration)

    def _show_unusable_workers(self, view):
        unusable = view.unusable_workers()
        if unusable:
            self.output.write(
                f"{len(unusable)} entries in the list of workers can't be used: "
                f"{', '.join(unusable)}",
                unusable_workers=unusable,
            )

    def show_status(self, view, configuration):
        """Show owner, epoch and queues of each pool, and the entry hosts.

        Parameters
        ----------
        view : PoolsView
        configuration : CellConfiguration

        Returns
        -------
        int
            Exit code.
        """
        hosts = view.hosts()
        reached = {host.name for host in hosts if host.is_reached}
        self.output.write(
            f"configuration {configuration.version}: {len(configuration.queues)} "
            f"queues, {len(configuration.pools)} pools",
            configuration=configuration.version,
            queues=len(configuration.queues),
        )
        self._show_unusable_workers(view)
        is_whole = True
        for pool in view.pools(configuration):
            queues = [
                name
                for name, queue in configuration.queues.items()
                if queue.pool == pool.pool
            ]
            is_served = pool.owner in reached
            is_whole = is_whole and is_served
            self.output.write(
                f"pool {pool.pool}: owner {pool.owner or 'nobody'}"
                f"{'' if is_served else ' (not reached)'}, epoch {pool.epoch}, "
                f"queues {', '.join(queues)}",
                pool=pool.pool,
                owner=pool.owner,
                epoch=pool.epoch,
                is_served=is_served,
                queues=queues,
            )
        for host in hosts:
            self.output.write(
                f"host {host.name} {host.zone} {host.address}: "
                f"{'reached' if host.is_reached else 'not reached'}",
                host=host.name,
                zone=host.zone,
                address=host.address,
                is_reached=host.is_reached,
            )
        return EXIT_OK if is_whole else EXIT_PARTLY

    def _job(self, view, configuration):
        identifier = self.options["<id>"]
        job = find_job(view, configuration, identifier)
        accepted = format_utc(job.accepted_at)
        self.output.write(
            f"{identifier}: {job.status}{', cancelled' if job.is_cancelled else ''}; "
            f"queue {job.queue}, pool {job.pool}, accepted {accepted} UTC",
            job=identifier,
            status=job.status,
            is_cancelled=job.is_cancelled,
            queue=job.queue,
            pool=job.pool,
            accepted_at=job.accepted_at,
        )
        for step in job.steps:
            self._step(step)
        return EXIT_OK

    def _step(self, step):
        text = (
            f"  occurrence {step.occurrence} step {step.number}: {step.done} of "
            f"{step.tasks} tasks done"
        )
        for index, worker in sorted(step.places.items()):
            text += f"\n    task {index} started on {worker}"
        for index, count in sorted(step.failures.items()):
            text += f"\n    task {index} failed {count} times"
        self.output.write(
            text,
            occurrence=step.occurrence,
            step=step.number,
            done=step.done,
            tasks=step.tasks,
            places=step.places,
            failures=step.failures,
        )
