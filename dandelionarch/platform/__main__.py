"""Starts the daemon on the users' platform."""

import signal
import sys

# The platform may send SIGHUP during the imports, which take most of a second. By
# default, the signal would end the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)


def run():
    """Import and run the daemon; return its exit code."""
    from dandelionarch.platform.main import main

    return main()


if __name__ == "__main__":
    sys.exit(run())
