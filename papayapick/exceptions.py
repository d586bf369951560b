"""Define the root of the exception tree."""

__all__ = ["PapayapickError", "RetryAfter"]


class PapayapickError(Exception):
    """Carry a typed failure with its details.

    A subclass names its stable identifier in ``code`` and its sentence in
    ``template``; the details fill the sentence.

    Parameters
    ----------
    **details : object
        Values named in ``template``.

    Examples
    --------
    >>> class HostFull(PapayapickError):
    ...     code = "ledger.host-full"
    ...     template = "host {host} is full"
    >>> str(HostFull(host="worker-1"))
    'host worker-1 is full'
    """

    code = "papayapick.error"
    template = "unexpected failure"

    def __init__(self, **details):
        super().__init__(self.template.format(**details))
        self._details = details

    @property
    def details(self):
        """Return the values that fill the sentence.

        Returns
        -------
        dict
        """
        return dict(self._details)


class RetryAfter:
    """Mix into an error the time after which coming back helps.

    Examples
    --------
    >>> class HostBusy(RetryAfter, PapayapickError):
    ...     code = "ledger.host-busy"
    ...     template = "host {host} is busy"
    >>> HostBusy(host="h", retry_after=0.2).retry_after, HostBusy(host="h").retry_after
    (0.2, 1.0)
    """

    # Seconds, where the error's details don't say.
    usual_retry_after = 1.0

    @property
    def retry_after(self):
        """Return the seconds after which coming back helps."""
        return self._details.get("retry_after", self.usual_retry_after)
