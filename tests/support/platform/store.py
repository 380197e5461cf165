"""In-memory stand-in for the platform's metadata store."""

import asyncio
import base64
import contextlib
import struct
from dataclasses import dataclass, field

from aiohttp import web

LENGTH = struct.Struct("!I")
OFFSETS = struct.Struct("!QQ")
OPERATOR_TOPIC = "keyed.op"


@dataclass
class Topic:
    """Records of partition 0 of one topic."""

    first_offset: int = 0
    records: list = field(default_factory=list)
    compacted: dict = field(default_factory=dict)
    records_added: asyncio.Condition = field(default_factory=asyncio.Condition)

    @property
    def next_offset(self):
        """Return the offset of the next record."""
        return self.first_offset + len(self.records)


class StoreStandin:
    """Keyed topics with appends, long reads and newest records.

    Attributes
    ----------
    unavailable : bool
        True while every call is answered with 503.
    drop_replies : int
        Number of further appends that take effect but get no reply.
    refused_hosts : set of str
        Addresses of callers that get 503 to every call, while others are served.
    era : int
        Number of the header field `Store-Era`.
    calls : list of str
        Path of each call.
    """

    def __init__(self):
        self.unavailable = False
        self.drop_replies = 0
        self.refused_hosts = set()
        self.era = 1
        self.calls = []
        self._topics = {}
        self.app = web.Application()
        self.app.on_response_prepare.append(self._add_era)
        self.app.router.add_post("/-/log-append", self._append)
        self.app.router.add_get("/-/log-read", self._read)
        self.app.router.add_get("/-/log-newest", self._newest)

    async def _add_era(self, request, resp):
        resp.headers["Store-Era"] = str(self.era)

    def copy(self):
        """Return a copy of all topics, for `restore`."""
        return {
            name: Topic(topic.first_offset, list(topic.records), dict(topic.compacted))
            for name, topic in self._topics.items()
        }

    async def restore(self, topics):
        """Come back with an earlier `copy`, in the next era, and end waiting reads."""
        self.era += 1
        replaced, self._topics = self._topics, topics
        for topic in replaced.values():
            async with topic.records_added:
                topic.records_added.notify_all()

    def topic(self, name):
        """Return a topic, which is created on first use."""
        return self._topics.setdefault(name, Topic())

    def keys(self, name):
        """Return the keys that a topic has records of."""
        return {key for key, _, _ in self._newest_of(self.topic(name))}

    def values(self, name):
        """Return the newest value of each key of a topic."""
        return [value for _, _, value in self._newest_of(self.topic(name))]

    async def put(self, name, key, value):
        """Append a keyed record on behalf of another writer."""
        raw = bytes([len(key)]) + key.encode() + value
        await self._append_raw(self.topic(name), [raw])

    async def compact(self, name):
        """Delete all records but the newest of each key."""
        topic = self.topic(name)
        topic.compacted = {
            key: (offset, value) for key, offset, value in self._newest_of(topic)
        }
        topic.first_offset = topic.next_offset
        topic.records.clear()

    def _newest_of(self, topic):
        """Yield (key, offset, value) of each key's newest record."""
        newest = dict(topic.compacted)
        offsets = range(topic.first_offset, topic.next_offset)
        for offset, raw in zip(offsets, topic.records, strict=True):
            key = raw[1 : 1 + raw[0]].decode()
            newest[key] = (offset, raw[1 + raw[0] :])
        for key, (offset, value) in newest.items():
            if value:
                yield key, offset, value

    def _refusal(self, request):
        self.calls.append(request.path)
        if self.unavailable or request.remote in self.refused_hosts:
            return web.json_response({}, status=503)
        return None

    async def _append_raw(self, topic, raws):
        async with topic.records_added:
            topic.records += raws
            topic.records_added.notify_all()

    async def _append(self, request):
        refusal = self._refusal(request)
        if refusal is not None:
            return refusal
        data, raws, pos = await request.read(), [], 0
        while pos < len(data):
            size = LENGTH.unpack_from(data, pos)[0]
            raws.append(data[pos + LENGTH.size : pos + LENGTH.size + size])
            pos += LENGTH.size + size
        topic = self.topic(request.query["topic"])
        offset = topic.next_offset
        await self._append_raw(topic, raws)
        if self.drop_replies:
            self.drop_replies -= 1
            request.transport.abort()
        return web.json_response({"offset": offset, "end": topic.next_offset})

    async def _read(self, request):
        refusal = self._refusal(request)
        if refusal is not None:
            return refusal
        name = request.query["topic"]
        topic = self.topic(name)
        start = int(request.query["from"])
        wait_s = int(request.query.get("wait_ms", 0)) / 1000
        if topic.first_offset <= start <= topic.next_offset:
            await self._wait_for_records(topic, name, start, wait_s)
        if topic is not self.topic(name):
            request.transport.abort()
            return web.Response(status=503)
        if not topic.first_offset <= start <= topic.next_offset:
            return web.json_response({"first": topic.first_offset}, status=410)
        raws = topic.records[start - topic.first_offset :]
        body = OFFSETS.pack(topic.next_offset, topic.first_offset)
        body += b"".join(LENGTH.pack(len(raw)) + raw for raw in raws)
        return web.Response(body=body)

    async def _wait_for_records(self, topic, name, start, wait_s):
        async with topic.records_added:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await topic.records_added.wait_for(
                        lambda: (
                            topic.next_offset > start or topic is not self.topic(name)
                        )
                    )

    async def _newest(self, request):
        refusal = self._refusal(request)
        if refusal is not None:
            return refusal
        topic = self.topic(request.query["topic"])
        items = [
            {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "offset": offset,
            }
            for key, offset, value in self._newest_of(topic)
        ]
        return web.json_response(
            {"items": items, "more": False, "end": topic.next_offset}
        )
