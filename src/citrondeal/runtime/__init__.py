"""Parts that all daemons share: signals, log streams, leases, VM list."""

from citrondeal import lifecycle
from citrondeal.runtime import _components
from citrondeal.runtime import _leases
from citrondeal.runtime import _probes
from citrondeal.runtime import _replica
from citrondeal.runtime import _tree

__all__ = [
    "LeaseDriver",
    "Lifecycle",
    "Replica",
    "SharedComponents",
    "TreeReplica",
    "UNREADY_DELAY_S",
    "probes_of",
    "run_program",
    "usage",
]

LeaseDriver = _leases.LeaseDriver
Lifecycle = lifecycle.Lifecycle
Replica = _replica.Replica
SharedComponents = _components.SharedComponents
TreeReplica = _tree.TreeReplica
UNREADY_DELAY_S = lifecycle.UNREADY_DELAY_S
probes_of = _probes.probes_of
run_program = lifecycle.run_program
usage = lifecycle.usage
