"""Call backend servers and check that the answer is whole and theirs."""

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
    """Return whether a backend server says with its answer that it leaves."""
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
        """Send one request and return its whole answer.

        Parameters
        ----------
        url : str
        request_id : str
            Echoed by the backend server, which proves whose answer it is.
        epoch : int
            Refused by the backend server where a newer owner fenced it.
        payload : bytes
        seconds : float
        traceparent : str
        fresh : bool
            Use a new connection, so that a refusal can be told from a run.

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
            check=lambda found: _check_whole(url, request_id, found),
        )
        if answer.status == _STALE_EPOCH_STATUS and answer.headers.get(EPOCH):
            raise StaleEpoch(target=url, epoch=epoch)
        return answer

    def state_of(self, url, request_id):
        """Ask a backend server what became of a request.

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
        """Fence an instance and return the ids of the requests it runs.

        Parameters
        ----------
        url : str
        epoch : int
        reject_leaving : bool
            Raise HostLeaving for an instance that says it leaves: the live
            list lags, and would have it opened again after its own word.

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


def _check_whole(url, request_id, answer):
    """Raise AnswerInvalid for an answer that may be another's or cut short."""
    if answer.headers.get_all(REQUEST_ID) != [request_id]:
        # A late or reordered answer on a kept connection would otherwise
        # reach another caller.
        raise AnswerInvalid(url=url, reason="it belongs to another request")
    lengths = set(answer.headers.get_all("Content-Length") or ())
    is_chunked = answer.headers.get("Transfer-Encoding", "").lower() == _CHUNKED
    if is_chunked and not lengths:
        # The last chunk, of no bytes, proves the end.
        return
    if len(lengths) != 1 or not lengths.pop().strip().isdecimal():
        # Without one readable length, an answer cut short looks whole.
        raise AnswerInvalid(url=url, reason="it has no length")
