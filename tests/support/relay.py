"""TCP relay that can go silent in either direction, or cut its connections."""

import asyncio
import contextlib

CHUNK_BYTES = 64 << 10


class Relay:
    """Passes bytes between callers of its port and a target.

    `forward` and `back` say whether bytes towards and from the target pass; while
    one is off, bytes of that direction are dropped, the end of the stream included.
    """

    def __init__(self, target_port):
        self.port = 0
        self.forward = True
        self.back = True
        self.accepted = 0
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

    async def cut(self):
        """Close all connections."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(self, reader, writer):
        self.accepted += 1
        target = await asyncio.open_connection("127.0.0.1", self._target_port)
        # A stream writer that is collected would close its connection.
        self._writers += [writer, target[1]]
        gates = self._gates()
        for source, sink, gate in (
            (reader, target[1], gates[0]),
            (target[0], writer, gates[1]),
        ):
            task = asyncio.create_task(self._pass(source, sink, gate))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _gates(self):
        # A connection that has once been silent stays so; new ones work.
        dead = set()

        def gate(name):
            def is_open():
                if not getattr(self, name):
                    dead.add(name)
                return name not in dead

            return is_open

        return gate("forward"), gate("back")

    async def _pass(self, source, sink, is_open):
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
