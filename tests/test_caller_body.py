"""Reading of callers' bodies that arrive in pieces of any size."""

import asyncio
import os

from hypothesis import given, settings
from hypothesis import strategies as st

from dandelionarch.daemon.attempt import REPLAY_LIMIT_BYTES
from dandelionarch.daemon.caller_body import read_request

BODY = os.urandom(2 * REPLAY_LIMIT_BYTES)
LIMIT_BYTES = 8 << 20
MAX_PIECE_BYTES = 1 << 16


class BodyStream:
    """Stream of a caller's body, in pieces whose sizes are given, then of all sizes."""

    request_bytes_left = 0

    def __init__(self, body, sizes):
        self._left = body
        self._sizes = list(sizes)
        self.request_body = True

    async def read(self):
        """Return the next piece, or None at the end."""
        size = self._sizes.pop(0) if self._sizes else MAX_PIECE_BYTES
        data, self._left = self._left[:size], self._left[size:]
        if not data:
            self.request_body = False
            return None
        return data


class Request:
    """A caller's request, as far as its reading goes."""

    method, path, query_string, headers = "POST", "/search/photo", "", {}

    def __init__(self, body, sizes):
        self.stream = BodyStream(body, sizes)


class Callers:
    """Protocol of callers without header fields."""

    @staticmethod
    def host(request):
        return "shop.example"

    @staticmethod
    def forwarded_fields(request):
        return ()


def fingerprint(body, sizes=()):
    """Return the fingerprint of a body that arrives in pieces."""
    req = asyncio.run(read_request(Request(body, sizes), Callers, LIMIT_BYTES))
    return req.fingerprint


class TestFingerprint:
    """A request is known by its content, however its bytes arrive."""

    @settings(max_examples=60, deadline=None)
    @given(
        st.integers(-3, 80_000),
        st.lists(st.integers(1, MAX_PIECE_BYTES), max_size=12),
        st.lists(st.integers(1, MAX_PIECE_BYTES), max_size=12),
    )
    def test_pieces_make_no_difference(self, excess, sizes, other_sizes):
        """Guards against a deadly request that crashes an endpoint each time (BUDGET).

        Of a long body as much was digested as had been read when the limit was passed.
        """
        body = BODY[: REPLAY_LIMIT_BYTES + excess]
        assert fingerprint(body, sizes) == fingerprint(body, other_sizes)

    @settings(max_examples=20, deadline=None)
    @given(st.integers(0, REPLAY_LIMIT_BYTES - 1))
    def test_content_makes_a_difference(self, position):
        """Guards against refusing other requests with a deadly one."""
        changed = bytearray(BODY)
        changed[position] ^= 1
        assert fingerprint(BODY) != fingerprint(bytes(changed))
