"""What an entry host writes down; the reference page lists the same."""

import logging

from papayapick.observability.events import Event

__all__ = [
    "ADVICE_MOVED",
    "CANCEL_STORED",
    "CANDIDATE_WAITS",
    "CELL_KEY_FOUND",
    "CONFIGURATION_IN_FORCE",
    "CONFIGURATION_REFUSED",
    "CONFLICT_UNCLEAR",
    "HISTORY_LOST",
    "HOST_FORGOTTEN",
    "HOST_KEPT",
    "HOST_REACHED",
    "HOST_UNREACHED",
    "JOB_ACCEPTED",
    "JOB_KNOWN",
    "LOOP_FAILED",
    "METRICS_UNSERVED",
    "OWNER_GONE",
    "OWNER_SILENT",
    "OWNER_UNCONFIRMED",
    "OWNERSHIP_UNSAID",
    "POOL_LOST_RACE",
    "POOL_NOT_TAKEN",
    "POOL_UNREAD",
    "PROCESS_STARTED",
    "PROCESS_STOPPED",
    "PROCESS_STOPPING",
    "READINESS_CHANGED",
    "RELAY_UNANSWERED",
    "REQUEST_FAILED",
    "REQUEST_REFUSED",
    "SETTINGS_KEPT",
    "SETTINGS_READ",
    "STORE_AWAY",
    "STORE_BACK",
    "STORE_FOUND",
    "STORE_LOST",
    "WRITE_FAILED",
    "WRITE_UNSETTLED",
]

# Life of the process.

PROCESS_STARTED = Event(
    "started",
    "version role_address peer_address store_address log_level metrics_port",
    "The process begins to answer health checks.",
)
PROCESS_STOPPING = Event(
    "stopping",
    "owned_pools grace_seconds",
    "It was told to stop: it is not ready any more and hands over what it owns.",
)
PROCESS_STOPPED = Event("stopped", "seconds", "It ends, so long after it was told to.")
SETTINGS_READ = Event("settings read again", "", "After SIGHUP.")
SETTINGS_KEPT = Event(
    "settings kept",
    "error",
    "The file read after SIGHUP is not valid; the process goes on with the old one.",
    level=logging.ERROR,
)
LOOP_FAILED = Event(
    "loop failed",
    "loop",
    "A task that must run for ever raised; the process ends to be started again.",
    level=logging.ERROR,
)
READINESS_CHANGED = Event(
    "readiness changed",
    "is_ready is_draining configuration_version store_age_seconds",
    "The answer to health checks is another one from now on.",
)

# What it depends on.

CELL_KEY_FOUND = Event(
    "cell key found", "made_here", "The key that hosts of this cell share is known."
)
STORE_AWAY = Event("store away", "step error", "Joining the cell waits for the store.")
STORE_LOST = Event(
    "store lost",
    "table error age_seconds",
    "The store does not answer any more where this table is followed.",
    level=logging.WARNING,
)
STORE_BACK = Event(
    "store back", "table version away_seconds", "It answers there again."
)
STORE_FOUND = Event(
    "store found again",
    "away_seconds",
    "A lost store answers this host; callers are served again from now on.",
)
HISTORY_LOST = Event(
    "history lost", "table version", "The table is read whole: its changes are gone."
)
CONFIGURATION_IN_FORCE = Event(
    "configuration in force",
    "version version_before queues pools",
    "Requests from now on are handled by this version.",
)
CONFIGURATION_REFUSED = Event(
    "configuration refused",
    "version_in_force error",
    "A version can't be decoded; the one before stays in force.",
    level=logging.ERROR,
)
HOST_REACHED = Event(
    "host reached again",
    "peer pool silent_seconds",
    "A host that did not answer beats of the owner here answers again.",
)
HOST_FORGOTTEN = Event(
    "host forgotten", "peer", "It was silent for long, and its row was removed."
)
HOST_KEPT = Event(
    "host not forgotten",
    "peer error",
    "The row of a silent host has changed, or the store did not take its removal.",
)
METRICS_UNSERVED = Event(
    "metrics unserved",
    "port error",
    "Something else listens at the port for metrics; the host goes on without them.",
    level=logging.WARNING,
)
HOST_UNREACHED = Event(
    "host unreached",
    "peer pool error",
    "Another host did not answer a beat of the owner here; told on the first miss.",
)

# Requests.

JOB_ACCEPTED = Event(
    "job accepted",
    "request_id queue pool priority steps tasks seconds configuration_version",
    "The job is stored and the caller was told so; seconds since its arrival here.",
)
JOB_KNOWN = Event(
    "job known already",
    "request_id queue source",
    "The same id came again: nothing was stored. Source: board, or store.",
)
CANCEL_STORED = Event(
    "cancel stored",
    "request_id queue seconds",
    "The cancellation is durable and the caller was told so.",
)
REQUEST_REFUSED = Event(
    "request refused",
    "request_id method asked_host path status code detail seconds store_age_seconds "
    "configuration_version retry_after_seconds",
    "A caller was told anything but success; code names the reason.",
    per_second=60,
)
REQUEST_FAILED = Event(
    "request failed",
    "request_id method asked_host path",
    "A request met a fault of this program; the line has the exception.",
    level=logging.ERROR,
)
WRITE_UNSETTLED = Event(
    "write unsettled",
    "request_ids partition error",
    "The store did not answer a write of callers; it is tried again until "
    "that is settled.",
)
WRITE_FAILED = Event(
    "write failed",
    "request_ids partition",
    "Writing for callers met a fault of this program; they are told that the outcome "
    "is not known, and the others go on.",
    level=logging.ERROR,
)
CONFLICT_UNCLEAR = Event(
    "conflict without a changed row",
    "request_ids partition",
    "The store refused a write for a condition that holds.",
    level=logging.WARNING,
)
RELAY_UNANSWERED = Event(
    "relayed call unanswered",
    "partition error",
    "A call of the store made for another host had no answer.",
)

# Ownership, as candidates see it.

CANDIDATE_WAITS = Event(
    "candidate waits",
    "pool epoch owner delay_seconds store_seconds smallness",
    "The pool needs an owner; this host tries to take it so much later, by its "
    "distance from the store and by its size.",
)
OWNER_SILENT = Event(
    "owner suspected",
    "pool epoch owner silent_seconds is_reported",
    "The owner of a pool was not heard, is gone, or asked for a successor.",
)
OWNER_GONE = Event(
    "owner gone", "pool owner", "Nothing listens any more where the owner did."
)
OWNER_UNCONFIRMED = Event(
    "ownership unconfirmed",
    "pool epoch error",
    "The owner here could not read whether the pool is still its own.",
)
OWNERSHIP_UNSAID = Event(
    "ownership unsaid",
    "peer pool error",
    "A host did not say whether it owns a pool.",
)
POOL_LOST_RACE = Event(
    "pool taken by another host", "pool epoch", "This host came too late."
)
POOL_NOT_TAKEN = Event(
    "pool not taken", "pool epoch error", "The store did not let this host take it."
)
POOL_UNREAD = Event(
    "pool not read",
    "pool epoch error",
    "Its state could not be read; the pool is freed again.",
    level=logging.WARNING,
)
ADVICE_MOVED = Event(
    "advice asked elsewhere",
    "step peer error",
    "The host that was to ask for advice is gone; another one is asked at once.",
)
