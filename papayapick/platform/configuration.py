"""Decode the operator's configuration into queues, their policies and teams."""

from papayapick.jobs.queues import AdvicePolicy, CellConfiguration, Queue
from papayapick.platform.exceptions import BodyInvalid
from papayapick.platform.fields import optional_field, required_field
from papayapick.quotas.teams import Team, TeamDirectory, key_digest

__all__ = ["CONFIGURATION_KEY", "OPERATOR_TABLE", "decode_configuration"]

OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"

# Amounts of a team's maximum by the platform's names; 0 stands for no limit.
_MAXIMUM_NAMES = {"cpu": "processors", "mem_mb": "memory", "gpu": "accelerators"}


def decode_configuration(value, has_teams=False):
    """Return the configuration held by a row of the operator.

    Parameters
    ----------
    value : dict
        Value of the row.
    has_teams : bool, optional
        Whether callers identify themselves by the key of a team. Without teams, all
        queues are open to anyone.

    Returns
    -------
    CellConfiguration

    Raises
    ------
    BodyInvalid
        A field, which the error names, is missing or has a wrong type.
    """
    services = required_field(value, "services", list)
    services = {
        required_field(service, "name", str, "service"): service for service in services
    }
    queues = [
        _queue(route, services, has_teams)
        for route in required_field(value, "routes", list)
    ]
    limits = required_field(value, "limits", dict)
    return CellConfiguration(
        version=required_field(value, "version", int),
        queues=queues,
        body_limit_bytes=required_field(limits, "max_body_bytes", int, "limits"),
        teams=_teams(value) if has_teams else TeamDirectory(),
        accepted_connections=_accepted_connections(services),
    )


def _queue(route, services, has_teams):
    name = required_field(route, "name", str, "route")
    place = f"route {name}"
    pool = required_field(route, "service", str, place)
    service = services.get(pool, {})
    advice = optional_field(route, "advice", dict, None, place)
    is_public = optional_field(route, "public", bool, False, place)
    return Queue(
        name=name,
        host=required_field(route, "host", str, place).lower(),
        path_prefix=required_field(route, "path_prefix", str, place),
        pool=pool,
        priority=optional_field(route, "priority", int, 0, place),
        # Limits how often a task may fail; the number of starts is not limited.
        failure_limit=optional_field(route, "attempts", int, 1, place),
        stretch=optional_field(route, "stretch", float, 1.0, place),
        objective_seconds=optional_field(route, "slo_ms", float, 0, place) / 1000,
        timeout_seconds=optional_field(route, "timeout_ms", float, 0, place) / 1000,
        workers_check_room=optional_field(
            service, "enforces_capacity", bool, False, f"service {pool}"
        ),
        advice=_advice(advice, f"{place}.advice") if advice else None,
        is_public=is_public or not has_teams,
    )


def _accepted_connections(services):
    # Nothing fails without a limit, so that one of another type refuses no version.
    found = {name: service.get("max_conns") for name, service in services.items()}
    return {
        name: limit for name, limit in found.items() if type(limit) is int and limit > 0
    }


def _advice(policy, place):
    def seconds(name):
        return required_field(policy, name, float, place) / 1000

    return AdvicePolicy(
        fixed_seconds=seconds("decide_ms"),
        worker_seconds=seconds("each_ms"),
        valid_seconds=seconds("valid_ms"),
    )


def _teams(value):
    found = [_team(team) for team in optional_field(value, "tenants", list, [])]
    directory = TeamDirectory(found)
    if len(directory) < len(found):
        raise BodyInvalid(reason="two teams have the same name")
    return directory


def _team(team):
    name = required_field(team, "name", str, "tenant")
    place = f"tenant {name}"
    keys = optional_field(team, "api_keys", list, [], place)
    if not all(isinstance(key, str) and key for key in keys):
        # The error must not show the keys.
        raise BodyInvalid(reason=f"{place}.api_keys is not a list of strings")
    maximum = optional_field(team, "maximum", dict, {}, place)
    amounts = {
        own: optional_field(maximum, theirs, int, 0, f"{place}.maximum")
        for theirs, own in _MAXIMUM_NAMES.items()
    }
    return Team(
        name,
        [key_digest(key) for key in keys],
        # Its share in jobs a second: beyond it, nothing is owed to the team.
        jobs_per_second=optional_field(team, "weight", float, 0.0, place),
        maximum={own: amount for own, amount in amounts.items() if amount},
    )
