"""Decode the operator's configuration into queues and their policies."""

from papayapick.jobs.queues import AdvicePolicy, CellConfiguration, Queue
from papayapick.platform.exceptions import BodyInvalid

__all__ = ["CONFIGURATION_KEY", "OPERATOR_TABLE", "decode_configuration"]

OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"


def decode_configuration(value):
    """Return the configuration held by a row of the operator.

    Parameters
    ----------
    value : dict
        Value of the row.

    Returns
    -------
    CellConfiguration

    Raises
    ------
    BodyInvalid
        A field is missing or has a wrong type.
    """
    try:
        services = {service["name"]: service for service in value["services"]}
        queues = [_queue(route, services) for route in value["routes"]]
        return CellConfiguration(
            version=value["version"],
            queues=queues,
            body_limit_bytes=value["limits"]["max_body_bytes"],
        )
    except (KeyError, TypeError, AttributeError) as error:
        raise BodyInvalid(reason=f"configuration: {error!r}") from error


def _queue(route, services):
    service = services.get(route["service"], {})
    advice = route.get("advice")
    return Queue(
        name=route["name"],
        host=route["host"].lower(),
        path_prefix=route["path_prefix"],
        pool=route["service"],
        priority=route.get("priority", 0),
        # Limits how often a task may fail; the number of starts is not limited.
        failure_limit=route.get("attempts", 1),
        stretch=route.get("stretch", 1.0),
        objective_seconds=route.get("slo_ms", 0) / 1000,
        timeout_seconds=route.get("timeout_ms", 0) / 1000,
        workers_check_room=bool(service.get("enforces_capacity")),
        advice=_advice(advice) if advice else None,
    )


def _advice(policy):
    return AdvicePolicy(
        fixed_seconds=policy["decide_ms"] / 1000,
        worker_seconds=policy["each_ms"] / 1000,
        valid_seconds=policy["valid_ms"] / 1000,
    )
