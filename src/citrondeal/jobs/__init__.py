"""Job records, their fold, and the owner's view of tasks and workers."""

from citrondeal.jobs import _book
from citrondeal.jobs import _owner
from citrondeal.jobs import _places

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

AppendRecord = _places.AppendRecord
Book = _book.Book
Change = _book.Change
Config = _book.Config
Job = _book.Job
Owner = _owner.Owner
OwnerConfig = _places.OwnerConfig
WorkerInfo = _places.WorkerInfo
parse_task = _book.parse_task
task_id = _book.task_id
