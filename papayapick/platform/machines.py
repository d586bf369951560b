"""Read which machines there are, and which worker lives on each."""

import json
import urllib.parse

from papayapick.clients.exceptions import AnswerInvalid, AnswerMissing, NotSent
from papayapick.platform.exceptions import CheckFailed

__all__ = ["Machine", "MachineList"]

# A list of 200 machines is answered in 10 ms; past this the next look asks again.
_CALL_SECONDS = 0.8
# More pages than any pool of the target has: a token that never ends is a fault.
_PAGES_LIMIT = 100


class Machine:
    """Hold one machine.

    Parameters
    ----------
    name, pool : str
    is_up : bool
        False while it is moved, has its upkeep, or is down: nothing runs on it.
    worker : str
        Id of the life that it has now; empty where it has none.
    """

    __slots__ = ("is_up", "name", "pool", "worker")

    def __init__(self, name, pool, is_up, worker):
        self.name = name
        self.pool = pool
        self.is_up = is_up
        self.worker = worker


class MachineList:
    """Call the service that knows the machines.

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
    def is_there(self):
        """Return whether the settings name such a service."""
        return bool(self._address)

    def fetch(self):
        """Return all machines.

        Returns
        -------
        list of Machine

        Raises
        ------
        CheckFailed
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
                raise CheckFailed(address=self._address, status=200) from error
            if not token:
                return found
        raise CheckFailed(address=self._address, status=200)

    def _page(self, token):
        url = f"http://{self._address}/machines"
        if token:
            url += "?" + urllib.parse.urlencode({"page_token": token})
        try:
            answer = self._pool.request("GET", url, timeout=_CALL_SECONDS)
            if answer.status == 200:
                return json.loads(answer.body)
        except (NotSent, AnswerMissing, AnswerInvalid, ValueError) as error:
            raise CheckFailed(address=self._address, status=0) from error
        raise CheckFailed(address=self._address, status=answer.status)


def _machine(found):
    return Machine(
        name=found["machine"],
        pool=found["pool"],
        is_up=found["state"] == "up",
        worker=found.get("id") or "",
    )
