"""Ports on loopback for the processes of a cell."""

import itertools
import os
import socket

HOST = "127.0.0.1"
FIRST_PORT = 15000
PORT_COUNT = 15000
# Runs at the same time begin at different ports, since their process ids
# differ.
_PORT_OFFSETS = itertools.count(os.getpid() * 131)


def free_ports(count):
    """Return TCP ports that could be bound on loopback a moment ago.

    They lie below the range from which the kernel takes the local ports of
    outgoing connections: a port of that range may be in use again before
    the daemon binds it.

    Parameters
    ----------
    count : int

    Returns
    -------
    list of int
    """
    ports = []
    while len(ports) < count:
        port = FIRST_PORT + next(_PORT_OFFSETS) % PORT_COUNT
        with socket.socket() as sock:
            try:
                sock.bind((HOST, port))
            except OSError:
                continue
        ports.append(port)
    return ports


def first_of_free_ports(count):
    """Return the first of so many consecutive ports that are free.

    Ports in use by other runs on the machine are passed over as a whole.

    Parameters
    ----------
    count : int

    Returns
    -------
    int
    """
    while True:
        ports = free_ports(count)
        if ports[-1] - ports[0] == count - 1:
            return ports[0]
