"""Length-prefixed, authenticated frames between daemons.

Each side sends a hello with a random nonce. From the shared key and both nonces, one
session key is derived per direction. Every frame carries a message authentication code
over its sequence number and content, so that nobody without the shared key can inject,
alter, reorder or replay frames. The content is not encrypted.
"""

import hashlib
import hmac
import struct
from dataclasses import dataclass
from enum import IntEnum

from dandelionarch.errors import (
    AuthenticationError,
    FrameTooLargeError,
    MessageDecodeError,
    VersionMismatchError,
)

MAGIC = b"DNDL"
PROTOCOL_VERSION = 1
NONCE_BYTES = 16
MAC_BYTES = 16
MAX_FRAME_BYTES = 1 << 20

HELLO = struct.Struct("!4sH16s")
LENGTH = struct.Struct("!I")
FRAME_HEADER = struct.Struct("!BBQ")
SEQUENCE = struct.Struct("!Q")


class FrameKind(IntEnum):
    """Kind of a frame: a one-way message, a request or the reply to one."""

    ONE_WAY = 0
    QUERY = 1
    REPLY = 2


@dataclass(frozen=True, slots=True)
class Frame:
    """Payload of a channel; `correlation` pairs a reply with its request."""

    channel: int
    kind: FrameKind
    correlation: int
    payload: bytes


def pack_hello(nonce):
    """Return the hello that opens a connection."""
    return HELLO.pack(MAGIC, PROTOCOL_VERSION, nonce)


def unpack_hello(data):
    """Return the nonce in the peer's hello.

    Raises
    ------
    AuthenticationError
        If the bytes are not a hello.
    VersionMismatchError
        If the peer speaks another version.
    """
    magic, version, nonce = HELLO.unpack(data)
    if magic != MAGIC:
        raise AuthenticationError("connection does not start with a hello")
    if version != PROTOCOL_VERSION:
        raise VersionMismatchError(
            f"peer speaks protocol version {version}, not {PROTOCOL_VERSION}"
        )
    return nonce


def session_key(shared_key, sender_nonce, receiver_nonce):
    """Return the key of one direction of a connection."""
    return hmac.digest(shared_key, sender_nonce + receiver_nonce, hashlib.sha256)


class FrameWriter:
    """Encodes the frames of one direction of a connection."""

    def __init__(self, key):
        self._key = key
        self._sequence = 0

    def pack(self, frame):
        """Return the next frame as bytes."""
        header = FRAME_HEADER.pack(frame.channel, frame.kind, frame.correlation)
        mac = _mac(self._key, self._sequence, header, frame.payload)
        self._sequence += 1
        size = len(header) + len(frame.payload) + MAC_BYTES
        if size > MAX_FRAME_BYTES:
            raise FrameTooLargeError(f"frame of {size} bytes")
        return b"".join((LENGTH.pack(size), header, frame.payload, mac))


class FrameReader:
    """Authenticates and decodes the frames of one direction of a connection."""

    def __init__(self, key):
        self._key = key
        self._sequence = 0

    def unpack(self, data):
        """Return the frame in `data`, the bytes that follow the length field."""
        if len(data) < FRAME_HEADER.size + MAC_BYTES:
            raise MessageDecodeError(f"frame of {len(data)} bytes is too short")
        header, payload = (
            data[: FRAME_HEADER.size],
            data[FRAME_HEADER.size : -MAC_BYTES],
        )
        mac = _mac(self._key, self._sequence, header, payload)
        if not hmac.compare_digest(mac, data[-MAC_BYTES:]):
            raise AuthenticationError("frame authentication failed")
        self._sequence += 1
        channel, kind, correlation = FRAME_HEADER.unpack(header)
        try:
            return Frame(channel, FrameKind(kind), correlation, payload)
        except ValueError as exc:
            raise MessageDecodeError(f"unknown frame kind {kind}") from exc


def _mac(key, sequence, header, payload):
    mac = hashlib.blake2b(SEQUENCE.pack(sequence), key=key, digest_size=MAC_BYTES)
    mac.update(header)
    mac.update(payload)
    return mac.digest()
