"""One link between daemons, on a fake transport."""

import asyncio

from dandelionarch.core.messages.request import Ping
from dandelionarch.daemon.link import PeerNetwork
from dandelionarch.daemon.tcplink import SILENCE_TIMEOUT_S, TcpLink

KEY = b"0123456789abcdef-test"
IDLE_PING_S = 2.0


class FakeTransport:
    """Transport that stores written data until it is delivered."""

    def __init__(self):
        self.written = []
        self.closing = False

    def write(self, data):
        self.written.append(data)

    def is_closing(self):
        return self.closing

    def close(self):
        self.closing = True

    abort = close

    def get_write_buffer_size(self):
        return 0

    def set_write_buffer_limits(self, high):
        pass


class Pair:
    """Two connected links, the dialling side first."""

    def __init__(self, idle_ping_s=None):
        self.transports = [FakeTransport(), FakeTransport()]
        self.links = []
        for n, transport in enumerate(self.transports):
            network = PeerNetwork(f"vm-{n}", KEY, lambda vm: None, idle_ping_s)
            self.links.append(TcpLink(network, dialled=n == 0))
            self.links[n].connection_made(transport)
        self.deliver()

    def deliver(self):
        """Deliver what either side has written, until neither writes."""
        while any(transport.written for transport in self.transports):
            for n, transport in enumerate(self.transports):
                data, transport.written = b"".join(transport.written), []
                if data:
                    self.links[1 - n].data_received(data)


def run(check):
    """Run a function in an event loop."""

    async def main():
        check()

    asyncio.run(main())


class TestClosingLinks:
    """A link whose connection is closing still handles received data."""

    def test_ping_on_a_closing_connection_closes_the_link(self):
        """Guards against an exception in the event loop when no reply can be sent."""

        def check():
            pair = Pair()
            pair.transports[1].closing = True
            pair.links[0].send(Ping(1))
            pair.deliver()
            assert pair.links[1].closed

        run(check)


class TestIdleLinks:
    """With `idle_ping_s`, an unused link is pinged periodically."""

    def test_silent_idle_link_is_closed(self):
        """Guards against a dead connection that only the next request detects."""

        def check():
            link = Pair(IDLE_PING_S).links[0]
            now = link.last_received + IDLE_PING_S + 0.1
            link.check_liveness(now)
            assert not link.closed
            link.check_liveness(now + SILENCE_TIMEOUT_S)
            assert link.closed

        run(check)

    def test_answered_ping_keeps_the_link(self):
        """Guards against closing a link whose peer is alive."""

        def check():
            pair = Pair(IDLE_PING_S)
            link = pair.links[0]
            now = link.last_received
            for _ in range(5):
                now += IDLE_PING_S + 0.1
                link.check_liveness(now)
                assert pair.transports[0].written
                pair.deliver()
                link.last_received = now
            assert not link.closed

        run(check)

    def test_accepting_side_does_not_ping_first(self):
        """Guards against pings from both sides of an idle link."""

        def check():
            pair = Pair(IDLE_PING_S)
            link = pair.links[1]
            link.check_liveness(link.last_received + 1.4 * IDLE_PING_S)
            assert pair.transports[1].written == []

        run(check)

    def test_accepting_side_detects_a_silent_peer(self):
        """Guards against requests over a link whose dialling VM has lost power."""

        def check():
            pair = Pair(IDLE_PING_S)
            link = pair.links[1]
            now = link.last_received + 1.6 * IDLE_PING_S
            link.check_liveness(now)
            assert pair.transports[1].written
            link.check_liveness(now + SILENCE_TIMEOUT_S)
            assert link.closed

        run(check)
