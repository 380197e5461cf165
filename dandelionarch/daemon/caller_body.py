"""Reads callers' requests with their bodies, and discards those of refused ones."""

import asyncio
import contextlib

from sanic.exceptions import SanicException

from dandelionarch.core.quarantine import request_fingerprint
from dandelionarch.daemon.attempt import (
    REPLAY_LIMIT_BYTES,
    BodyRemainder,
    CallerRequest,
)
from dandelionarch.errors import BodyTooLargeError

# For how long, and up to which size, the body of a refused request is discarded.
LINGER_S = 1.0
LINGER_BYTES = 16 << 20


async def read_request(request, callers, limit_bytes):
    """Return the `CallerRequest` with the start of its body.

    Parameters
    ----------
    request : sanic.Request
    callers : CallerProtocol
    limit_bytes : int
        Greatest size of a body.

    Raises
    ------
    BodyTooLargeError
        If the body is known to exceed the limit.
    """
    stream = request.stream
    if stream.request_bytes_left > limit_bytes:
        raise BodyTooLargeError(f"body exceeds {limit_bytes} bytes")
    parts, size = [], 0
    while stream.request_body and size < REPLAY_LIMIT_BYTES:
        data = await stream.read()
        parts.append(data or b"")
        size += len(parts[-1])
        if size > limit_bytes:
            raise BodyTooLargeError(f"body exceeds {limit_bytes} bytes")
    remainder = None
    if stream.request_body:
        remainder = BodyRemainder(stream.read, size, limit_bytes)
    target = request.path
    if request.query_string:
        target = f"{target}?{request.query_string}"
    body = b"".join(parts)
    # How much was read beyond the limit depends on how the bytes arrived.
    fingerprint = request_fingerprint(
        request.method,
        callers.host(request),
        target,
        request.headers.get("authorization", ""),
        body[:REPLAY_LIMIT_BYTES],
    )
    headers = callers.forwarded_fields(request)
    return CallerRequest(request.method, target, headers, body, remainder, fingerprint)


async def discard_body(request):
    """Discard the rest of a body.

    Closing with unread input would reset the connection before the caller has read the
    refusal.
    """
    discarded = 0
    with contextlib.suppress(TimeoutError, SanicException):
        async with asyncio.timeout(LINGER_S):
            while request.stream.request_body and discarded < LINGER_BYTES:
                discarded += len(await request.stream.read() or b"")
