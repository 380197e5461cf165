"""Invalid input from callers, peers and settings files."""

import asyncio
import contextlib
import os
import socket
import struct
from unittest.mock import patch

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dandelionarch.daemon import ingress_http, link, tcplink
from dandelionarch.daemon.main import main
from dandelionarch.daemon.settings import read_settings
from dandelionarch.errors import MessageDecodeError, SettingsError, WireError
from dandelionarch.wire.codec import Codec
from dandelionarch.wire.framing import (
    MAX_FRAME_BYTES,
    Frame,
    FrameKind,
    FrameReader,
    FrameWriter,
    pack_hello,
    session_key,
    unpack_hello,
)
from tests.support.fleet import DAEMON_SETTINGS, SHARED_KEY, free_ports
from tests.support.path import AUTH, fleet_test, two_daemons, until

KEY = f"Authorization: {AUTH['Authorization']}\r\n".encode()
PORTS = ("ingress", "peer", "gossip", "admin")
HOST = b"Host: x\r\n"
BAD_REQUESTS = {
    b"\x00\x01\x02\x03\r\n\r\n": 400,
    b"GET\r\n\r\n": 400,
    b"GET /orders HTTP/3.7\r\n\r\n": 400,
    b"GET /orders HTTP/1.1\r\nno colon\r\n\r\n": 400,
    b"GET /\xff HTTP/1.1\r\n" + HOST + b"\r\n": 400,
    b"GET /orders HTTP/1.1\r\n" + HOST + KEY + b"X: a\nY: b\r\n\r\n": 400,
    b"GET /orders HTTP/1.1\r\n" + HOST + KEY + b"X: caf\xe9\r\n\r\n": 400,
    b"GET /orders HTTP/1.1\r\n" + HOST + KEY + b"X" * 20_000: 413,
    b"POST /orders HTTP/1.1\r\n" + HOST + KEY + b"Content-Length: -1\r\n\r\n": 400,
    b"POST /orders HTTP/1.1\r\n" + HOST + KEY + b"Content-Length: 2\r\n"
    b"Transfer-Encoding: chunked\r\n\r\nok": 400,
    b"POST /orders HTTP/1.1\r\n" + HOST + KEY + b"Transfer-Encoding: chunked\r\n\r\n"
    b"zz\r\n\r\n": 400,
    b"GET /nowhere HTTP/1.1\r\n" + HOST + KEY + b"\r\n": 404,
    b"BREW /orders HTTP/1.1\r\n" + HOST + KEY + b"\r\n": 405,
    b"GET /orders HTTP/1.1\r\n" + HOST + b"Authorization: Bearer \xe9\r\n\r\n": 401,
    b"GET /orders HTTP/1.1\r\n" + HOST + b"\r\n": 401,
    b"GET /orders HTTP/1.1\r\n" + HOST + KEY + b"Dandelion-Time-Budget: 0\r\n\r\n": 400,
    b"GET /orders HTTP/1.1\r\n" + HOST + KEY + b"Dandelion-Time-Budget: x\r\n\r\n": 400,
}


async def send_and_receive(port, data, limit_s=5.0):
    """Send bytes to a port and return the received bytes.

    Reading ends with the connection, after `limit_s`, or after an HTTP header.
    """
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    received = b""
    with contextlib.suppress(TimeoutError, ConnectionError):
        async with asyncio.timeout(limit_s):
            while part := await reader.read(65_536):
                received += part
                if b"\r\n\r\n" in received and received.startswith(b"HTTP"):
                    break
    writer.close()
    return received


def occupy_port(port):
    """Return a socket that listens on a port."""
    sock = socket.socket()
    sock.bind(("127.0.0.1", port))
    sock.listen()
    return sock


