"""Define the base class of all errors."""

__all__ = ["PapayapickError", "RetryAfter", "root_cause"]


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


def root_cause(error):
    """Return the type and the message of the first error that led to an error.

    Parameters
    ----------
    error : BaseException

    Returns
    -------
    str

    Examples
    --------
    >>> error = PapayapickError()
    >>> error.__cause__ = ConnectionResetError("reset by peer")
    >>> root_cause(error)
    'ConnectionResetError: reset by peer'
    """
    while error.__cause__ is not None:
        error = error.__cause__
    return f"{type(error).__name__}: {error}"


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
