"""Events that an entry host logs; the reference page is generated from them."""

import logging

from papayapick.observability.events import Event

__all__ = [
    "ADVICE_MOVED",
    "CANCEL_STORED",
    "CANDIDATE_WAITS",
    "CELL_KEY_FOUND",
    "CONFIGURATION_IN_FORCE",
    "CONFIGURATION_NOT_ANNOUNCED",
    "CONFIGURATION_NOT_RECEIVED",
    "CONFIGURATION_READ_DIRECTLY",
    "CONFIGURATION_RECEIVED",
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
    "STATES_UNRELAYED",
    "STORE_AWAY",
    "STORE_BACK",
    "STORE_FOUND",
    "STORE_LOST",
    "WRITE_FAILED",
    "WRITE_UNSETTLED",
]

# Start and stop of the process.

PROCESS_STARTED = Event(
    "started",
    "version role_address peer_address store_address log_level metrics_port",
    "The process starts to answer health checks.",
)
PROCESS_STOPPING = Event(
    "stopping",
    "owned_pools grace_seconds",
    "The process received a stop signal: it is no longer ready and hands over the "
    "pools that it owns.",
)
PROCESS_STOPPED = Event(
    "stopped", "seconds", "The process exits; seconds since the stop signal."
)
SETTINGS_READ = Event(
    "settings read again", "", "The settings file was read after SIGHUP and is valid."
)
SETTINGS_KEPT = Event(
    "settings kept",
    "error",
    "The settings file read after SIGHUP is invalid; the process keeps its settings.",
    level=logging.ERROR,
)
LOOP_FAILED = Event(
    "loop failed",
    "loop",
    "A task that must never end raised an exception. It is run again; if it fails "
    "repeatedly, the process exits and must be restarted.",
    level=logging.ERROR,
)
READINESS_CHANGED = Event(
    "readiness changed",
    "is_ready is_draining configuration_version store_age_seconds",
    "The answer to health checks has changed.",
)

# Store, configuration and other hosts.

CELL_KEY_FOUND = Event(
    "cell key found", "made_here", "The key that the hosts of the cell share was read."
)
STORE_AWAY = Event(
    "store away", "step error", "The store is unavailable while this host joins."
)
STORE_LOST = Event(
    "store lost",
    "table error age_seconds",
    "The store no longer answers the calls that follow this table.",
    level=logging.WARNING,
)
STORE_BACK = Event(
    "store back",
    "table version away_seconds",
    "The store answers the calls that follow this table again.",
)
STORE_FOUND = Event(
    "store found again",
    "away_seconds",
    "A lost store answers this host again; callers are served from now on.",
)
HISTORY_LOST = Event(
    "history lost",
    "table version",
    "The store no longer has the changes since this version; the table is read whole.",
)
CONFIGURATION_IN_FORCE = Event(
    "configuration in force",
    "version version_before queues pools apply_seconds",
    "Requests from now on are handled by this version, which took so long to decode "
    "and to apply.",
)
CONFIGURATION_RECEIVED = Event(
    "configuration received",
    "peer rows bytes seconds",
    "Another host has sent newer rows of the operator, of so many compressed bytes.",
)
CONFIGURATION_NOT_RECEIVED = Event(
    "configuration not received",
    "peer error",
    "A host that was asked for newer rows of the operator did not send its answer.",
    level=logging.WARNING,
)
CONFIGURATION_READ_DIRECTLY = Event(
    "configuration read directly",
    "version",
    "None of the hosts that were asked had the newer rows of the operator in time: "
    "they are read from the store, although they are long.",
)
CONFIGURATION_NOT_ANNOUNCED = Event(
    "configuration not announced",
    "version error",
    "This host has read newer rows of the operator, and could not tell the others: "
    "they look for themselves later.",
    level=logging.WARNING,
)
CONFIGURATION_REFUSED = Event(
    "configuration refused",
    "version_in_force error",
    "A version cannot be decoded; the previous one stays in force.",
    level=logging.ERROR,
)
HOST_REACHED = Event(
    "host reached again",
    "peer pool silent_seconds",
    "A host that did not answer heartbeats of this host's owner answers again.",
)
HOST_FORGOTTEN = Event(
    "host forgotten",
    "peer",
    "The row of a host was removed, since it had not answered for a long time.",
)
HOST_KEPT = Event(
    "host not forgotten",
    "peer error",
    "The row of a host that does not answer was not removed: it has changed, or the "
    "store refused or did not answer.",
)
METRICS_UNSERVED = Event(
    "metrics unserved",
    "port error",
    "Another process listens at the metrics port; the host runs without metrics.",
    level=logging.WARNING,
)
STATES_UNRELAYED = Event(
    "states not relayed",
    "peer zone error",
    "A host did not pass changed job states on to the others of its zone; these are "
    "told directly, and another host is chosen.",
    level=logging.WARNING,
)
HOST_UNREACHED = Event(
    "host unreached",
    "peer pool error",
    "A host did not answer a heartbeat of this host's owner; only the first miss is "
    "logged.",
)

