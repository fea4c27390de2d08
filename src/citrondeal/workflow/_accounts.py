"""Client accounts: their share of the workers and the limits of their use."""

import dataclasses

from citrondeal.workflow import _limits
from citrondeal.workflow import _model


@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """A client account of the configuration in force.

    Attributes
    ----------
    name : str
    weight : float
        Share of the workers relative to that of other accounts while room is
        short.
    cap : Size
        Largest amounts that its running tasks may use on all workers
        together; 0 means no limit of this resource.
    """

    name: str
    weight: float = 1.0
    cap: _model.Size = _model.Size()


@dataclasses.dataclass(frozen=True, slots=True)
class Caller:
    """Origin of a client's call about a job.

    Attributes
    ----------
    account : str
        Client account whose key the call had; empty if it had none.
    queue : str
        Queue that the call was sent to.
    """

    account: str = ""
    queue: str = ""


def may_access(caller, account, queue):
    """Return whether a caller may see and cancel a job.

    Parameters
    ----------
    caller : Caller
    account : str
        Client account that submitted the job; empty if there is none.
    queue : str
        Queue of the job.
    """
    if not account:
        return True
    if caller.account:
        return caller.account == account
    # The queue has become public since the job was submitted.
    return caller.queue == queue


def check_cap(steps, account):
    """Check that the tasks of a job can run within the cap of its account.

    Parameters
    ----------
    steps : sequence of Step
    account : Account

    Raises
    ------
    LimitError
        If a task, or a gang as a whole, needs more than the cap.
    """
    for index, step in enumerate(steps):
        tasks = step.tasks if step.gang else 1
        for name, need, cap in (
            ("millicores", step.size.millicores, account.cap.millicores),
            ("MB of memory", step.size.memory_mb, account.cap.memory_mb),
            (
                "accelerators",
                step.size.accelerators,
                account.cap.accelerators,
            ),
        ):
            if cap and tasks * need > cap:
                raise _limits.LimitError(
                    f"step {index} needs {tasks * need} {name} at once, and"
                    f" its account may use {cap} at most"
                )
