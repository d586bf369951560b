"""Define the exit codes of the command line."""

__all__ = ["EXIT_FAILED", "EXIT_OK", "EXIT_PARTLY", "EXIT_SETTINGS", "EXIT_UNKNOWN"]

EXIT_OK = 0
# The command was refused or failed, and had no effect.
EXIT_FAILED = 1
# Settings or arguments are wrong, so nothing was attempted.
EXIT_SETTINGS = 2
# The command succeeded, but the output names processes or pools that did not answer or
# are not up to date.
EXIT_PARTLY = 3
# Whether the command took effect is unknown; check before repeating it.
EXIT_UNKNOWN = 4
