"""Operators' HTTP application and command line.

The application is in `citrondeal.operators.api` and the command line in
`citrondeal.operators.ctl`; neither is imported here, so that the command
line does not load the HTTP server and the daemons do not load the command
line's libraries.
"""

from citrondeal.operators import _backend

__all__ = ["Backend", "JobQuery", "JobRequest", "Probes"]

Backend = _backend.Backend
JobQuery = _backend.JobQuery
JobRequest = _backend.JobRequest
Probes = _backend.Probes
