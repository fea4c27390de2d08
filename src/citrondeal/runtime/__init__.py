"""What the shells of all daemons share: signals, log streams, VM list."""

from citrondeal.runtime import _probe
from citrondeal.runtime import _process
from citrondeal.runtime import _streams
from citrondeal.runtime import _vms

__all__ = [
    "Lifecycle",
    "add_probes",
    "follow",
    "poll_vms",
    "run",
    "usage",
]

Lifecycle = _process.Lifecycle
add_probes = _probe.add_probes
follow = _streams.follow
poll_vms = _vms.poll_vms
run = _process.run
usage = _probe.usage
