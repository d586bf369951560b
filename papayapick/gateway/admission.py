"""Validate callers' requests before they are processed."""

import hashlib
import json
import uuid

from papayapick.gateway.exceptions import (
    BodyTooLarge,
    DeadlinePast,
    KeyMissing,
    RequestInvalid,
    ServiceNotInBundle,
    TooManyMembers,
)
from papayapick.ledger import Amounts

__all__ = ["AdmittedRequest", "admit", "shard_for_key"]

_KEY_LIMIT = 128
_NAME_LIMIT = 64
_ANONYMOUS = "anonymous"
_DEMANDS = ("processors", "memory", "accelerators")


class AdmittedRequest:
    """Hold a validated request.

    Parameters
    ----------
    request_id : str
    shard : str
        Shard that journals the request; empty for work that is not journaled.
    name : str
    policy : ServicePolicy or JobPolicy
    caller : str
    payload : bytes
    timeout : float
        Seconds.
    job : dict or None
    """

    __slots__ = (
        "caller",
        "job",
        "name",
        "payload",
        "policy",
        "request_id",
        "shard",
        "timeout",
    )

    def __init__(
        self, request_id, shard, name, policy, caller, payload, timeout, job=None
    ):
        self.request_id = request_id
        self.shard = shard
        self.name = name
        self.policy = policy
        self.caller = caller
        self.payload = payload
        self.timeout = timeout
        self.job = job

    @property
    def is_durable(self):
        """Return whether the work is journaled before it starts."""
        return self.job is not None or self.policy.is_durable


def shard_for_key(bundle, caller, name, key):
    """Return the shard that journals a key, which is the same in every gateway.

    Only shards of the store's region are selected, so that journal writes do not
    cross the link between regions.
    """
    zones = bundle.zones()
    shards = [
        shard
        for shard in bundle.shards()
        if zones[shard.rpartition(".")[0]] == bundle.store_region
    ]
    digest = _key_digest(caller, name, key)
    return shards[int(digest[:8], 16) % len(shards)]


def _key_digest(caller, name, key):
    text = json.dumps([caller, name, key]).encode()
    return hashlib.sha256(text).hexdigest()


def admit(environ, bundle, body_limit):
    """Validate one request to run work.

    Parameters
    ----------
    environ : dict
        WSGI environment.
    bundle : Bundle
    body_limit : int
        Maximum size of the body in bytes.

    Returns
    -------
    AdmittedRequest

    Raises
    ------
    GatewayError
        The request is invalid; nothing was run.
    """
    body = _read_body(environ, body_limit)
    caller = _header(environ, "HTTP_CALLER", _NAME_LIMIT) or _ANONYMOUS
    key = _header(environ, "HTTP_IDEMPOTENCY_KEY", _KEY_LIMIT)
    if ("service" in body) == ("job" in body):
        raise RequestInvalid(
            place="body", reason="must name exactly one service or one job"
        )
    if "job" in body:
        return _admit_job(environ, bundle, body, caller, key)
    return _admit_service(environ, bundle, body, caller, key)


def _admit_service(environ, bundle, body, caller, key):
    name = _name(body, "service")
    policy = _policy(bundle.services, name, key)
    payload = json.dumps(body.get("payload")).encode()
    timeout = _timeout(environ, policy.timeout_seconds, policy.longest_timeout_seconds)
    request_id, shard = uuid.uuid4().hex, ""
    if policy.is_durable:
        request_id, shard = _durable_identity(bundle, caller, name, key)
    return AdmittedRequest(request_id, shard, name, policy, caller, payload, timeout)


def _admit_job(environ, bundle, body, caller, key):
    name = _name(body, "job")
    policy = _policy(bundle.jobs, name, key)
    members = body.get("members", 1)
    if not isinstance(members, int) or isinstance(members, bool) or members < 1:
        raise RequestInvalid(place="members", reason="must be a positive integer")
    if members > policy.members_limit:
        raise TooManyMembers(members=members, limit=policy.members_limit)
    job = {
        "members": members,
        "demand": _demand(body),
        "work": body.get("payload") or {},
    }
    timeout = _timeout(environ, policy.timeout_seconds, policy.timeout_seconds)
    request_id, shard = _durable_identity(bundle, caller, name, key)
    payload = json.dumps(job, sort_keys=True).encode()
    return AdmittedRequest(
        request_id, shard, name, policy, caller, payload, timeout, job
    )


def _policy(policies, name, key):
    """Return the policy of a name; work that is not repeatable requires a key."""
    policy = policies.get(name)
    if policy is None:
        raise ServiceNotInBundle(name=name)
    if not policy.repeatable and not key:
        raise KeyMissing(name=name)
    return policy


def _durable_identity(bundle, caller, name, key):
    key = key or uuid.uuid4().hex
    shard = shard_for_key(bundle, caller, name, key)
    return f"{shard}.{_key_digest(caller, name, key)[:32]}", shard


def _read_body(environ, body_limit):
    try:
        size = int(environ.get("CONTENT_LENGTH") or 0)
    except ValueError as error:
        raise RequestInvalid(
            place="Content-Length", reason="must be an integer"
        ) from error
    if size > body_limit:
        raise BodyTooLarge(size=size, limit=body_limit)
    try:
        body = json.loads(environ["wsgi.input"].read(size))
    except (ValueError, RecursionError) as error:
        raise RequestInvalid(place="body", reason="must be valid JSON") from error
    if not isinstance(body, dict):
        raise RequestInvalid(place="body", reason="must be a JSON object")
    return body


def _name(body, field):
    name = body[field]
    if not isinstance(name, str) or not 0 < len(name) <= _NAME_LIMIT:
        raise RequestInvalid(
            place=field, reason="must be a string of 1 to 64 characters"
        )
    return name


def _demand(body):
    amounts = {}
    for field in _DEMANDS:
        amount = body.get(field, 0)
        if not isinstance(amount, int) or isinstance(amount, bool) or amount < 0:
            raise RequestInvalid(place=field, reason="must be a non-negative integer")
        amounts[field] = amount
    if amounts["processors"] == 0:
        raise RequestInvalid(place="processors", reason="must be at least 1 millicore")
    return Amounts.from_mapping(amounts).as_mapping()


def _header(environ, name, limit):
    value = environ.get(name, "")
    if len(value) > limit or not value.isprintable():
        raise RequestInvalid(
            place=name.removeprefix("HTTP_"),
            reason=f"must be at most {limit} printable characters",
        )
    return value


def _timeout(environ, default, longest):
    header = environ.get("HTTP_REQUEST_TIMEOUT")
    if header is None:
        return default
    try:
        seconds = float(header)
    except ValueError as error:
        raise RequestInvalid(
            place="Request-Timeout", reason="must be a number of seconds"
        ) from error
    if seconds != seconds:
        raise RequestInvalid(
            place="Request-Timeout", reason="must be a number of seconds"
        )
    if seconds <= 0:
        raise DeadlinePast()
    return min(seconds, longest)
