"""Client of the advice service, which says which workers may run a step."""

import json

from papayapick.clients.exceptions import AnswerInvalid, AnswerMissing, NotSent
from papayapick.platform.exceptions import CallFailed

__all__ = ["AdviceClient"]

# A call that takes this much longer than expected counts as lost. For comparison: a
# call for 100 workers of the slowest queue is expected to take 1.5 s.
_CALL_SLACK_SECONDS = 1.0


class AdviceClient:
    """Call the advice service.

    Parameters
    ----------
    address : str
        ``IP:PORT``.
    pool : HttpPool
    """

    __slots__ = ("_pool", "_url")

    def __init__(self, address, pool):
        self._url = f"http://{address}/advise"
        self._pool = pool

    def ask(self, step_name, workers, expected_seconds):
        """Return the tickets of the workers that may run a step.

        Parameters
        ----------
        step_name : str
            Job, occurrence and step, joined by dots.
        workers : list of str
            At most 100.
        expected_seconds : float
            Duration of the call if no other call is queued before it.

        Returns
        -------
        dict of str to str
            Ticket by worker.

        Raises
        ------
        CallFailed
            The service refused the call, or its answer is missing or invalid.
        """
        body = json.dumps({"step": step_name, "workers": workers}).encode()
        seconds = expected_seconds + _CALL_SLACK_SECONDS
        try:
            answer = self._pool.request("POST", self._url, body, timeout=seconds)
            if answer.status == 200:
                return dict(json.loads(answer.body)["good"])
        except (
            NotSent,
            AnswerMissing,
            AnswerInvalid,
            RecursionError,
            ValueError,
            KeyError,
            TypeError,
        ) as error:
            raise CallFailed(address="advice", status=0) from error
        raise CallFailed(address="advice", status=answer.status)
