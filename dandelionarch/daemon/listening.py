"""Closes a listening socket without resetting the connections in its backlog."""

import asyncio
import contextlib
import ctypes
import os
import socket
import struct
import sys

# From Linux's asm-generic/socket.h; the socket module doesn't define it.
SO_ATTACH_FILTER = 26
# Classic BPF: return 0, that is, drop the packet.
DROP_ALL = struct.pack("HBBI", 0x06, 0, 0, 0)
# Time for the event loop to accept the backlog, and for the callers that were accepted
# last to send their requests.
ACCEPT_WAIT_S = 0.05
REQUEST_WAIT_S = 0.25


def drop_new_connections(fileno):
    """Make a listening socket ignore further connection attempts.

    Closing the socket resets connections that the kernel has accepted and the process
    has not, and their callers can't know whether their requests were run. An ignored
    attempt is repeated by the caller's kernel a second later and then refused.
    """
    program = ctypes.create_string_buffer(DROP_ALL, len(DROP_ALL))
    option = struct.pack("HL", 1, ctypes.addressof(program))
    with socket.socket(fileno=os.dup(fileno)) as sock:
        sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, option)


async def close_listener(server):
    """Close a server's sockets after the connections in their backlog are accepted.

    Parameters
    ----------
    server : AsyncioServer
        As from Sanic's `create_server`.
    """
    if sys.platform == "linux":
        for sock in server.server.sockets:
            with contextlib.suppress(OSError):
                drop_new_connections(sock.fileno())
        await asyncio.sleep(ACCEPT_WAIT_S)
    server.close()
    await asyncio.sleep(REQUEST_WAIT_S)
