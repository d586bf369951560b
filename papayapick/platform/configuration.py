"""Decode the operator's configuration into queues and their policies."""

from papayapick.jobs.queues import AdvicePolicy, CellConfiguration, Queue
from papayapick.platform.exceptions import BodyInvalid

__all__ = ["CONFIGURATION_KEY", "OPERATOR_TABLE", "decode_configuration"]

OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"


def decode_configuration(found):
    """Return the configuration that a row of the operator holds.

    Parameters
    ----------
    found : dict

    Returns
    -------
    CellConfiguration

    Raises
    ------
    BodyInvalid
    """
    try:
        services = {one["name"]: one for one in found["services"]}
        queues = [_queue(route, services) for route in found["routes"]]
        return CellConfiguration(
            version=found["version"],
            queues=queues,
            body_limit_bytes=found["limits"]["max_body_bytes"],
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
        # Bounds the runs that end as failed; starts have no bound.
        failure_limit=route.get("attempts", 1),
        stretch=route.get("stretch", 1.0),
        objective_seconds=route.get("slo_ms", 0) / 1000,
        timeout_seconds=route.get("timeout_ms", 0) / 1000,
        workers_check_room=bool(service.get("enforces_capacity")),
        advice=_advice(advice) if advice else None,
    )


def _advice(found):
    return AdvicePolicy(
        fixed_seconds=found["decide_ms"] / 1000,
        worker_seconds=found["each_ms"] / 1000,
        valid_seconds=found["valid_ms"] / 1000,
    )
