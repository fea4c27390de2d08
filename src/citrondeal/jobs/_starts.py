"""Recorded starts of tasks under which workers have crashed.

An owner may be lost before it has seen a crash.  The next one then learns from
the record where the task was started, and by another ``boot_id`` of the worker
that the run has crashed.
"""

# Starts per task whose end is not known; the oldest are forgotten.
MAX_STARTS = 4


class Starts:
    """Starts whose end is not recorded, by task and by worker."""

    def __init__(self):
        # (job id, index) -> task id -> worker, and worker -> task id ->
        # ``boot_id``.
        self._by_task = {}
        self._by_worker = {}

    def add(self, task_key, task, worker, boot_id):
        """Add a start of a task on one incarnation of a worker."""
        starts = self._by_task.setdefault(task_key, {})
        if task in starts:
            return
        if len(starts) >= MAX_STARTS:
            self.remove(task_key, next(iter(starts)))
        self._by_task.setdefault(task_key, {})[task] = worker
        self._by_worker.setdefault(worker, {})[task] = boot_id

    def has(self, task_key, task):
        """Return whether the end of a start is not known."""
        return task in self._by_task.get(task_key, ())

    def at(self, worker):
        """Return ``(task id, boot_id)`` of each start on a worker."""
        return list(self._by_worker.get(worker, {}).items())

    def remove(self, task_key, task):
        """Remove a start, if there is one with this task id."""
        starts = self._by_task.get(task_key, {})
        worker = starts.pop(task, None)
        if worker is None:
            return
        if not starts:
            del self._by_task[task_key]
        at_worker = self._by_worker[worker]
        del at_worker[task]
        if not at_worker:
            del self._by_worker[worker]

    def remove_all(self, task_key):
        """Remove all starts of a task."""
        for task in list(self._by_task.get(task_key, ())):
            self.remove(task_key, task)

    def to_state(self):
        """Return the starts for a snapshot."""
        return [
            [*task_key, task, worker, self._by_worker[worker][task]]
            for task_key, starts in self._by_task.items()
            for task, worker in starts.items()
        ]

    @classmethod
    def from_state(cls, state):
        """Return the starts from a snapshot.

        Raises
        ------
        TypeError, ValueError
            If the state is malformed.
        """
        starts = cls()
        for job_id, index, task, worker, boot_id in state:
            starts.add((job_id, index), task, worker, boot_id)
        return starts
