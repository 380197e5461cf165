"""Reading and sending HTTP/1.1 messages over streams of bytes."""

import asyncio
from dataclasses import dataclass, field


class BrokenMessageError(Exception):
    """A message broke off or was not in the protocol."""


@dataclass
class Message:
    """Start line, header fields by lower-case name, and body of a message."""

    start: str
    headers: dict
    body: bytes = field(default=b"", repr=False)

    @property
    def status(self):
        """Return the status of a response."""
        return int(self.start.split(" ")[1])


async def read_head(reader):
    """Return the `Message` of a head, or None if the connection has ended."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as exc:
        if exc.partial:
            raise BrokenMessageError("head broke off") from exc
        return None
    except ConnectionError as exc:
        raise BrokenMessageError("connection was reset") from exc
    start, *lines = head.decode("latin-1")[:-4].split("\r\n")
    fields = (line.split(":", 1) for line in lines)
    return Message(start, {name.lower(): value.strip() for name, value in fields})


async def body_parts(reader, headers):
    """Yield the parts of a body with a length or in chunks."""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while size := int(await reader.readuntil(b"\r\n"), 16):
                yield await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readexactly(2)
            return
        left = int(headers.get("content-length", 0))
        while left:
            data = await reader.read(min(left, 1 << 16))
            if not data:
                raise BrokenMessageError("body broke off")
            left -= len(data)
            yield data
    except (asyncio.IncompleteReadError, ConnectionError, ValueError) as exc:
        raise BrokenMessageError(f"body broke off: {type(exc).__name__}") from exc


async def read_body(reader, headers):
    """Return a whole body."""
    return b"".join([data async for data in body_parts(reader, headers)])