# Requests.

JOB_ACCEPTED = Event(
    "job accepted",
    "request_id queue team pool priority steps tasks seconds configuration_version",
    "The job is stored and its caller was informed; seconds since its arrival.",
)
JOB_KNOWN = Event(
    "job known already",
    "request_id queue source",
    "A job with a known id was submitted again and not stored. The source is board "
    "(the cache of job states), store, or pools (stored while its queue had another "
    "pool).",
)
CANCEL_STORED = Event(
    "cancel stored",
    "request_id queue seconds",
    "The cancellation is stored and its caller was informed.",
)
REQUEST_REFUSED = Event(
    "request refused",
    "request_id method asked_host path status code detail seconds store_age_seconds "
    "configuration_version retry_after_seconds caller_waits_ms",
    "A request was not answered with success; code names the reason.",
    per_second=60,
)
REQUEST_FAILED = Event(
    "request failed",
    "request_id method asked_host path",
    "A request failed with an unexpected exception, which is part of this line.",
    level=logging.ERROR,
)
WRITE_UNSETTLED = Event(
    "write unsettled",
    "request_ids partition error",
    "The store did not answer a write of callers; the write is retried until its "
    "outcome is known.",
)
WRITE_FAILED = Event(
    "write failed",
    "request_ids partition",
    "Writing for callers failed with an unexpected exception. These callers are "
    "informed that the outcome is unknown; others are not affected.",
    level=logging.ERROR,
)
CONFLICT_UNCLEAR = Event(
    "conflict without a changed row",
    "request_ids partition",
    "The store refused a write because of a condition that holds.",
    level=logging.WARNING,
)
RELAY_UNANSWERED = Event(
    "relayed call unanswered",
    "partition error",
    "The store did not answer a call that was relayed for another host.",
)

# Ownership of pools.

CANDIDATE_WAITS = Event(
    "candidate waits",
    "pool epoch owner delay_seconds store_seconds smallness",
    "The pool needs an owner; this host tries to take it after a delay that depends "
    "on its latency to the store and on its size.",
)
OWNER_SILENT = Event(
    "owner suspected",
    "pool epoch owner silent_seconds is_reported",
    "The owner of a pool is silent, has ended, or asked for a successor.",
)
OWNER_GONE = Event(
    "owner gone", "pool owner", "Nothing listens any longer at the owner's address."
)
OWNER_UNCONFIRMED = Event(
    "ownership unconfirmed",
    "pool epoch error",
    "This host could not read whether it still owns the pool.",
)
OWNERSHIP_UNSAID = Event(
    "ownership unsaid",
    "peer pool error",
    "A host did not answer whether it owns a pool.",
)
FORMER_POOLS_FOUND = Event(
    "former pools found",
    "pools",
    "These pools hold stored jobs, and no configuration that this process has read "
    "so far uses them; it watches them like those of queues.",
)
FORMER_POOLS_UNREAD = Event(
    "former pools not read",
    "error",
    "The store did not name the pools that hold jobs; this host asks again.",
    level=logging.WARNING,
)
QUEUE_POOL_UNRECORDED = Event(
    "pool of a queue not recorded",
    "queue pool error",
    "The store did not take in time that a queue gets another pool. The pool is "
    "recorded before the first job of the queue is stored there.",
    level=logging.WARNING,
)
POOL_LOST_RACE = Event(
    "pool taken by another host",
    "pool epoch",
    "Another host took the pool before this one.",
)
POOL_NOT_TAKEN = Event(
    "pool not taken",
    "pool epoch error",
    "The store refused or did not answer the attempt to take the pool.",
)
POOL_UNREAD = Event(
    "pool not read",
    "pool epoch error",
    "The state of a pool just taken could not be read; the pool is released.",
    level=logging.WARNING,
)
ADVICE_MOVED = Event(
    "advice asked elsewhere",
    "step peer error",
    "The host assigned to an advice query has stopped; another one is assigned.",
)
