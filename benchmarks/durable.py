"""Submit durable work and wait for its end."""

import json
import threading

from demo.cells import http_call

__all__ = ["run_durable"]


def run_durable(address, path, body, poll_interval):
    """Submit a request or job, poll it until it has ended, and assert its success.

    Parameters
    ----------
    address : str
        Address of a gateway.
    path : str
    body : dict
    poll_interval : float
        Interval between two polls of its state.
    """
    status, headers, _ = http_call(address, "POST", path, body)
    assert status == 202
    while True:
        found = json.loads(http_call(address, "GET", headers["Location"])[2])
        if found["state"] == "ended":
            assert found["outcome"] == "done", found
            return
        threading.Event().wait(poll_interval)
