"""Ask the advice service on behalf of the owner, one call at a time."""

from concurrent.futures import ThreadPoolExecutor

from papayapick.platform.advice import AdviceClient

__all__ = ["Adviser"]


class Adviser:
    """Queue calls: the service serves one at a time for each calling host.

    Parameters
    ----------
    address : str
    pool : HttpPool
    """

    __slots__ = ("_client", "_executor")

    def __init__(self, address, pool):
        self._client = AdviceClient(address, pool)
        self._executor = ThreadPoolExecutor(1, thread_name_prefix="advice")

    def ask(self, step_name, workers, expected_seconds):
        """Return a future of the tickets by worker."""
        return self._executor.submit(
            self._client.ask, step_name, workers, expected_seconds
        )
