"""Which of the decisions under overload a deployment asks for."""

__all__ = ["OverloadFeatures"]


class OverloadFeatures:
    """Hold whether the decisions of this package are in use.

    Parameters
    ----------
    expects_overload : bool, optional
        Whether the settings say that more work is expected at times than the pool has
        room for. Otherwise jobs are admitted, ordered and preempted without a forecast.

    Examples
    --------
    >>> OverloadFeatures(expects_overload=True).is_in_use
    True
    """

    __slots__ = ("is_in_use",)

    def __init__(self, expects_overload=False):
        self.is_in_use = expects_overload

    @classmethod
    def from_settings(cls, settings):
        """Build it from the settings of an entry host.

        Parameters
        ----------
        settings : PlatformSettings
        """
        return cls(getattr(settings, "expects_overload", False))
