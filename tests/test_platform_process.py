"""The program that the platform starts: its settings, its signals, its end."""

import os
import signal
import subprocess
import sys
import threading

import pytest

from tests.support.fleet import free_ports
from tests.test_platform_forms import FIELDS, fill

START_S = 20.0


@pytest.fixture
def program(tmp_path):
    """Start the program without a store; yield it with the lines that it writes."""
    ports = free_ports(6)
    fields = FIELDS | {
        "ip": "127.0.0.1",
        "listen_addrs.outbound": f"127.0.0.1:{ports[0]}",
        "listen_addrs.control": f"127.0.0.1:{ports[1]}",
        "listen_addrs.ready": f"127.0.0.1:{ports[2]}",
        "internal_ports.0": str(ports[3]),
        "app_addr": f"127.0.0.1:{ports[4]}",
        "platform.address": f"127.0.0.1:{ports[5]}",
    }
    text = fill(fields).replace("kill_after_s = 6", "kill_after_s = 6\ndrain_s = 0.1")
    path = tmp_path / "node.conf"
    path.write_text(text, encoding="utf-8")
    process = subprocess.Popen(
        [sys.executable, "-m", "dandelionarch.platform"],
        env=os.environ | {"DANDELIONARCH_BOOT": str(path)},
        stdout=subprocess.PIPE,
        text=True,
    )
    # A program that says nothing would block the test for ever.
    watchdog = threading.Timer(START_S, process.kill)
    watchdog.start()
    yield process
    watchdog.cancel()
    process.kill()
    process.wait()
    process.stdout.close()


def read_until(process, name):
    """Return the first line with an event of this name."""
    for line in process.stdout:
        if f"event={name} " in line:
            return line
    raise AssertionError(f"the program ended without {name!r}")


class TestSignals:
    """The program does what the platform's signals ask for, also without a store."""

    def test_changed_settings_do_not_end_it(self, program):
        """Guards against a daemon that SIGHUP ends, as is the default."""
        read_until(program, "daemon_started")
        for _ in range(2):
            program.send_signal(signal.SIGHUP)
            assert "applied" in read_until(program, "settings_changed")
        assert program.poll() is None

    def test_stop_is_orderly(self, program):
        """Guards against a stop that waits for a store that is away."""
        read_until(program, "daemon_started")
        program.send_signal(signal.SIGTERM)
        read_until(program, "daemon_stopped")
        assert program.wait(START_S) == 0
