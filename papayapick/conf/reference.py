"""Write the reference page of the settings.

Run as ``python -m papayapick.conf.reference > docs/ref/settings.md``.
"""

import sys

from papayapick.conf.queries import reference_page

__all__ = ["main"]


def main():
    """Write the reference page to standard output."""
    sys.stdout.write(reference_page())


if __name__ == "__main__":
    main()
