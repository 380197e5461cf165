"""TCP relay that can drop data in either direction or close its connections."""

import asyncio
import contextlib

CHUNK_BYTES = 64 << 10


class Relay:
    """Forwards bytes between clients of its port and a target.

    Attributes
    ----------
    port : int
        The port it listens on; known after `start`.
    forward, backward : bool
        Whether bytes to and from the target are forwarded. While one is False, bytes
        in that direction are dropped, including the end of the stream.
    connection_count : int
        Connections accepted so far.
    """

    def __init__(self, target_port):
        self.port = 0
        self.forward = True
        self.backward = True
        self.connection_count = 0
        self._target_port = target_port
        self._server = None
        self._tasks = set()
        self._writers = []

    async def start(self):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self):
        """Close the port and all connections."""
        self._server.close()
        await self.cut()
        # Those that have dropped the end of a stream are still open.
        for writer in self._writers:
            writer.close()

    async def cut(self):
        """Close all connections."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(self, reader, writer):
        self.connection_count += 1
        target = await asyncio.open_connection("127.0.0.1", self._target_port)
        # A stream writer closes its connection when it is garbage-collected.
        self._writers += [writer, target[1]]
        open_checks = self._make_open_checks()
        for source, sink, open_check in (
            (reader, target[1], open_checks[0]),
            (target[0], writer, open_checks[1]),
        ):
            task = asyncio.create_task(self._forward_bytes(source, sink, open_check))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _make_open_checks(self):
        # A connection that has dropped bytes stays silent; new ones work.
        silent = set()

        def open_check(name):
            def is_open():
                if not getattr(self, name):
                    silent.add(name)
                return name not in silent

            return is_open

        return open_check("forward"), open_check("backward")

    async def _forward_bytes(self, source, sink, is_open):
        try:
            with contextlib.suppress(OSError):
                while data := await source.read(CHUNK_BYTES):
                    if is_open():
                        sink.write(data)
                        await sink.drain()
        except asyncio.CancelledError:
            sink.close()
            raise
        if is_open():
            sink.close()
