"""Replies of the workers, with the tasks that they list."""

import collections.abc
import dataclasses
import math

from citrondeal.jobs import _assignments
from citrondeal.jobs import _crashes
from citrondeal.jobs import _job
from citrondeal.jobs import _owner_state
from citrondeal import numbers
from citrondeal import placement

# Of anything that a worker reports; its sums stay exact.
MAX_QUANTITY = 1e9


@dataclasses.dataclass(frozen=True, slots=True)
class Hooks:
    """Steps of `Reports` that a kind of pool owner may replace.

    Parameters
    ----------
    adopt, on_end_listed : callable
        As the methods of `Reports`.
    record_crash : callable
        As `Ends.record_crash`.
    """

    adopt: collections.abc.Callable
    on_end_listed: collections.abc.Callable
    record_crash: collections.abc.Callable


class Reports:
    """Applies the replies of workers.

    Parameters
    ----------
    state : OwnerState
    ends : Ends
    queueing : Queueing
    hooks : Hooks
    """

    def __init__(self, state, ends, queueing, hooks):
        self._state = state
        self._ends = ends
        self._queueing = queueing
        self._hooks = hooks

    def apply(self, worker, reply, tasks, sent_at, now):
        """Apply a well-formed reply.

        Parameters
        ----------
        worker : _assignments.Worker
        reply : dict
        tasks : dict
            What `parse` has returned.
        sent_at, now : float
            When the request was sent, and when the reply was received.
        """
        worker.pending_request_at = None
        for assignment in worker.pending_starts:
            assignment.start_unanswered_until = -math.inf
        worker.pending_starts = ()
        worker.answering = True
        worker.clock_s = reply["clock_s"]
        worker.clock_read_at = now
        if worker.boot_id != reply["boot_id"]:
            self._on_incarnation(worker, now)
            worker.boot_id = reply["boot_id"]
        else:
            self._state.crashes.on_same_incarnation(worker)
        self._settle_starts(worker, tasks, sent_at, now)
        worker.drained = worker.info.leaving
        worker.task_list_read = True
        worker.list_request_sent_at = sent_at
        worker.acks.intersection_update(tasks)
        for assignment in list(worker.assignments.values()):
            if assignment.task not in tasks and assignment.phase in (
                _assignments.SENT,
                _assignments.RUNNING,
            ):
                # A start whose reply was lost may still arrive.
                if (
                    sent_at
                    <= assignment.start_unanswered_until + self._state.margin
                ):
                    continue
                self._queueing.on_not_running(
                    worker,
                    assignment,
                    assignment.phase == _assignments.RUNNING,
                    now,
                )
        for task in tasks.values():
            self._on_task_listed(worker, task, now)
        self._state.update_pool_worker(worker, now)

    def _on_incarnation(self, worker, now):
        """Requeue the tasks of a worker that has restarted."""
        crash, lapsed = self._state.crashes.on_incarnation(
            worker,
            self._state.workers.values(),
            self._state.pool.is_quarantined(worker.info.name),
        )
        for run in lapsed:
            self._hooks.record_crash(run, crash, now)
        for assignment in list(worker.assignments.values()):
            if assignment.phase in (_assignments.SENT, _assignments.RUNNING):
                # A start without a reply may have run before the restart.
                may_have_run = assignment.may_have_run
                if may_have_run and crash is not None:
                    run = self._state.run_of(assignment)
                    if run is not None:
                        self._hooks.record_crash(run, crash, now)
                self._queueing.on_not_running(
                    worker, assignment, may_have_run, now
                )
            elif _owner_state.has_recorded_starts(assignment.job, assignment):
                # The recorded start is for the previous incarnation.
                self._queueing.on_not_running(worker, assignment, False, now)

    def _settle_starts(self, worker, tasks, sent_at, now):
        """Record the end of recorded starts that a worker doesn't list.

        Most of them are of previous owners, or on a worker that was silent.
        """
        if not self._state.caught_up:
            # The log may have their ends.
            return
        name = worker.info.name
        for task, boot_id in self._state.job_table.starts.at(name):
            if task in tasks or task in worker.assignments:
                continue
            job_id, index, _ = _job.parse_task_id(task)
            if boot_id == worker.boot_id or worker.drained:
                # The start of a previous owner may still arrive until then.
                if sent_at >= self._state.previous_until + self._state.margin:
                    self._ends.release_start((job_id, index), task, now)
                continue
            crash = self._state.crashes.unseen(worker)
            job = self._state.job_table.get(job_id)
            if job is not None:
                run = _crashes.Run(job, index, task, 0.0)
                self._hooks.record_crash(run, crash, now)

    def _on_task_listed(self, worker, listing, now):
        task = listing["task"]
        assignment = worker.assignments.get(task)
        if listing["state"] in _assignments.ENDED_STATES:
            self._hooks.on_end_listed(worker, assignment, listing, now)
            return
        size = placement.size_of(
            listing["cores"], listing["memory_mb"], listing["accelerators"]
        )
        if assignment is None:
            assignment = self._hooks.adopt(worker, listing, size, now)
        elif assignment.job is None and assignment.stop_order is None:
            # The job may have become known since the task was first listed.
            self._state.remove_assignment(worker, assignment)
            assignment = self._hooks.adopt(worker, listing, size, now)
        if assignment.listed_at == math.inf:
            assignment.listed_at = now
        assignment.phase = _assignments.RUNNING
        assignment.start_unanswered_until = -math.inf
        if not assignment.throttled:
            size = tuple(map(max, size, assignment.size))
        elif (
            assignment.stop_order == "throttle"
            and size[0] < assignment.size[0]
        ):
            assignment.stop_order = None
        if size != assignment.size:
            assignment.size = size
            self._state.allot(worker, assignment, now)
        usage = listing.get("usage")
        if _is_usage(usage) and assignment.job is not None:
            self._state.pool.report_usage(
                worker.info.name, assignment.allotment_key, usage, now
            )

    def adopt(self, worker, listing, size, now):
        """Add an assignment for a task that this owner has not started."""
        task = listing["task"]
        parts = _job.parse_task_id(task)
        job = self._state.job_table.get(parts[0]) if parts else None
        if job is not None and parts[1] >= job.tasks:
            job = None
        assignment = _assignments.Assignment(
            task, job, None, worker, task, size, _assignments.RUNNING
        )
        # A previous owner may have renewed the task until the end of its
        # validity.
        assignment.lease_end = (
            max(self._state.previous_until, self._state.gained_at)
            + self._state.config.task_ttl_s
        )
        worker.assignments[task] = assignment
        self._state.allot(worker, assignment, now)
        task_key = parts[:2] if parts else None
        if (
            task_key in self._state.assigned
            or task_key in self._state.unrecorded_final_ends
        ):
            assignment.stop_order = "stop"
        elif task_key is not None:
            # A task of an unknown job blocks its key too, since a job with
            # this id may be submitted while the task still runs.
            assignment.task_key = task_key
            self._state.assigned[task_key] = assignment
            if job is not None and not self._state.recovered:
                self._state.found_in_recovery.add(task_key)
        return assignment

    def on_end_listed(self, worker, assignment, listing, now):
        """Take the end of an attempt that a worker lists."""
        task = listing["task"]
        state = listing["state"]
        name = worker.info.name
        worker.busy_until = now + self._state.config.busy_s
        parts = _job.parse_task_id(task)
        job = self._state.job_table.get(parts[0]) if parts else None
        if job is None or parts[1] >= job.tasks:
            if assignment is not None:
                self._state.remove_assignment(worker, assignment)
            if self._state.caught_up:
                worker.acks.add(task)
            return
        index = parts[1]
        if assignment is not None:
            if state in ("finished", "failed"):
                self._state.pool.record_outcome(
                    name, assignment.allotment_key, state == "finished", now
                )
            self._state.remove_assignment(worker, assignment)
        if self._state.job_table.is_end_recorded(job, index, parts[2]):
            worker.acks.add(task)
        elif task in self._state.unrecorded_ends:
            self._state.end_listed_by[task] = name
        elif state in ("finished", "failed"):
            self._state.end_listed_by[task] = name
            self._ends.record_end(job, index, task, state, name, now)
        elif job.once:
            self._state.end_listed_by[task] = name
            self._ends.record_end(job, index, task, "unknown", name, now)
        else:
            worker.acks.add(task)
            self._ends.release_start((job.id, index), task, now)
        if assignment is not None and assignment.task_key is not None:
            pause = 0.0
            if state == "failed":
                pause = self._ends.restart_pause(job, index)
            if (job.id, index) not in self._state.unrecorded_final_ends:
                self._queueing.requeue(job, index, now, pause)
            elif job.work.kind == "gang":
                self._queueing.requeue_ended_gang(job, now)


def parse(reply):
    """Return the listed tasks by id, or None if the reply is malformed."""
    try:
        if not isinstance(reply["boot_id"], str) or not reply["boot_id"]:
            return None
        if not numbers.is_finite(reply["clock_s"]):
            return None
        tasks = {}
        for task in reply["tasks"]:
            if not isinstance(task["task"], str):
                return None
            if task["state"] not in (*_assignments.ENDED_STATES, "running"):
                return None
            if not all(
                _is_quantity(task[name])
                for name in ("cores", "memory_mb", "accelerators")
            ):
                return None
            tasks[task["task"]] = task
    except (KeyError, TypeError, AttributeError):
        return None
    return tasks


def _is_usage(usage):
    return isinstance(usage, dict) and all(
        _is_quantity(value)
        for value in (
            usage.get("cores"),
            usage.get("memory_mb"),
            usage.get("lag_s", 0.0),
        )
    )


def _is_quantity(value):
    return numbers.is_finite(value) and 0 <= value <= MAX_QUANTITY
