"""Define the base class of all errors."""

__all__ = ["PapayapickError", "RetryAfter"]


class PapayapickError(Exception):
    """Base class of all errors, with a stable code and details.

    A subclass sets its stable identifier in ``code`` and its message in
    ``template``, which is formatted with the details.

    Parameters
    ----------
    **details : object
        Values for the fields of ``template``.

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
        """Return the values with which the message was formatted.

        Returns
        -------
        dict
        """
        return dict(self._details)


class RetryAfter:
    """Add to an error the delay after which a retry may succeed.

    Examples
    --------
    >>> class HostBusy(RetryAfter, PapayapickError):
    ...     code = "ledger.host-busy"
    ...     template = "host {host} is busy"
    >>> HostBusy(host="h", retry_after=0.2).retry_after, HostBusy(host="h").retry_after
    (0.2, 1.0)
    """

    # In seconds, for errors whose details don't contain ``retry_after``.
    default_retry_after = 1.0

    @property
    def retry_after(self):
        """Return the delay in seconds after which a retry may succeed."""
        return self._details.get("retry_after", self.default_retry_after)
