"""Tell a shard that has another owner from one that refuses."""

__all__ = ["has_moved"]

# Refusals of a placer that does not serve the shard now; its next owner will.
_MOVED_CODES = (
    "ownership.",
    "placer.shard-closed",
    "journal.fenced",
    "placer.work-moved",
)


def has_moved(error):
    """Return whether a refusal says that the shard has another owner.

    Parameters
    ----------
    error : PeerRefused

    Returns
    -------
    bool
    """
    return error.refusal_code.startswith(_MOVED_CODES)