class TestCallers:
    """A malformed request gets a specific refusal; the daemon continues to serve."""

    @fleet_test
    async def test_malformed_requests(self, fleet, session):
        """Guards against a wrong status or outcome for malformed requests."""
        daemon = await two_daemons(fleet)
        worker = await fleet.worker("w1", "vm-b")
        port = fleet.daemons["vm-a"].settings.daemon.ingress_port
        for data, status in BAD_REQUESTS.items():
            head = await send_and_receive(port, data)
            assert head.startswith(b"HTTP/1.1 %d" % status), (data, head)
            assert b"dandelion-outcome: not-run" in head.lower(), (data, head)
        assert worker.runs == []
        async with session.get(fleet.url("vm-a")) as resp:
            assert resp.status == 200
        assert daemon.http.in_flight == 0

    @fleet_test
    async def test_service_without_endpoints(self, fleet, session):
        """Guards against waiting for a service that has no endpoint."""
        await fleet.daemon("vm-a")
        async with session.get(fleet.url("vm-a")) as resp:
            assert (resp.status, resp.reason) == (503, "Service Unavailable")
            assert resp.headers["Dandelion-Outcome"] == "not-run"
            assert (await resp.json())["title"] == "no_endpoint"

    @fleet_test
    async def test_headers_without_end(self, fleet, session):
        """Guards against a caller that holds a connection open byte by byte."""
        with patch.object(ingress_http, "HEADER_TIMEOUT_S", 0.2):
            daemon = await fleet.daemon("vm-a")
        port = daemon.settings.daemon.ingress_port
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        reply = asyncio.create_task(reader.read(1024))
        for _ in range(100):
            if reply.done():
                break
            writer.write(b"G")
            await asyncio.sleep(0.05)
        assert reply.done()
        assert (await reply).startswith(b"HTTP/1.1 408")
        writer.close()

    @fleet_test
    async def test_limits_on_connections_and_requests(self, fleet, session):
        """Guards against unbounded memory use; excess requests are refused at once."""
        daemon = await fleet.daemon("vm-a", max_in_flight=2, max_connections=4)
        worker = await fleet.worker("w1", "vm-a", work_ms=500)
        running = [
            asyncio.create_task(session.get(fleet.url("vm-a"))) for _ in range(2)
        ]
        await until(lambda: len(worker.runs) == 2, "requests run")
        async with session.get(fleet.url("vm-a")) as resp:
            assert (resp.status, worker.runs[0]["end"]) == (503, None)
            assert resp.headers["Dandelion-Outcome"] == "not-run"
            assert resp.headers["Retry-After"]
        assert [(await task).status for task in running] == [200, 200]
        port = daemon.settings.daemon.ingress_port
        writers = []
        for _ in range(4):
            writers.append((await asyncio.open_connection("127.0.0.1", port))[1])
        assert await send_and_receive(port, b"GET / HTTP/1.1\r\n\r\n") == b""
        for writer in writers:
            writer.close()


class TestPeers:
    """The peer port refuses invalid connections; the daemon continues to serve."""

    @fleet_test
    async def test_unauthenticated_peers(self, fleet, session):
        """Guards against accepting random bytes, another version or another key."""
        await two_daemons(fleet)
        daemon = await fleet.worker("w1", "vm-b") and fleet.daemons["vm-b"]
        port = daemon.settings.daemon.peer_port
        nonce = bytes(16)
        other_version = struct.pack("!4sH16s", b"DNDL", 99, nonce)
        key = session_key(b"another key, 16 bytes", nonce, nonce)
        identity = FrameWriter(key).pack(Frame(255, FrameKind.ONE_WAY, 0, b"vm-z"))
        oversized = struct.pack("!I", MAX_FRAME_BYTES)
        cases = {
            os.urandom(64): "AuthenticationError",
            other_version: "VersionMismatchError",
            pack_hello(nonce) + identity: "AuthenticationError",
            pack_hello(nonce) + oversized: "FrameTooLargeError",
        }
        for data, error in cases.items():
            with patch.object(tcplink, "event") as event:
                await send_and_receive(port, data)
            assert event.call_args.args[1] == "link_refused"
            assert event.call_args.kwargs["error"] == error
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        with patch.object(tcplink, "event") as event:
            writer.write(pack_hello(nonce) + identity[:-1])
            writer.close()
            await until(lambda: event.called, "cut frame is noticed")
        assert event.call_args.kwargs["error"] == "FrameTruncatedError"
        async with session.get(fleet.url("vm-a")) as resp:
            assert resp.status == 200

    @fleet_test
    async def test_unfinished_handshakes(self, fleet, session):
        """Guards against too many or too long half-open connections."""
        daemon = await fleet.daemon("vm-a")
        port = daemon.settings.daemon.peer_port
        with (
            patch.object(tcplink, "HANDSHAKE_TIMEOUT_S", 0.3),
            patch.object(link, "MAX_HALF_OPEN_LINKS", 3),
            patch.object(link, "event") as event,
        ):
            tasks = [
                asyncio.create_task(send_and_receive(port, b"DN")) for _ in range(6)
            ]
            # The daemon must close each one, well before the client's limit of 5 s.
            done, pending = await asyncio.wait(tasks, timeout=3)
            assert not pending
        refused = [c for c in event.call_args_list if c.args[1] == "link_refused"]
        assert len(refused) == 3
        assert sum(not task.result() for task in done) == 3

    @fleet_test
    async def test_undecodable_message(self, fleet, session):
        """Guards against a peer's invalid frame that affects more than its own link."""
        await two_daemons(fleet)
        daemon = await fleet.worker("w1", "vm-b") and fleet.daemons["vm-b"]
        port = daemon.settings.daemon.peer_port
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        nonce = bytes(16)
        writer.write(pack_hello(nonce))
        peer_nonce = unpack_hello(await reader.readexactly(22))
        frames = FrameWriter(session_key(SHARED_KEY.encode(), nonce, peer_nonce))
        writer.write(frames.pack(Frame(255, FrameKind.ONE_WAY, 0, b"vm-z")))
        with patch.object(tcplink, "event") as event:
            writer.write(frames.pack(Frame(0, FrameKind.ONE_WAY, 0, b"\xff" * 64)))
            await until(lambda: event.called, "link fails")
        assert event.call_args.kwargs["error"] == "MessageDecodeError"
        writer.close()
        async with session.get(fleet.url("vm-a")) as resp:
            assert resp.status == 200


