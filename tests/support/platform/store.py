"""Stand-in for the platform's metadata store, kept in memory."""

import asyncio
import base64
import struct
from dataclasses import dataclass, field

from aiohttp import web

LENGTH = struct.Struct("!I")
OFFSETS = struct.Struct("!QQ")
OPERATOR_TOPIC = "keyed.op"


@dataclass
class Topic:
    """Records of partition 0 of one topic."""

    first: int = 0
    records: list = field(default_factory=list)
    kept: dict = field(default_factory=dict)
    grown: asyncio.Condition = field(default_factory=asyncio.Condition)

    @property
    def end(self):
        """Return the offset of the next record."""
        return self.first + len(self.records)


class StoreStandin:
    """Keyed topics with append, long reads and newest records.

    Attributes
    ----------
    down : bool
        Answer 503 to every call.
    lose_appends : int
        So many of the next appends take effect and are not answered.
    refuse_hosts : set of str
        Callers' addresses that are answered 503 while others are served.
    calls : list of str
        Path of each call.
    """

    def __init__(self):
        self.down = False
        self.lose_appends = 0
        self.refuse_hosts = set()
        self.calls = []
        self._topics = {}
        self.app = web.Application()
        self.app.router.add_post("/-/log-append", self._append)
        self.app.router.add_get("/-/log-read", self._read)
        self.app.router.add_get("/-/log-newest", self._newest)

    def topic(self, name):
        """Return a topic, made on first use."""
        return self._topics.setdefault(name, Topic())

    async def put(self, name, key, value):
        """Append a keyed record as another writer would."""
        raw = bytes([len(key)]) + key.encode() + value
        await self._add(self.topic(name), [raw])

    async def compact(self, name):
        """Forget all records but the newest of each key."""
        topic = self.topic(name)
        topic.kept = {key: (at, value) for key, at, value in self._newest_of(topic)}
        topic.first = topic.end
        topic.records.clear()

    def _newest_of(self, topic):
        """Yield (key, offset, value) of each key's newest record."""
        newest = dict(topic.kept)
        offsets = range(topic.first, topic.end)
        for offset, raw in zip(offsets, topic.records, strict=True):
            key = raw[1 : 1 + raw[0]].decode()
            newest[key] = (offset, raw[1 + raw[0] :])
        for key, (offset, value) in newest.items():
            if value:
                yield key, offset, value

    def _refusal(self, request):
        self.calls.append(request.path)
        if self.down or request.remote in self.refuse_hosts:
            return web.json_response({}, status=503)
        return None

    async def _add(self, topic, raws):
        async with topic.grown:
            topic.records += raws
            topic.grown.notify_all()

    async def _append(self, request):
        refusal = self._refusal(request)
        if refusal is not None:
            return refusal
        data, raws, at = await request.read(), [], 0
        while at < len(data):
            size = LENGTH.unpack_from(data, at)[0]
            raws.append(data[at + LENGTH.size : at + LENGTH.size + size])
            at += LENGTH.size + size
        topic = self.topic(request.query["topic"])
        offset = topic.end
        await self._add(topic, raws)
        if self.lose_appends:
            self.lose_appends -= 1
            request.transport.abort()
        return web.json_response({"offset": offset, "end": topic.end})

    async def _read(self, request):
        refusal = self._refusal(request)
        if refusal is not None:
            return refusal
        topic = self.topic(request.query["topic"])
        start = int(request.query["from"])
        wait_s = int(request.query.get("wait_ms", 0)) / 1000
        async with topic.grown:
            try:
                async with asyncio.timeout(wait_s):
                    await topic.grown.wait_for(lambda: topic.end > start)
            except TimeoutError:
                pass
        if start < topic.first:
            return web.json_response({"first": topic.first}, status=410)
        raws = topic.records[start - topic.first :]
        body = OFFSETS.pack(topic.end, topic.first)
        body += b"".join(LENGTH.pack(len(raw)) + raw for raw in raws)
        return web.Response(body=body)

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
        return web.json_response({"items": items, "more": False, "end": topic.end})
