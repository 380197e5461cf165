"""HTTP client of the platform's metadata store, which holds topics of keyed records."""

import base64
import binascii
import logging
import re
import socket
import struct
from dataclasses import dataclass

import aiohttp

from dandelionarch.core.keyed_log import (
    NO_ERA,
    Batch,
    KeyedLog,
    KeyedRecord,
    Position,
)
from dandelionarch.daemon.sockets import open_socket
from dandelionarch.errors import (
    OffsetTruncatedError,
    PlatformRefusedError,
    PlatformUnavailableError,
    PlatformUnreachableError,
)
from dandelionarch.ids import Offset, StoreEra
from dandelionarch.logs import event
from dandelionarch.platform.json_fields import (
    InvalidBodyError,
    get_field,
    get_int,
    parse_object,
)

log = logging.getLogger(__name__)

# The store answers in about 4 ms; during its faults it is up to 60 times slower.
CALL_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 1.0
# Each keyed topic has this one partition only.
PARTITION = 0
MAX_READ_KB = 1024
# Number that rises each time the store comes back from an older copy.
STORE_ERA = "Store-Era"
ERA = re.compile(r"\d{1,18}", re.ASCII)
LENGTH = struct.Struct("!I")
OFFSETS = struct.Struct("!QQ")
# Keep-alive probes detect a connection whose state was lost in a device on the way,
# where a long poll would otherwise wait until its time-out.
KEEP_ALIVE_IDLE_S = 1
KEEP_ALIVE_INTERVAL_S = 1
KEEP_ALIVE_PROBES = 2
USER_TIMEOUT_MS = 2500


@dataclass(frozen=True, slots=True)
class Reply:
    """Body of a reply of the store, and the era in which the store gave it."""

    body: bytes
    era: StoreEra


class StoreClient:
    """Client of the store, shared by all topics.

    Parameters
    ----------
    host : str
    port : int
    """

    def __init__(self, host, port):
        self._url = f"http://{host}:{port}/-/"
        self._session = None

    async def start(self):
        """Open the connection pool."""
        connector = aiohttp.TCPConnector(limit=0, socket_factory=_open_socket)
        self._session = aiohttp.ClientSession(connector=connector)

    async def stop(self):
        """Close the connection pool."""
        if self._session is not None:
            await self._session.close()

    def topic(self, name):
        """Return the `KeyedLog` of a topic."""
        return StoreTopic(self, name)

    async def call(self, method, path, params, data=None, wait_s=0.0):
        """Send a request and return the `Reply`.

        Raises
        ------
        PlatformRefusedError
            If the store rejected the call, which had no effect.
        PlatformUnreachableError
            If no connection could be opened.
        PlatformUnavailableError
            If there was no reply; the call may have taken effect, or may do so later.
        OffsetTruncatedError
            If requested records have been deleted.
        """
        timeout = aiohttp.ClientTimeout(
            total=CALL_TIMEOUT_S + wait_s, sock_connect=CONNECT_TIMEOUT_S
        )
        try:
            async with self._session.request(
                method, self._url + path, params=params, data=data, timeout=timeout
            ) as resp:
                if resp.status not in (200, 410):
                    raise PlatformRefusedError(f"store: {path}: status {resp.status}")
                era = _decode_era(resp.headers)
                if resp.status == 410:
                    raise OffsetTruncatedError((await resp.json())["first"], era)
                return Reply(await resp.read(), era)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as exc:
            raise PlatformUnreachableError(f"store: {path}: {exc}") from exc
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            detail = str(exc) or type(exc).__name__
            raise PlatformUnavailableError(f"store: {path}: {detail}") from exc
        except (KeyError, ValueError) as exc:
            raise PlatformUnavailableError(f"store: {path}: bad reply: {exc}") from exc


