"""Job records, their fold, and the owner's view of tasks and workers."""

from citrondeal.jobs import _book
from citrondeal.jobs import _owner

__all__ = [
    "AppendRecord",
    "Book",
    "Change",
    "Config",
    "Job",
    "Owner",
    "OwnerConfig",
    "WorkerInfo",
    "parse_task",
    "task_id",
]

AppendRecord = _owner.AppendRecord
Book = _book.Book
Change = _book.Change
Config = _book.Config
Job = _book.Job
Owner = _owner.Owner
OwnerConfig = _owner.OwnerConfig
WorkerInfo = _owner.WorkerInfo
parse_task = _book.parse_task
task_id = _book.task_id
