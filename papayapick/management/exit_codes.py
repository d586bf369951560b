"""Name the exit codes of the command line."""

__all__ = ["EXIT_FAILED", "EXIT_OK", "EXIT_PARTLY", "EXIT_SETTINGS", "EXIT_UNKNOWN"]

EXIT_OK = 0
# Refused or failed; what was asked for did not come about.
EXIT_FAILED = 1
# Wrong settings or arguments; nothing was tried.
EXIT_SETTINGS = 2
# Done, but something did not answer or is behind; the output names it.
EXIT_PARTLY = 3
# It may have taken effect or not; look before doing it again.
EXIT_UNKNOWN = 4
