"""What the shells of all daemons share: signals, log streams, VM list."""

from citrondeal.runtime import _identity
from citrondeal.runtime import _leases
from citrondeal.runtime import _probe
from citrondeal.runtime import _process
from citrondeal.runtime import _replica
from citrondeal.runtime import _shared
from citrondeal.runtime import _tree
from citrondeal.runtime import _vms

__all__ = [
    "LeaseDriver",
    "Lifecycle",
    "Replica",
    "Shared",
    "TreeReplica",
    "UNREADY_S",
    "add_probes",
    "identity_of",
    "poll_vms",
    "run",
    "serve_until_drained",
    "usage",
]

LeaseDriver = _leases.LeaseDriver
Lifecycle = _process.Lifecycle
Replica = _replica.Replica
Shared = _shared.Shared
TreeReplica = _tree.TreeReplica
UNREADY_S = _process.UNREADY_S
add_probes = _probe.add_probes
identity_of = _identity.identity_of
poll_vms = _vms.poll_vms
run = _process.run
serve_until_drained = _process.serve_until_drained
usage = _probe.usage
