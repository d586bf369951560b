"""Convert an owner's forecast to the fields of its heartbeats, and back."""

import math

from papayapick.overload.forecast import PoolForecast, QueueForecast
from papayapick.wire.messages import QueueOutlook, TeamBeyondRate

__all__ = ["decode_forecast", "encode_forecast"]

# A time that is not finite is sent as this one, and is no more use to a caller.
_MAX_MILLISECONDS = 3_600_000
# Largest number of the field. Cancelled jobs count as completed work, so a few of them
# with absurd estimates could exceed it, and no heartbeat could be encoded.
_MAX_MILLICORES = 2**32 - 1
# More queues of one pool than any operator has; bounds the message.
_MAX_QUEUES = 200


def encode_forecast(forecast, to_peer_clock):
    """Return the fields of a heartbeat that carry a forecast.

    Parameters
    ----------
    forecast : PoolForecast or None
    to_peer_clock : callable
        Takes a monotonic time; returns milliseconds of the receiver's clock, or 0 if
        that is unknown. The receiver then has no forecast.

    Returns
    -------
    dict
        Fields of ``PoolBeat``.
    """
    if forecast is None or not math.isfinite(forecast.known_at):
        return {}
    queues = list(forecast.queues.items())[:_MAX_QUEUES]
    return {
        "queue_outlooks": [_encode_queue(name, one) for name, one in queues],
        "teams_beyond_rate": [
            TeamBeyondRate(team=team, owed_again_milliseconds=_milliseconds(seconds))
            for team, seconds in forecast.owed_again.items()
        ],
        "outlook_millicores": int(min(_MAX_MILLICORES, forecast.processors * 1000)),
        "counted_at_milliseconds": to_peer_clock(forecast.counted_at),
        "outlook_known_at_milliseconds": to_peer_clock(forecast.known_at),
    }


def decode_forecast(beat, now):
    """Return the forecast of a heartbeat, or None if it has none that can be dated.

    Parameters
    ----------
    beat : PoolBeat
    now : float
        Monotonic seconds of this host.
    """
    counted_at = (beat.counted_at_milliseconds or 0) / 1000
    known_at = (beat.outlook_known_at_milliseconds or 0) / 1000
    # A time in the future was computed for the clock of a machine that this one has
    # replaced.
    if not (0 < known_at <= counted_at <= now and beat.outlook_millicores):
        return None
    return PoolForecast(
        {one.queue: _decode_queue(one) for one in beat.queue_outlooks or ()},
        {
            one.team: _seconds(one.owed_again_milliseconds)
            for one in beat.teams_beyond_rate or ()
        },
        beat.outlook_millicores / 1000,
        counted_at,
        known_at,
    )


def _encode_queue(name, one):
    return QueueOutlook(
        queue=name,
        earliest_milliseconds=_milliseconds(one.earliest),
        patient_earliest_milliseconds=_milliseconds(one.patient_earliest),
        patience_milliseconds=_milliseconds(one.patience),
        latest_milliseconds=_milliseconds(one.latest),
        surplus_earliest_milliseconds=_milliseconds(one.surplus_earliest),
        surplus_patient_earliest_milliseconds=_milliseconds(
            one.surplus_patient_earliest
        ),
        surplus_latest_milliseconds=_milliseconds(one.surplus_latest),
    )


def _decode_queue(one):
    return QueueForecast(
        _seconds(one.earliest_milliseconds),
        _seconds(one.patient_earliest_milliseconds),
        _seconds(one.patience_milliseconds),
        _seconds(one.latest_milliseconds),
        _seconds(one.surplus_earliest_milliseconds),
        _seconds(one.surplus_patient_earliest_milliseconds),
        _seconds(one.surplus_latest_milliseconds),
    )


def _milliseconds(seconds):
    bounded = max(-_MAX_MILLISECONDS, min(_MAX_MILLISECONDS, seconds * 1000))
    return int(bounded)


def _seconds(milliseconds):
    if milliseconds >= _MAX_MILLISECONDS:
        return math.inf
    return milliseconds / 1000
