"""Jobs of a zone: records, and the pool owner's view of tasks and workers."""

from citrondeal.jobs import _assignments
from citrondeal.jobs import _job
from citrondeal.jobs import _job_table
from citrondeal.jobs import _owner

__all__ = [
    "AppendRecord",
    "Change",
    "Job",
    "JobTable",
    "JobTableConfig",
    "OwnerConfig",
    "PoolOwner",
    "WorkerInfo",
    "parse_task_id",
    "task_id",
]

AppendRecord = _assignments.AppendRecord
Change = _job_table.Change
Job = _job.Job
JobTable = _job_table.JobTable
JobTableConfig = _job_table.JobTableConfig
OwnerConfig = _assignments.OwnerConfig
PoolOwner = _owner.PoolOwner
WorkerInfo = _assignments.WorkerInfo
parse_task_id = _job.parse_task_id
task_id = _job.task_id
