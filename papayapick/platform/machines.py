"""Client of the machine service: list machines and order their upkeep."""

import enum
import json
import urllib.parse

from papayapick.clients.exceptions import AnswerInvalid, AnswerMissing, NotSent
from papayapick.platform.exceptions import BodyInvalid, CallFailed
from papayapick.platform.fields import required_field

__all__ = ["Machine", "MachineClient", "UpkeepOutcome"]

# A list of 200 machines is answered in 10 ms. After this time the call counts as failed
# and the next poll repeats it.
_CALL_SECONDS = 0.8
# Guards against a service whose answers always name a next page; no pool is expected to
# have as many pages.
_PAGES_LIMIT = 100


class UpkeepOutcome(enum.Enum):
    """Name the outcomes of an order for upkeep."""

    # The upkeep has begun, through this order or an earlier one.
    BEGUN = "begun"
    # The machine is not up, or is leaving.
    BUSY = "busy"
    # The machine has accepted an order of a newer owner.
    FENCED = "fenced"
    NOT_IN_WAVE = "not in wave"
    NO_MACHINE = "no machine"
    # The service is overloaded, failing or unreachable; nothing was done.
    REFUSED = "refused"
    # No valid answer: the upkeep may have begun or may still begin.
    UNKNOWN = "unknown"


_REASONS = {
    "fence": UpkeepOutcome.FENCED,
    "busy": UpkeepOutcome.BUSY,
    "wave": UpkeepOutcome.NOT_IN_WAVE,
}


class Machine:
    """Hold the state of one machine.

    Parameters
    ----------
    name, pool : str
    is_up : bool
        False while the machine is moved, in upkeep or down; then nothing runs on it.
    worker : str
        Id of the worker that runs on it now; empty if there is none.
    is_in_upkeep : bool
    """

    __slots__ = ("is_in_upkeep", "is_up", "name", "pool", "worker")

    def __init__(self, name, pool, is_up, worker, is_in_upkeep=False):
        self.is_in_upkeep = is_in_upkeep
        self.name = name
        self.pool = pool
        self.is_up = is_up
        self.worker = worker


class MachineClient:
    """Call the service that lists the machines and begins their upkeep.

    Parameters
    ----------
    address : str
        ``IP:PORT``; empty if there is no such service.
    pool : HttpPool
    """

    __slots__ = ("_address", "_pool")

    def __init__(self, address, pool):
        self._address = address
        self._pool = pool

    @property
    def is_configured(self):
        """Return whether the settings name a machine service."""
        return bool(self._address)

    def fetch(self):
        """Return all machines.

        Returns
        -------
        list of Machine

        Raises
        ------
        CallFailed
            Also if a single page is missing: a partial list does not show whether the
            other machines exist.
        """
        machines, token = [], ""
        for _ in range(_PAGES_LIMIT):
            page = self._page(token)
            try:
                machines += [_machine(entry) for entry in page["machines"]]
                token = page.get("next_token")
            except (BodyInvalid, KeyError, TypeError, AttributeError) as error:
                raise CallFailed(address=self._address, status=200) from error
            if not token:
                return machines
        raise CallFailed(address=self._address, status=200)

    def begin_upkeep(self, machine, wave, holder, token):
        """Order the upkeep of a machine, which ends everything that runs on it.

        The order is idempotent: a repeated one has the same answer and no effect.

        Parameters
        ----------
        machine : str
        wave : int
        holder : str
            Host that gives the order.
        token : int
            Fencing token: a machine refuses orders with a lower one than it has seen.

        Returns
        -------
        UpkeepOutcome
        """
        body = json.dumps({"machine": machine, "wave": wave}).encode()
        headers = {
            "Content-Type": "application/json",
            "X-Lease-Holder": holder,
            "X-Fencing-Token": str(token),
        }
        url = f"http://{self._address}/machine-upkeep"
        try:
            answer = self._pool.request(
                "POST", url, body, headers, timeout=_CALL_SECONDS
            )
        except NotSent:
            return UpkeepOutcome.REFUSED
        except (AnswerMissing, AnswerInvalid):
            return UpkeepOutcome.UNKNOWN
        return _upkeep_outcome(answer)

    def _page(self, token):
        url = f"http://{self._address}/machines"
        if token:
            url += "?" + urllib.parse.urlencode({"page_token": token})
        try:
            answer = self._pool.request("GET", url, timeout=_CALL_SECONDS)
            if answer.status == 200:
                return json.loads(answer.body)
        except (
            NotSent,
            AnswerMissing,
            AnswerInvalid,
            RecursionError,
            ValueError,
        ) as error:
            raise CallFailed(address=self._address, status=0) from error
        raise CallFailed(address=self._address, status=answer.status)


def _upkeep_outcome(answer):
    if answer.status == 200:
        return UpkeepOutcome.BEGUN
    if answer.status == 400:
        return UpkeepOutcome.NO_MACHINE
    if answer.status == 409:
        try:
            return _REASONS[json.loads(answer.body)["reason"]]
        except (RecursionError, ValueError, KeyError, TypeError):
            return UpkeepOutcome.UNKNOWN
    return UpkeepOutcome.REFUSED


def _machine(entry):
    return Machine(
        name=required_field(entry, "machine", str),
        pool=required_field(entry, "pool", str),
        is_up=entry["state"] == "up",
        worker=required_field({"id": entry.get("id") or ""}, "id", str),
        is_in_upkeep=entry["state"] == "upkeep",
    )
