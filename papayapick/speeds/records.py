"""Records of speeds, by which an owner tells the next one what it has learned."""

import math

from papayapick.speeds.estimates import FadingMean
from papayapick.speeds.types import SpeedTier

__all__ = ["decode_speeds", "encode_speeds"]

_KIND_PREFIX = "kind/"
_WORKER_PREFIX = "worker/"
# Numbers are stored as integers: thousandths of the logarithm, tenths of the weight.
_LOG_UNIT = 1000
_WEIGHT_UNIT = 10
_MAX_LOG = 2.0
_MAX_WEIGHT = 2000.0


def encode_speeds(workers, kinds):
    """Return a flat mapping of workers and kinds.

    Parameters
    ----------
    workers : dict of str to object
        With attributes ``mean``, ``tier`` and ``born``.
    kinds : dict of str to WorkerKind

    Returns
    -------
    dict of str to list
    """
    record = {
        _KIND_PREFIX + name: _encode(kind.mean)
        for name, kind in kinds.items()
        if kind.mean.weight
    }
    for name, state in workers.items():
        if state.mean.weight:
            numbers = [*_encode(state.mean), int(state.tier), state.born]
            record[_WORKER_PREFIX + name] = numbers
    return record


def decode_speeds(record):
    """Return the kinds and workers of a record.

    Parameters
    ----------
    record : dict of str to list

    Returns
    -------
    kinds : dict of str to FadingMean
    workers : dict of str to tuple of FadingMean, SpeedTier and int or None

    Raises
    ------
    TypeError, ValueError
        If the record can't be read.
    """
    kinds, workers = {}, {}
    for key, numbers in record.items():
        if key.startswith(_KIND_PREFIX):
            log_speed, weight = numbers
            kinds[key.removeprefix(_KIND_PREFIX)] = _decode(log_speed, weight)
        elif key.startswith(_WORKER_PREFIX):
            log_speed, weight, tier, born = numbers
            mean = _decode(log_speed, weight)
            if not isinstance(born, int | None):
                raise ValueError(f"start time {born!r} of {key}")
            workers[key.removeprefix(_WORKER_PREFIX)] = mean, SpeedTier(tier), born
    return kinds, workers


def _encode(mean):
    log_speed = mean.total / mean.weight
    return [round(_LOG_UNIT * log_speed), round(_WEIGHT_UNIT * mean.weight)]


def _decode(log_speed, weight):
    log_speed, weight = log_speed / _LOG_UNIT, weight / _WEIGHT_UNIT
    is_valid = abs(log_speed) <= _MAX_LOG and 0.0 <= weight <= _MAX_WEIGHT
    if not is_valid or math.isnan(weight):
        raise ValueError(f"speed {log_speed} of weight {weight}")
    return FadingMean(log_speed * weight, weight)
