"""Define the root of the exception tree."""

__all__ = ["PapayapickError"]


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
