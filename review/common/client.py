"""Stand-in for a client on a VM."""

import asyncio
import contextlib
from dataclasses import dataclass, field

from review.common.fleet import HOST
from review.common.http import BrokenMessageError, read_body, read_head


@dataclass
class Outcome:
    """What a client saw of one request.

    Attributes
    ----------
    status : int or None
        None if no complete answer came.
    error : str
        Why no complete answer came.
    """

    request_id: str
    status: int | None = None
    headers: dict = field(default_factory=dict, repr=False)
    body: bytes = field(default=b"", repr=False)
    error: str = ""
    sent_at: float = 0.0
    ended_at: float = 0.0


async def send_request(
    daemon,
    request_id,
    method,
    path,
    body=b"",
    deadline_ms=3000,
    part_bytes=0,
    pause_s=0,
):
    """Send one request on a new channel and return its `Outcome`.

    With `part_bytes`, the body is sent in parts with `pause_s` between two. The client
    waits a second longer than the deadline that it names.
    """
    loop = asyncio.get_running_loop()
    outcome = Outcome(request_id, sent_at=loop.time())
    writer = None
    try:
        async with asyncio.timeout(deadline_ms / 1000 + 1.0):
            reader, writer = await asyncio.open_connection(
                daemon.host, daemon.callers_port
            )
            head = (
                f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
                f"X-Request-Id: {request_id}\r\nX-Request-Deadline: {deadline_ms}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n"
            )
            writer.write(head.encode())
            sending = asyncio.create_task(_send(writer, body, part_bytes, pause_s))
            try:
                await _read_answer(reader, outcome)
            finally:
                sending.cancel()
                await asyncio.gather(sending, return_exceptions=True)
    except TimeoutError:
        outcome.error = "no complete answer by a second after the deadline"
    except (BrokenMessageError, OSError) as exc:
        outcome.error = f"{type(exc).__name__}: {exc}"
    finally:
        if writer is not None:
            writer.transport.abort()
    outcome.ended_at = loop.time()
    return outcome


async def _send(writer, body, part_bytes, pause_s):
    with contextlib.suppress(ConnectionError):
        step = part_bytes or max(1, len(body))
        for start in range(0, len(body), step):
            writer.write(body[start : start + step])
            await writer.drain()
            await asyncio.sleep(pause_s)


async def _read_answer(reader, outcome):
    head = await read_head(reader)
    if head is None:
        raise BrokenMessageError("channel closed without an answer")
    outcome.headers = head.headers
    outcome.body = await read_body(reader, head.headers)
    outcome.status = head.status
