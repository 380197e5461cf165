"""Ends a listening socket without resetting connections that wait on it."""

import asyncio
import contextlib
import ctypes
import os
import socket
import struct
import sys

# From Linux's asm-generic/socket.h; the socket module doesn't name it.
SO_ATTACH_FILTER = 26
# Classic BPF: return 0, that is, drop the packet.
DROP_ALL = struct.pack("HBBI", 0x06, 0, 0, 0)
# Time for the event loop to accept what waits, and for a caller that was accepted
# last to send its request.
ACCEPT_S = 0.05
REQUEST_S = 0.25


def drop_new_connections(fileno):
    """Let a listening socket ignore connection attempts from now on.

    Closing the socket resets connections that the kernel has accepted and the process
    has not; their callers can't know whether their request was run. An attempt that
    is ignored is repeated by the caller's kernel a second later and then refused.
    """
    program = ctypes.create_string_buffer(DROP_ALL, len(DROP_ALL))
    option = struct.pack("HL", 1, ctypes.addressof(program))
    with socket.socket(fileno=os.dup(fileno)) as sock:
        sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, option)


async def close_listener(server):
    """Close a server's sockets after all waiting connections were accepted.

    Parameters
    ----------
    server : AsyncioServer
        As from Sanic's `create_server`.
    """
    if sys.platform == "linux":
        for sock in server.server.sockets:
            with contextlib.suppress(OSError):
                drop_new_connections(sock.fileno())
        await asyncio.sleep(ACCEPT_S)
    server.close()
    await asyncio.sleep(REQUEST_S)
