"""Scheduling of jobs with several steps: life cycle, placement, recovery."""

from citrondeal.workflow import _accounts
from citrondeal.workflow import _fences
from citrondeal.workflow import _learned
from citrondeal.workflow import _limits
from citrondeal.workflow import _messages
from citrondeal.workflow import _model
from citrondeal.workflow import _records
from citrondeal.workflow import _scheduler
from citrondeal.workflow import _state

__all__ = [
    "Account",
    "Caller",
    "Config",
    "DEFAULT_FAR_FACTOR",
    "FetchTickets",
    "JobState",
    "LimitError",
    "MAX_DEPENDENCIES",
    "MAX_STEPS",
    "OrderOutcome",
    "Policy",
    "Progress",
    "RecordError",
    "Report",
    "ReportedRun",
    "RunEnd",
    "RunOutcome",
    "Scheduler",
    "Size",
    "Start",
    "Step",
    "StepId",
    "Stop",
    "StoredWorker",
    "Submission",
    "TaskId",
    "WorkerInfo",
    "check_cap",
    "check_record",
    "check_steps",
    "decode_learned",
    "decode_progress",
    "decode_submission",
    "decode_worker",
    "encode",
    "may_access",
    "settle_outcome",
]

Account = _accounts.Account
Caller = _accounts.Caller
check_cap = _accounts.check_cap
may_access = _accounts.may_access
settle_outcome = _fences.settle
LimitError = _limits.LimitError
MAX_DEPENDENCIES = _limits.MAX_DEPENDENCIES
MAX_STEPS = _limits.MAX_STEPS
check_record = _limits.check_record
check_steps = _limits.check_steps
FetchTickets = _messages.FetchTickets
JobState = _model.JobState
OrderOutcome = _messages.OrderOutcome
Policy = _model.Policy
Progress = _model.Progress
Report = _messages.Report
ReportedRun = _messages.ReportedRun
RunEnd = _messages.RunEnd
RunOutcome = _messages.RunOutcome
Size = _model.Size
Start = _messages.Start
Step = _model.Step
StepId = _model.StepId
Stop = _messages.Stop
StoredWorker = _model.StoredWorker
Submission = _model.Submission
TaskId = _model.TaskId
WorkerInfo = _model.WorkerInfo
Config = _state.Config
DEFAULT_FAR_FACTOR = _state.DEFAULT_FAR_FACTOR
RecordError = _records.RecordError
Scheduler = _scheduler.Scheduler
decode_learned = _learned.decode
decode_progress = _records.decode_progress
decode_submission = _records.decode_submission
decode_worker = _records.decode_worker
encode = _records.encode
