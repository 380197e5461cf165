"""Entry point of `dandelion-load`."""

import sys


def main(argv=None):
    """Generate load; return the exit code."""
    print("dandelion-load: not built yet", file=sys.stderr)
    return 2
