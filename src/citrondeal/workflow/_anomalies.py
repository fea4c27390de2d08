"""Reports that contradict what an owner believed.

None of these should occur.  The counts and lines tell which belief was wrong:
that a run was over, or that every end of a run would be read.
"""

import logging

from citrondeal.workflow import _events


class Anomalies:
    """Counts and logs the reports that contradict the state.

    Attributes
    ----------
    repeated_runs : int
        Runs of a task that was done already or had a run elsewhere.
    missing_ends : int
        Ends of runs that a worker has forgotten before they were read.
    """

    def __init__(self):
        self.repeated_runs = 0
        self.missing_ends = 0

    def on_repeated_run(self, worker, task, number):
        """Record a run that is found although its task needs none.

        An assumed run, of which only an earlier owner has known, is no proof
        of another one, so it is logged and not counted.

        Parameters
        ----------
        worker : WorkerState
        task : TaskState
        number : int
            Number of the run that was found.
        """
        other = task.run
        assumed = not task.done and not other.number
        self.repeated_runs += not assumed
        _events.log(
            logging.INFO if assumed else logging.WARNING,
            "task has more than one run",
            job=task.id.job,
            task=_events.task_name(task.id),
            run=number,
            worker=worker.id,
            born_ms=worker.info.born_ms,
            assumed=assumed,
            done=task.done,
            other_run=other.number if other else None,
            other_worker=other.worker if other else None,
        )

    def on_end(self, worker, end):
        """Compare the number of an end with that of the last one.

        Parameters
        ----------
        worker : WorkerState
        end : RunEnd
            With a higher number than the last one that was read.
        """
        missing = end.number - worker.last_end_number - 1
        if not missing or not worker.reads_all_ends:
            return
        self.missing_ends += missing
        _events.log(
            logging.WARNING,
            "ends of runs were forgotten unread",
            worker=worker.id,
            born_ms=worker.info.born_ms,
            first=worker.last_end_number + 1,
            last=end.number - 1,
            acknowledged=worker.acknowledged,
        )
