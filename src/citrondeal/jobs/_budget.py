"""Budget of crashes per task, as the records of crashed runs define it."""

import dataclasses

from citrondeal import numbers

# A task with this many counted crashes is started apart from others, because
# some of the crashes may have been the fault of tasks beside it.
SUSPECT_CRASHES = 2
# A task is given up after this many counted crashes.
MAX_CRASHES = 3
# Crashes of one task that are excused instead of being the last one, because
# another task or a power failure may have been the cause.  With more, a task
# that does crash its workers would start too often.
MAX_EXCUSED = 1
# A service has no end, so that unrelated crashes of its workers add up over
# months.  Those before a run of this length are not counted any more.
LONG_RUN_S = 3600.0


@dataclasses.dataclass(slots=True)
class TaskCrashes:
    """Crashes of the workers of one task.

    Parameters
    ----------
    counted : int
        Those that count against the budget.
    excused : int
        Those that another cause may explain.
    has_unseen : bool
        Whether a run before the first counted crash may have crashed unseen.
        There is no excuse then.
    """

    counted: int = 0
    excused: int = 0
    has_unseen: bool = False

    @property
    def spent(self):
        """Whether the task is given up."""
        return self.counted >= MAX_CRASHES

    @property
    def suspect(self):
        """Whether the task is started apart from others."""
        return self.counted >= SUSPECT_CRASHES

    def add(self, entry, is_service):
        """Count one crash.

        Parameters
        ----------
        entry : dict
            Entry of the ``finished`` record.  Without ``alone`` another task
            may have been the cause, without ``ran_s`` the run was short.  With
            ``unseen`` an earlier run may have crashed unseen.
        is_service : bool
            Whether the job is a service.
        """
        ran_s = entry.get("ran_s", 0.0)
        is_long = numbers.is_finite(ran_s) and ran_s >= LONG_RUN_S
        if is_service and is_long:
            self.counted = self.excused = 0
            self.has_unseen = False
        self.has_unseen = self.has_unseen or entry.get("unseen") is True
        is_last = self.counted + 1 >= MAX_CRASHES
        may_excuse = entry.get("alone") is not True and not self.has_unseen
        if is_last and may_excuse and self.excused < MAX_EXCUSED:
            self.excused += 1
        else:
            self.counted += 1


def is_suspect(job, index):
    """Return whether a task of a job is started apart from others."""
    crashes = job.crashes.get(index)
    return crashes is not None and crashes.suspect


def to_state(crashes):
    """Return the crashes of a job's tasks for a snapshot."""
    return {
        str(k): [v.counted, v.excused, int(v.has_unseen)]
        for k, v in crashes.items()
    }


def from_state(state):
    """Return the crashes by task from a snapshot.

    Raises
    ------
    TypeError, ValueError
        If the state is malformed.
    """
    return {
        int(index): TaskCrashes(int(counted), int(excused), bool(has_unseen))
        for index, (counted, excused, has_unseen) in state.items()
    }
