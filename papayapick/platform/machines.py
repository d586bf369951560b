"""Read which machines there are, and order their upkeep."""

import enum
import json
import urllib.parse

from papayapick.clients.exceptions import AnswerInvalid, AnswerMissing, NotSent
from papayapick.platform.exceptions import CallFailed

__all__ = ["Machine", "MachineClient", "UpkeepOutcome"]

# A list of 200 machines is answered in 10 ms; past this the next look asks again.
_CALL_SECONDS = 0.8
# More pages than any pool of the target has: a token that never ends is a fault.
_PAGES_LIMIT = 100


class UpkeepOutcome(enum.Enum):
    """Tell what became of an order for an upkeep."""

    # It has begun, by this order or an earlier one.
    BEGUN = "begun"
    # The machine is not up, or is leaving.
    BUSY = "busy"
    # A newer owner has ordered something for the machine.
    FENCED = "fenced"
    NOT_IN_WAVE = "not in wave"
    NO_MACHINE = "no machine"
    # Too many calls, or the service is unwell: nothing was done.
    REFUSED = "refused"
    # No answer: it may have begun, or may begin later.
    UNKNOWN = "unknown"


_REASONS = {
    "fence": UpkeepOutcome.FENCED,
    "busy": UpkeepOutcome.BUSY,
    "wave": UpkeepOutcome.NOT_IN_WAVE,
}


class Machine:
    """Hold one machine.

    Parameters
    ----------
    name, pool : str
    is_up : bool
        False while it is moved, has its upkeep, or is down: nothing runs on it.
    worker : str
        Id of the life that it has now; empty where it has none.
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
        ``IP:PORT``; empty where there is none.
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
            Also where a page is missing: a part of the list tells nothing of the
            machines that are not in it.
        """
        found, token = [], ""
        for _ in range(_PAGES_LIMIT):
            page = self._page(token)
            try:
                found += [_machine(one) for one in page["machines"]]
                token = page.get("next_token")
            except (KeyError, TypeError, AttributeError) as error:
                raise CallFailed(address=self._address, status=200) from error
            if not token:
                return found
        raise CallFailed(address=self._address, status=200)

    def begin_upkeep(self, machine, wave, holder, token):
        """Order the upkeep of a machine; all that runs there ends at once.

        The same order again has the same answer and no other effect.

        Parameters
        ----------
        machine : str
        wave : int
        holder : str
            Host that orders it.
        token : int
            Fencing token: a machine takes no order under a lower one.

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
        except (NotSent, AnswerMissing, AnswerInvalid, ValueError) as error:
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
        except (ValueError, KeyError, TypeError):
            return UpkeepOutcome.UNKNOWN
    return UpkeepOutcome.REFUSED


def _machine(found):
    return Machine(
        name=found["machine"],
        pool=found["pool"],
        is_up=found["state"] == "up",
        worker=found.get("id") or "",
        is_in_upkeep=found["state"] == "upkeep",
    )
