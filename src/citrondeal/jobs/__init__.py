"""Job records, their fold, and the owner's view of tasks and workers."""

from citrondeal.jobs import _job_table
from citrondeal.jobs import _owner
from citrondeal.jobs import _places

__all__ = [
    "AppendRecord",
    "JobTable",
    "Change",
    "JobTableConfig",
    "Job",
    "PoolOwner",
    "OwnerConfig",
    "WorkerInfo",
    "parse_task_id",
    "task_id",
]

AppendRecord = _places.AppendRecord
JobTable = _job_table.JobTable
Change = _job_table.Change
JobTableConfig = _job_table.JobTableConfig
Job = _job_table.Job
PoolOwner = _owner.PoolOwner
OwnerConfig = _places.OwnerConfig
WorkerInfo = _places.WorkerInfo
parse_task_id = _job_table.parse_task_id
task_id = _job_table.task_id
