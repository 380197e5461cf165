"""Outgoing TCP sockets."""

import socket


def open_socket(addr_info, user_timeout_ms):
    """Return a socket that the kernel gives up once a peer falls silent.

    Parameters
    ----------
    addr_info : tuple
        As from `socket.getaddrinfo`.
    user_timeout_ms : int
        Milliseconds for which sent data may stay unacknowledged.
    """
    family, kind, proto, _, _ = addr_info
    sock = socket.socket(family, kind, proto)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms)
    return sock
