"""Bind the UDP socket at which callers' packets arrive.

The module imports only what is part of the interpreter: a forwarder that starts binds
the socket before its other imports, so that packets wait in it in the meantime.
"""

# `socket` takes several times as long to import and adds nothing that is used here.
import _socket

# Holds the largest burst on one machine in the users' enlarged tables: 400 packets of
# 1.3 kB.
RECEIVE_BUFFER_BYTES = 1_048_576


def bind_descriptor(address: tuple[str, int]) -> int:
    """Return the descriptor of a non-blocking UDP socket bound to an address."""
    sock = _socket.socket(_socket.AF_INET, _socket.SOCK_DGRAM)
    sock.setblocking(False)
    sock.setsockopt(_socket.SOL_SOCKET, _socket.SO_REUSEADDR, 1)
    sock.setsockopt(_socket.SOL_SOCKET, _socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.bind(address)
    return sock.detach()
