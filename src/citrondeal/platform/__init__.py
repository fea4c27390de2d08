"""Adapters for the platform: its log service and its list of VMs."""

from citrondeal.platform import _log
from citrondeal.platform import _vms

__all__ = ["Batch", "Directory", "LogClient", "Vm", "VmClient"]

Batch = _log.Batch
Directory = _vms.Directory
LogClient = _log.LogClient
Vm = _vms.Vm
VmClient = _vms.VmClient
