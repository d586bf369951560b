"""Events of the decisions under overload; the reference page is written from them."""

from papayapick.observability.events import Event

__all__ = ["JOB_REFUSED"]

JOB_REFUSED = Event(
    "job refused",
    "request_id queue team reason retry_after_seconds earliest_seconds "
    "surplus_earliest_seconds owed_again_seconds useful_seconds path_seconds "
    "pool_cores forecast_age_seconds count_age_seconds",
    "A new job could not be of use any more when done. The reason is too-late (by the "
    "work that is served before it) or beyond-rate (of its team, which is owed jobs "
    "again after the seconds named); times begin with the forecast's count, and the "
    "ages are those of the forecast and of its count.",
    per_second=60,
)
