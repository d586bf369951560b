"""Hand in durable work and wait for its end."""

import json
import threading

from demo.cells import http_call

__all__ = ["run_durable"]


def run_durable(address, path, body, look_seconds):
    """Return once a request or job that is to succeed is done.

    Parameters
    ----------
    address : str
        Of a gateway.
    path : str
    body : dict
    look_seconds : float
        Between two looks at its state.
    """
    status, headers, _ = http_call(address, "POST", path, body)
    assert status == 202
    while True:
        found = json.loads(http_call(address, "GET", headers["Location"])[2])
        if found["state"] == "ended":
            assert found["outcome"] == "done", found
            return
        threading.Event().wait(look_seconds)
