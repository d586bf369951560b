"""Validate bundle documents and provide typed access to their policies."""

import hashlib
import json
from importlib import resources

import jsonschema

from papayapick.bundle.exceptions import BundleInvalid

__all__ = ["Bundle", "JobPolicy", "ServicePolicy", "canonical"]

DEFERRED = "deferred"
URGENT = "urgent"
DOCUMENT_LIMIT_BYTES = 4 << 20

_SCHEMA = json.loads(
    resources.files("papayapick.bundle").joinpath("schema.json").read_text()
)
_VALIDATOR = jsonschema.Draft202012Validator(_SCHEMA)


def canonical(document):
    """Return the canonical JSON of a document, which is signed and digested.

    Parameters
    ----------
    document : dict

    Returns
    -------
    bytes

    Examples
    --------
    >>> canonical({"b": 1, "a": 2})
    b'{"a":2,"b":1}'
    """
    return json.dumps(
        document, sort_keys=True, separators=(",", ":"), ensure_ascii=True
    ).encode()


class ServicePolicy:
    """Hold the policy of one service.

    Times are in seconds. ``run_seconds`` is the upper bound of one run; a call whose
    outcome is still unknown after that time is treated as ended.
    """

    __slots__ = (
        "across_link",
        "longest_timeout_seconds",
        "name",
        "repeatable",
        "retries",
        "run_seconds",
        "timeout_seconds",
        "urgency",
        "waiting_limit",
    )

    def __init__(
        self,
        name,
        urgency,
        repeatable,
        timeout_seconds=2.6,
        longest_timeout_seconds=None,
        run_seconds=10.0,
        waiting_limit=256,
        retries=1,
        across_link=True,
    ):
        self.name = name
        self.urgency = urgency
        self.repeatable = repeatable
        self.timeout_seconds = timeout_seconds
        self.longest_timeout_seconds = longest_timeout_seconds or timeout_seconds
        self.run_seconds = run_seconds
        self.waiting_limit = waiting_limit
        self.retries = retries
        self.across_link = across_link

    @property
    def is_deferred(self):
        """Return whether the work may wait until its deadline."""
        return self.urgency == DEFERRED

    @property
    def is_durable(self):
        """Return whether the work is journaled before it starts."""
        return self.is_deferred or not self.repeatable


class JobPolicy:
    """Hold the policy of one kind of job."""

    __slots__ = (
        "members_limit",
        "name",
        "repeatable",
        "run_seconds",
        "team",
        "timeout_seconds",
        "urgency",
    )

    def __init__(
        self,
        name,
        urgency,
        repeatable,
        timeout_seconds=86400.0,
        run_seconds=3600.0,
        members_limit=64,
        team="",
    ):
        self.name = name
        self.urgency = urgency
        self.repeatable = repeatable
        self.timeout_seconds = timeout_seconds
        self.run_seconds = run_seconds
        self.members_limit = members_limit
        self.team = team


class Bundle:
    """Represent a valid bundle.

    Parameters
    ----------
    document : dict
        Valid against the schema.
    """

    __slots__ = ("_digest", "_document", "_jobs", "_services")

    def __init__(self, document):
        self._document = document
        self._digest = hashlib.sha256(canonical(document)).hexdigest()
        self._services = {
            service["name"]: ServicePolicy(**service)
            for service in document["services"]
        }
        self._jobs = {job["name"]: JobPolicy(**job) for job in document.get("jobs", ())}

    @classmethod
    def from_document(cls, document):
        """Validate a document and return its bundle.

        Raises
        ------
        BundleInvalid
            The error names the path of the first violation.
        """
        errors = sorted(
            _VALIDATOR.iter_errors(document), key=lambda error: list(error.path)
        )
        if errors:
            place = (
                "/".join(str(part) for part in errors[0].path) or "the document root"
            )
            raise BundleInvalid(place=place, reason=errors[0].message[:200])
        _check_names(document)
        _check_topology(document["topology"])
        return cls(document)

    @property
    def digest(self):
        """Return the SHA-256 of the canonical form."""
        return self._digest

    @property
    def document(self):
        """Return the document."""
        return self._document

    @property
    def cell(self):
        """Return the name of the cell that the bundle is for."""
        return self._document["cell"]

    @property
    def store_region(self):
        """Return the region of the platform's store."""
        return self._document["topology"]["store_region"]

    @property
    def shards_per_zone(self):
        """Return the number of shards that the hosts of a zone are divided into."""
        return self._document["topology"]["shards_per_zone"]

    @property
    def callers(self):
        """Return the limits of the callers by name."""
        return {caller["name"]: caller for caller in self._document.get("callers", ())}

    @property
    def teams(self):
        """Return the quotas of the teams by name."""
        return {team["name"]: team for team in self._document.get("teams", ())}

    @property
    def services(self):
        """Return the policies of the services by name."""
        return self._services

    @property
    def jobs(self):
        """Return the policies of the jobs by name."""
        return self._jobs

    def zones(self):
        """Return the name of the region by name of the zone."""
        return {
            zone: region["name"]
            for region in self._document["topology"]["regions"]
            for zone in region["zones"]
        }

    def shards(self):
        """Return the names of all shards.

        Examples
        --------
        >>> topology = {"store_region": "south", "shards_per_zone": 2,
        ...     "regions": [{"name": "south", "zones": ["hobart-a"]}]}
        >>> Bundle({"topology": topology, "services": []}).shards()
        ['hobart-a.0', 'hobart-a.1']
        """
        numbers = range(self.shards_per_zone)
        return [f"{zone}.{number}" for zone in self.zones() for number in numbers]


def _check_names(document):
    for section in ("services", "jobs", "callers", "teams"):
        names = [item["name"] for item in document.get(section, ())]
        for name in names:
            if names.count(name) > 1:
                raise BundleInvalid(place=section, reason=f"{name} is listed twice")
    teams = {team["name"] for team in document.get("teams", ())}
    for job in document.get("jobs", ()):
        if job.get("team") and job["team"] not in teams:
            raise BundleInvalid(
                place=f"jobs/{job['name']}", reason=f"team {job['team']} is not listed"
            )


def _check_topology(topology):
    names = [region["name"] for region in topology["regions"]]
    zones = [zone for region in topology["regions"] for zone in region["zones"]]
    if topology["store_region"] not in names:
        raise BundleInvalid(place="topology/store_region", reason="no such region")
    if len(set(zones)) != len(zones) or len(set(names)) != len(names):
        raise BundleInvalid(place="topology/regions", reason="a name is listed twice")
