"""What the shells of all daemons share: signals, log streams, VM list."""

from citrondeal.runtime import _leases
from citrondeal.runtime import _probe
from citrondeal.runtime import _process
from citrondeal.runtime import _replica
from citrondeal.runtime import _vms

__all__ = [
    "LeaseDriver",
    "Lifecycle",
    "Replica",
    "add_probes",
    "poll_vms",
    "run",
    "usage",
]

LeaseDriver = _leases.LeaseDriver
Lifecycle = _process.Lifecycle
Replica = _replica.Replica
add_probes = _probe.add_probes
poll_vms = _vms.poll_vms
run = _process.run
usage = _probe.usage
