"""Metrics of an entry host about its callers and its platform."""

from papayapick.observability.registry import PageSection, counter, gauge, histogram

__all__ = [
    "ACCEPTANCE_SECONDS",
    "ADVICE_SECONDS",
    "CONFIGURATION_AGE_SECONDS",
    "CONFIGURATION_VERSION",
    "LINES_LEFT_OUT",
    "REFUSALS",
    "REQUESTS",
    "STORE_AGE_SECONDS",
    "STORE_SECONDS",
]

REQUESTS = counter(
    PageSection.RESPONSES,
    "papayapick_entry_requests",
    "Requests answered",
    ("method", "status"),
)
REFUSALS = counter(
    PageSection.REFUSALS_AND_DROPS,
    "papayapick_entry_refusals",
    "Requests not answered with success",
    ("code",),
)
ACCEPTANCE_SECONDS = histogram(
    "papayapick_entry_acceptance_seconds", "From a job's arrival to its being stored"
)
STORE_SECONDS = histogram(
    "papayapick_entry_store_seconds",
    "Calls of the store; a follow waits for changes",
    ("operation", "outcome"),
)
STORE_AGE_SECONDS = gauge(
    PageSection.HOST_STATE,
    "papayapick_entry_store_age_seconds",
    "Since the store last answered this host",
)
ADVICE_SECONDS = histogram(
    "papayapick_entry_advice_seconds",
    "From wanting advice to having it, the wait for other calls included",
    ("outcome",),
)
CONFIGURATION_VERSION = gauge(
    PageSection.HOST_STATE, "papayapick_entry_configuration_version", "Version in force"
)
CONFIGURATION_AGE_SECONDS = gauge(
    PageSection.HOST_STATE,
    "papayapick_entry_configuration_age_seconds",
    "Since that version came in force",
)
LINES_LEFT_OUT = counter(
    PageSection.REFUSALS_AND_DROPS,
    "papayapick_entry_lines_left_out",
    "Lines of the log that were not written",
)
