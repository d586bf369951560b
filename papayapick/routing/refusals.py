"""Recognise refusals of placers that do not own the shard any more."""

__all__ = ["indicates_new_owner"]

# Beginnings of the codes with which a placer refuses requests for a shard that it does
# not serve at present. Another owner may serve them.
_MOVED_CODES = (
    "ownership.",
    "placer.shard-closed",
    "journal.fenced",
    "placer.work-moved",
)


def indicates_new_owner(error):
    """Return whether a refusal means that another placer may own the shard.

    Parameters
    ----------
    error : PeerRefused

    Returns
    -------
    bool
    """
    return error.refusal_code.startswith(_MOVED_CODES)
