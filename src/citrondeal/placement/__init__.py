"""Scheduling core: decides which waiting tasks start on which workers.

A `Pool` holds the queue and the allotments of one zone and applies quotas,
priority shares, gang scheduling, preemption and reservations with backfill.
"""

from citrondeal.placement import _model
from citrondeal.placement import _pool

__all__ = [
    "Config",
    "JobSpec",
    "PRIORITIES",
    "Pool",
    "Preempt",
    "Quota",
    "Reserve",
    "Start",
    "capacity_of",
    "fits",
    "size_of",
]

PRIORITIES = _model.PRIORITIES
Config = _model.Config
JobSpec = _model.JobSpec
Pool = _pool.Pool
Preempt = _model.Preempt
Quota = _model.Quota
Reserve = _model.Reserve
Start = _model.Start
capacity_of = _model.capacity_of
fits = _model.fits
size_of = _model.size_of
