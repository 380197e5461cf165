"""Programs that a measurement starts, and their memory and processor time."""

import contextlib
import hashlib
import json
import os
import subprocess
import sys
import time
import urllib.request
from pathlib import Path

START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 15.0
SHARED_KEY = "key of the measured fleet"
CUSTOMER_KEY = "measure"
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")

PLANS = f"""\
[customer load]
key_digest = {hashlib.sha256(CUSTOMER_KEY.encode()).hexdigest()}
plan = gold
"""


class MeasureError(Exception):
    """A measured process failed or did not become ready."""


def cpu_s(pid):
    """Return the processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def resident_bytes(pid):
    """Return the resident memory of a process in bytes."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES


class Programs:
    """Starts programs of the package and stops them, by their ids."""

    def __init__(self, directory):
        self.directory = Path(directory)
        self._processes = []

    def __enter__(self):
        return self

    def __exit__(self, *exc):
        for process in reversed(self._processes):
            process.terminate()
        for process in self._processes:
            try:
                process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    def start(self, program, *args):
        """Start a program in the background and return its process."""
        with open(self.directory / "programs.log", "ab") as out:
            process = subprocess.Popen(
                [sys.executable, "-m", f"dandelionarch.{program}.main", *args],
                stdout=out,
                stderr=out,
            )
        self._processes.append(process)
        return process

    def run(self, program, *args):
        """Run a program until it ends; return its output."""
        process = subprocess.run(
            [sys.executable, "-m", f"dandelionarch.{program}.main", *args],
            capture_output=True,
            text=True,
            check=False,
        )
        if process.returncode:
            raise MeasureError(f"{program}: {process.stdout}{process.stderr}")
        return process.stdout

    def write(self, name, text):
        """Write a file into the directory and return its path."""
        path = self.directory / name
        path.write_text(text, encoding="utf-8")
        return str(path)


def wait_for(check, description):
    """Wait until `check()` returns True; connection errors count as False.

    Raises
    ------
    MeasureError
        After `START_TIMEOUT_S`, with the `description` of what was waited for.
    """
    deadline = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline:
        with contextlib.suppress(OSError, KeyError):
            if check():
                return
        time.sleep(0.1)
    raise MeasureError(f"timed out after {START_TIMEOUT_S} s: {description}")


def get_json(url):
    """Fetch a URL and return its decoded JSON body."""
    with urllib.request.urlopen(url, timeout=5) as resp:
        return json.load(resp)
