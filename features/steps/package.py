"""Steps that check that the steps of all packages are loaded."""

import pathlib
import socket
import sys

from behave import then

import citrondeal
from tests import ports

COUNT = 20  # of ports that a cell uses


@then("package steps are loaded for every package with scenarios")
def steps_are_loaded(context):
    root = pathlib.Path(citrondeal.__file__).parent
    for feature in root.glob("*/tests/*.feature"):
        name = feature.parent.parent.name
        prefix = f"citrondeal.{name}.tests.steps"
        assert any(module.startswith(prefix) for module in sys.modules), name


@then("package a port in use is not among consecutive free ports")
def ports_are_free(context):
    with socket.socket() as sock:
        busy = _occupy_port(sock)
        first = ports.first_of_free_ports(COUNT)
    assert busy not in range(first, first + COUNT), (busy, first)


def _occupy_port(sock):
    """Bind a socket to one of the `COUNT` ports that are searched next."""
    while True:
        port = ports.first_of_free_ports(1) + COUNT // 2
        try:
            sock.bind((ports.HOST, port))
        except OSError:
            # Another process on the machine has this port.
            continue
        return port
