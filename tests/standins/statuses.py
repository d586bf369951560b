"""Status lines of the platform's answers."""

__all__ = [
    "BAD_REQUEST",
    "CONFLICT",
    "FAILED",
    "GONE",
    "MISDIRECTED",
    "OK",
    "UNAVAILABLE",
]

GONE = "410 Gone"
OK = "200 OK"
CONFLICT = "409 Conflict"
BAD_REQUEST = "400 Bad Request"
FAILED = "412 Precondition Failed"
UNAVAILABLE = "503 Service Unavailable"
MISDIRECTED = "421 Misdirected Request"
