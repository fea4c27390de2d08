"""Clients of the log service and of the VM list service of a cell."""

from citrondeal.logservice import _log
from citrondeal.logservice import _vms

__all__ = ["Batch", "Directory", "LogClient", "Vm", "VmClient"]

Batch = _log.Batch
Directory = _vms.Directory
LogClient = _log.LogClient
Vm = _vms.Vm
VmClient = _vms.VmClient