class TestFrames:
    """Arbitrary bytes either decode or raise an error of the package."""

    @settings(derandomize=True, deadline=None)
    @given(st.integers(0, 255), st.binary(max_size=400))
    def test_random_payloads(self, channel, data):
        """Guards against unhandled exceptions of the codec library."""
        with contextlib.suppress(MessageDecodeError):
            Codec().decode(channel, data)

    @settings(derandomize=True, deadline=None)
    @given(st.binary(max_size=200))
    def test_random_frames(self, data):
        """Guards against accepting a frame without a valid authentication code."""
        with pytest.raises(WireError):
            FrameReader(bytes(32)).unpack(data)


class TestSettings:
    """A settings error names file, section, option and range; exit codes differ."""

    def settings_text(self, **changes):
        ports = dict(zip(PORTS, range(1024, 1028), strict=True))
        values = {"vm": "vm-a", "data_centre": "dc", "seeds": "", "key": SHARED_KEY}
        return DAEMON_SETTINGS.format(**{**values, **ports, "log": 1, **changes})

    @pytest.mark.parametrize(
        ("changes", "extra", "option", "expected"),
        [
            ({"ingress": 70_000}, "", "ingress_port", "65535"),
            ({"seeds": "nowhere"}, "", "seeds", "HOST:PORT"),
            ({"key": "short"}, "", "shared_key", "16"),
            ({}, "[limits]\nmax_in_flight = 0\n", "max_in_flight", "1"),
            ({}, "[limits]\nmax_inflight = 5\n", "max_inflight", ""),
            ({}, "[typo]\n", "-", "known"),
        ],
    )
    def test_message_of_settings_error(
        self, tmp_path, changes, extra, option, expected
    ):
        """Guards against a message that does not locate the mistake."""
        path = tmp_path / "vm.ini"
        path.write_text(self.settings_text(**changes) + extra)
        with pytest.raises(SettingsError) as info:
            read_settings(str(path))
        assert (info.value.file, info.value.option) == ("vm.ini", option)
        assert expected in str(info.value)

    def test_exit_codes(self, tmp_path, capsys):
        """Guards against a wrong exit code, and unreported ports that are in use."""
        path = tmp_path / "vm.ini"
        path.write_text(self.settings_text(ingress=0))
        assert main([str(path)]) == 2
        ports = dict(zip(PORTS, free_ports(4), strict=True))
        path.write_text(self.settings_text(**ports))
        sockets = [occupy_port(ports[name]) for name in ("ingress", "peer")]
        assert main([str(path)]) == 3
        err = capsys.readouterr().err
        assert f"ingress port {ports['ingress']}" in err
        assert f"peer port {ports['peer']}" in err
        for sock in sockets:
            sock.close()
