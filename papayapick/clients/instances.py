"""Call backend servers; check that answers are complete and match the request."""

import json

from papayapick.clients.exceptions import (
    AnswerInvalid,
    AnswerMissing,
    HostLeaving,
    StaleEpoch,
)

__all__ = ["InstanceClient", "is_leaving"]

REQUEST_ID = "Request-Id"
EPOCH = "Shard-Epoch"
TIMEOUT = "Request-Timeout"
LEAVING = "Leaving"
_STALE_EPOCH_STATUS = 409
_ABSENT = "absent"
_CHUNKED = "chunked"


def is_leaving(answer):
    """Return whether a backend server announces in its answer that it leaves."""
    return answer.headers.get(LEAVING) is not None


class InstanceClient:
    """Call instances of services.

    Parameters
    ----------
    pool : HttpPool
    """

    __slots__ = ("_pool",)

    def __init__(self, pool):
        self._pool = pool

    def call(
        self, url, request_id, epoch, payload, seconds, traceparent="", fresh=True
    ):
        """Send a request and return its complete answer.

        Parameters
        ----------
        url : str
        request_id : str
            Echoed by the backend server, which shows to which request it answers.
        epoch : int
            The backend server refuses the call if a newer owner has fenced it.
        payload : bytes
        seconds : float
        traceparent : str
        fresh : bool
            Use a new connection. On an idle one that the server has closed, a request
            that did not run would raise AnswerMissing instead of NotSent.

        Returns
        -------
        HttpAnswer

        Raises
        ------
        NotSent, StaleEpoch
            The request did not run.
        AnswerMissing, AnswerInvalid
            It may have run.
        """
        headers = {
            REQUEST_ID: request_id,
            EPOCH: str(epoch),
            TIMEOUT: f"{seconds:.3f}",
            "Content-Type": "application/json",
        }
        if traceparent:
            headers["traceparent"] = traceparent
        answer = self._pool.request(
            "POST",
            url,
            payload,
            headers,
            seconds,
            fresh,
            check=lambda answer: _check_answer(url, request_id, answer),
        )
        if answer.status == _STALE_EPOCH_STATUS and answer.headers.get(EPOCH):
            raise StaleEpoch(target=url, epoch=epoch)
        return answer

    def state_of(self, url, request_id):
        """Return the state of a request at a backend server.

        Returns
        -------
        str
            ``running``, ``done``, or ``absent``.

        Raises
        ------
        NotSent, AnswerMissing
        """
        answer = self._pool.request("GET", f"{url}/requests/{request_id}")
        if answer.status == 404:
            return _ABSENT
        return self._decoded(url, answer)["state"]

    def fence(self, url, epoch, reject_leaving=False):
        """Make an instance refuse lower epochs and return its running requests.

        Parameters
        ----------
        url : str
        epoch : int
        reject_leaving : bool
            Raise HostLeaving for an instance whose answer says that it leaves. The live
            list lags behind, so the caller could otherwise open the instance again.

        Returns
        -------
        list of str
            Ids of the requests that the instance runs.

        Raises
        ------
        NotSent, AnswerMissing, HostLeaving, StaleEpoch
        """
        body = json.dumps({"epoch": epoch}).encode()
        answer = self._pool.request("POST", f"{url}/fence", body)
        if answer.status == _STALE_EPOCH_STATUS:
            raise StaleEpoch(target=url, epoch=epoch)
        if reject_leaving and is_leaving(answer):
            raise HostLeaving(url=url)
        return self._decoded(url, answer)["running"]

    @staticmethod
    def _decoded(url, answer):
        try:
            return json.loads(answer.body)
        except ValueError as error:
            raise AnswerMissing(url=url) from error


def _check_answer(url, request_id, answer):
    """Raise AnswerInvalid for an answer that may be misdirected or truncated."""
    if answer.headers.get_all(REQUEST_ID) != [request_id]:
        # A late or reordered answer on a reused connection would otherwise
        # reach the wrong caller.
        raise AnswerInvalid(url=url, reason="it belongs to another request")
    lengths = set(answer.headers.get_all("Content-Length") or ())
    is_chunked = answer.headers.get("Transfer-Encoding", "").lower() == _CHUNKED
    if is_chunked and not lengths:
        # The last chunk, which is empty, marks the end of the body.
        return
    if len(lengths) != 1 or not lengths.pop().strip().isdecimal():
        # Without a valid length, a truncated answer looks complete.
        raise AnswerInvalid(url=url, reason="it has no valid Content-Length")
