"""Labels of workers: their kind, and the rack that they are in."""

__all__ = ["rack_label"]

_RACK_LABEL_PREFIX = "r"


def rack_label(labels):
    """Return the label of a worker's rack, or an empty string.

    Parameters
    ----------
    labels : iterable of str

    Examples
    --------
    >>> rack_label(("large", "r-7"))
    'r-7'
    """
    for label in labels:
        if label.startswith(_RACK_LABEL_PREFIX) and "-" in label:
            return label
    return ""
