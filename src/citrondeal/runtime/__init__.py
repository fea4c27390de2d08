"""What the shells of all daemons share: signals, log streams, VM list."""

from citrondeal import lifecycle
from citrondeal.runtime import _leases
from citrondeal.runtime import _probe
from citrondeal.runtime import _replica
from citrondeal.runtime import _shared
from citrondeal.runtime import _tree

__all__ = [
    "LeaseDriver",
    "Lifecycle",
    "Replica",
    "Shared",
    "TreeReplica",
    "UNREADY_DELAY_S",
    "probes_of",
    "run_program",
    "usage",
]

LeaseDriver = _leases.LeaseDriver
Lifecycle = lifecycle.Lifecycle
Replica = _replica.Replica
Shared = _shared.Shared
TreeReplica = _tree.TreeReplica
UNREADY_DELAY_S = lifecycle.UNREADY_DELAY_S
probes_of = _probe.probes_of
run_program = lifecycle.run_program
usage = lifecycle.usage
