"""The daemon as a process on the platform: settings, signals and exit."""

import os
import signal
import subprocess
import sys
import threading

import pytest

from tests.support.fleet import free_ports
from tests.test_platform_forms import FIELDS, fill

START_TIMEOUT_S = 20.0


@pytest.fixture
def daemon_process(tmp_path):
    """Yield the daemon's process, which runs without a store."""
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
    # Without the time-out, a daemon that logs nothing would block the test.
    watchdog = threading.Timer(START_TIMEOUT_S, process.kill)
    watchdog.start()
    yield process
    watchdog.cancel()
    process.kill()
    process.wait()
    process.stdout.close()


def read_until(process, name):
    """Return the next log line of an event."""
    for line in process.stdout:
        if f"event={name} " in line:
            return line
    raise AssertionError(f"the daemon ended without {name!r}")


class TestSignals:
    """The daemon handles the platform's signals, also without a store."""

    def test_reload_keeps_the_daemon_running(self, daemon_process):
        """Guards against a daemon that is ended by SIGHUP, as is the default."""
        read_until(daemon_process, "daemon_started")
        for _ in range(2):
            daemon_process.send_signal(signal.SIGHUP)
            assert "applied" in read_until(daemon_process, "settings_changed")
        assert daemon_process.poll() is None

    def test_sigterm_stops_the_daemon(self, daemon_process):
        """Guards against a stop that waits for an unavailable store."""
        read_until(daemon_process, "daemon_started")
        daemon_process.send_signal(signal.SIGTERM)
        read_until(daemon_process, "daemon_stopped")
        assert daemon_process.wait(START_TIMEOUT_S) == 0