class StoreTopic(KeyedLog):
    """One keyed topic of the store."""

    def __init__(self, client, name):
        self.name = name
        self._client = client
        # Records before this position can only be read by `newest`.
        self._first = Position(NO_ERA, Offset(0))

    async def newest(self):
        pages = await self._read_pages()
        era = pages[0].end.era
        records = tuple(record for page in pages for record in page.records)
        end = max(page.end for page in pages)
        if self._first.era == era:
            end = max(end, self._first)
        return Batch(records, end, is_whole=True)

    async def _read_pages(self):
        """Return all pages of the newest records, which are of one era."""
        pages, after = [], None
        while True:
            params = {"topic": self.name, "part": PARTITION}
            if after is not None:
                params["after"] = after
            page = _decode_page(await self._client.call("GET", "log-newest", params))
            if pages and page.end.era != pages[0].end.era:
                # The store has been restored: the pages so far show what it had before.
                pages, after = [], None
                continue
            pages.append(page)
            if page.next_key is None:
                return pages
            after = page.next_key

    async def read(self, offset, wait_s):
        params = {
            "topic": self.name,
            "part": PARTITION,
            "from": offset,
            "max_kb": MAX_READ_KB,
            "wait_ms": int(wait_s * 1000),
        }
        try:
            reply = await self._client.call("GET", "log-read", params, wait_s=wait_s)
        except OffsetTruncatedError as exc:
            self._first = max(self._first, Position(exc.era, Offset(exc.first_offset)))
            raise
        return _decode_read(reply, offset)

    async def append(self, record):
        key = record.key.encode()
        raw = bytes([len(key)]) + key + record.value
        params = {"topic": self.name, "part": PARTITION}
        data = LENGTH.pack(len(raw)) + raw
        reply = await self._client.call("POST", "log-append", params, data=data)
        return _decode_append(reply)


@dataclass(frozen=True, slots=True)
class Page:
    """One page of the newest records.

    `next_key` is the key after which the next page starts, None on the last page.
    `end` is the position after the newest record on the page. The end that the store
    reports is read later than the records, so a reader that continued there could
    miss records written in between.
    """

    records: tuple[KeyedRecord, ...]
    end: Position
    next_key: str | None


def _decode_era(headers):
    text = headers.get(STORE_ERA)
    if text is None:
        return NO_ERA
    if not ERA.fullmatch(text):
        raise ValueError(f"{STORE_ERA}: {text!r}")
    return StoreEra(int(text))


def _decode_append(reply):
    """Return the `Position` of the record that was appended."""
    try:
        offset = get_int(parse_object(reply.body), "offset")
    except InvalidBodyError as exc:
        raise PlatformUnavailableError(f"store: bad reply to append: {exc}") from exc
    return Position(reply.era, Offset(offset))


def _decode_page(reply):
    try:
        body = parse_object(reply.body)
        items = [_decode_item(item) for item in get_field(body, "items", list)]
        more = get_field(body, "more", bool, False)
    except (InvalidBodyError, binascii.Error) as exc:
        raise PlatformUnavailableError(f"store: bad page: {exc}") from exc
    records = tuple(record for record, _ in items)
    end = max((offset + 1 for _, offset in items), default=0)
    next_key = records[-1].key if more and records else None
    return Page(records, Position(reply.era, Offset(end)), next_key)


def _decode_item(item):
    """Return the (record, offset) in an item of a page."""
    if not isinstance(item, dict):
        raise InvalidBodyError("item is not a JSON object")
    value = base64.b64decode(get_field(item, "value", str))
    return KeyedRecord(get_field(item, "key", str), value), get_field(
        item, "offset", int
    )


def _decode_read(reply, offset):
    data = reply.body
    if len(data) < OFFSETS.size:
        raise PlatformUnavailableError("store: reply to a read is too short")
    records, pos = [], OFFSETS.size
    while pos + LENGTH.size <= len(data):
        size = LENGTH.unpack_from(data, pos)[0]
        pos += LENGTH.size
        if pos + size > len(data):
            raise PlatformUnavailableError("store: reply to a read is truncated")
        records.append(_decode_record(data[pos : pos + size]))
        pos += size
    valid = tuple(record for record in records if record is not None)
    return Batch(valid, Position(reply.era, Offset(offset + len(records))))


def _decode_record(raw):
    """Return the record in an entry of a keyed topic, or None if it is malformed."""
    if not raw or len(raw) < 1 + raw[0]:
        event(log, "record_unreadable", logging.WARNING, size=len(raw))
        return None
    key_end = 1 + raw[0]
    return KeyedRecord(raw[1:key_end].decode("utf-8", "replace"), raw[key_end:])


def _open_socket(addr_info):
    sock = open_socket(addr_info, USER_TIMEOUT_MS)
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)
    return sock
