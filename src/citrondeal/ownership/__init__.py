"""Leases on worker pools and endpoints, kept in the log.

The state of a `LeaseGroup` is one process's view of its group; the log
decides who holds a resource.
"""

from citrondeal.ownership import _actions
from citrondeal.ownership import _config
from citrondeal.ownership import _lease_group
from citrondeal.ownership import _lease_table
from citrondeal.ownership import _rendezvous
from citrondeal.ownership import _snapshots

__all__ = [
    "AppendRecord",
    "Config",
    "Drain",
    "Gained",
    "LeaseGroup",
    "LeaseTable",
    "Lost",
    "RequestPromise",
    "rendezvous_order",
    "snapshot_reader",
    "snapshot_record",
]

AppendRecord = _actions.AppendRecord
Config = _config.Config
Drain = _actions.Drain
Gained = _actions.Gained
LeaseGroup = _lease_group.LeaseGroup
LeaseTable = _lease_table.LeaseTable
Lost = _actions.Lost
RequestPromise = _actions.RequestPromise
rendezvous_order = _rendezvous.rendezvous_order
snapshot_reader = _snapshots.reader
snapshot_record = _snapshots.record
