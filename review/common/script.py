"""Runs one case: exit code, time limit, record and the switch for the disruption."""

import asyncio
import os
import sys
from pathlib import Path

from review.common.fleet import CannotRunError

LIMIT_S = 110.0
HELD, BROKEN, CANNOT_RUN = 0, 1, 2


class Record:
    """Lines of `record.txt`, with the seconds since the start of the case."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")  # noqa: SIM115
        self._start = asyncio.get_running_loop().time()

    def add(self, text, at=None):
        """Add a line; `at` is a loop time, by default the present one."""
        now = asyncio.get_running_loop().time() if at is None else at
        print(f"{now - self._start:8.3f} {text}", file=self._file, flush=True)

    def close(self):
        """Close the file."""
        self._file.close()


def has_trouble():
    """Return False if the case is to be played without its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def main(case, directory):
    """Run the coroutine function `case(record, trouble)`; exit with its verdict.

    It returns a list of violations of the rule, each as a text.
    """
    sys.exit(asyncio.run(_run(case, Path(directory))))


async def _run(case, directory):
    record = Record(directory / "record.txt")
    try:
        async with asyncio.timeout(LIMIT_S):
            broken = await case(record, has_trouble())
    except (CannotRunError, TimeoutError, OSError) as exc:
        record.add(f"could not run: {type(exc).__name__}: {exc}")
        print(f"could not run: {type(exc).__name__}: {exc}")
        return CANNOT_RUN
    finally:
        record.add("end")
        record.close()
    for text in broken:
        print(text)
    print("rule broken" if broken else "rule held")
    return BROKEN if broken else HELD
