"""Outgoing TCP sockets."""

import socket


def open_socket(addr_info, user_timeout_ms):
    """Return a TCP socket that the kernel closes when the peer stops acknowledging.

    Parameters
    ----------
    addr_info : tuple
        As returned by `socket.getaddrinfo`.
    user_timeout_ms : int
        Maximum time in milliseconds for which sent data may stay unacknowledged.
    """
    family, kind, proto, _, _ = addr_info
    sock = socket.socket(family, kind, proto)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms)
    return sock
