"""Jobs of the queue ``quick``: submit them to a host, and ask for their states."""

__all__ = ["IDS", "completed", "runs_once", "state_of", "submit"]

IDS = [f"{number:016x}" for number in range(1, 200)]


def state_of(host, identifier):
    status, body = host.call("GET", f"/quick/{identifier}")
    return body.get("state") if status == 200 else status


def completed(host, identifiers):
    return lambda: all(state_of(host, one) == "completed" for one in identifiers)


def submit(host, identifier, body):
    status, _ = host.call("POST", f"/quick/{identifier}", body)
    return status


def runs_once(cluster):
    return all(len(starts) == 1 for starts in cluster.starts().values())
