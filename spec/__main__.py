"""Check every specification; exit with 1 if a result is not the expected one."""

import sys

from spec import bundle, grants, journal, leases, maxima, ownership
from spec.checking import examine

SPECIFICATIONS = tuple(
    module.SPECIFICATION
    for module in (ownership, leases, grants, maxima, journal, bundle)
)


def main(stream=sys.stdout):
    """Print all findings and return the number of unexpected results."""
    surprises = 0
    for specification in SPECIFICATIONS:
        for finding in examine(specification):
            surprises += bool(finding.surprise)
            stream.write(_text(finding))
    stream.write(f"{surprises} surprises\n")
    return surprises


def _text(finding):
    what = f"without {finding.without}" if finding.without else "all guards"
    verdict = f"breaks {finding.broken}" if finding.broken else "holds"
    lines = [f"{finding.specification}: {what}: {verdict}, {finding.states} states"]
    lines += [f"    {number}. {s}" for number, s in enumerate(finding.steps, 1)]
    if finding.surprise:
        lines.append(f"    SURPRISE: {finding.surprise}")
    return "\n".join(lines) + "\n"


if __name__ == "__main__":
    sys.exit(1 if main() else 0)
