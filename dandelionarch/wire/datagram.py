"""Authenticated datagrams between daemons.

A datagram consists of a version byte, the channel, the message in packed form and a
message authentication code over all of it, whose key is derived from the fleet's shared
key. It has no sequence number, as replays are harmless: a replayed datagram repeats
incarnations and editions that receivers already have, or asks for a reply, which goes
to the source address of the datagram.
"""

import hashlib
import hmac
import struct

from dandelionarch.errors import (
    AuthenticationError,
    FrameTooLargeError,
    MessageDecodeError,
    VersionMismatchError,
)
from dandelionarch.wire.framing import MAC_BYTES, PROTOCOL_VERSION

# With its headers, a datagram fits the smallest usual path MTU of 1,280 bytes.
MAX_DATAGRAM_BYTES = 1200
HEADER = struct.Struct("!BB")
KEY_CONTEXT = b"dandelion gossip"


class DatagramCodec:
    """Encodes messages as datagrams and decodes them.

    Parameters
    ----------
    codec : Codec
    shared_key : bytes
        Shared key of the fleet.
    """

    def __init__(self, codec, shared_key):
        self._codec = codec
        self._key = hmac.digest(shared_key, KEY_CONTEXT, hashlib.sha256)

    def pack(self, message):
        """Return a message as a datagram.

        Raises
        ------
        FrameTooLargeError
            If the datagram would exceed `MAX_DATAGRAM_BYTES`.
        """
        channel, payload = self._codec.encode_packed(message)
        content = HEADER.pack(PROTOCOL_VERSION, channel) + payload
        if len(content) + MAC_BYTES > MAX_DATAGRAM_BYTES:
            name = type(message).__name__
            raise FrameTooLargeError(f"{name} datagram of {len(content)} bytes")
        return content + self._mac(content)

    def unpack(self, data):
        """Return the message in a datagram.

        Raises
        ------
        WireError
            If the datagram is too short or too long, fails authentication, has
            another version, or holds no valid message.
        """
        if len(data) > MAX_DATAGRAM_BYTES:
            raise FrameTooLargeError(f"datagram of {len(data)} bytes")
        if len(data) < HEADER.size + MAC_BYTES:
            raise MessageDecodeError(f"datagram of {len(data)} bytes is too short")
        content, mac = data[:-MAC_BYTES], data[-MAC_BYTES:]
        if not hmac.compare_digest(self._mac(content), mac):
            raise AuthenticationError("datagram authentication failed")
        version, channel = HEADER.unpack_from(content)
        if version != PROTOCOL_VERSION:
            raise VersionMismatchError(
                f"peer speaks protocol version {version}, not {PROTOCOL_VERSION}"
            )
        return self._codec.decode_packed(channel, content[HEADER.size :])

    def _mac(self, content):
        mac = hashlib.blake2b(content, key=self._key, digest_size=MAC_BYTES)
        return mac.digest()
