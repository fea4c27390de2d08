"""Why steps wait between the time when they are ready and their starts."""

import collections
import dataclasses
import enum
import logging

from citrondeal.workflow import _events
from citrondeal.workflow import _precedence


class WaitReason(enum.StrEnum):
    """What a step with waiting tasks has lacked in a planning pass."""

    TICKETS = "tickets"  # calls about further workers are not answered yet
    ROOM = "room"  # its tasks do not fit on the workers that it may use
    RENEWAL = "renewal"  # room is reserved until its tickets are valid again
    QUOTA = "quota"  # its account may use no more
    UNCERTAIN = "uncertain"  # earlier runs may go on, see `_uncertain_tasks`
    MEMBERS = "members"  # members of an earlier run of the gang still end
    PASS = "pass"  # the pass has ended before its turn, or started nothing


@dataclasses.dataclass(slots=True)
class StepWait:
    """Wait of one step since it was ready, or since it last started.

    Attributes
    ----------
    reason : WaitReason or None
        None if no task waits.
    noted_at : float
        Time of the last planning pass that noted a reason.
    seconds : dict of WaitReason to float
    started_runs : int
        Number of times that the step has started as a gang.
    ticket_calls : int
        Number of ticket calls that were sent for it.
    """

    reason: WaitReason | None = None
    noted_at: float = 0.0
    seconds: dict = dataclasses.field(default_factory=dict)
    started_runs: int = 0
    ticket_calls: int = 0


class Waits:
    """Measures the waits of all steps of one owner.

    Attributes
    ----------
    seconds : dict
        Sum of the waits, by queue and `WaitReason`.
    """

    def __init__(self):
        self.seconds = collections.Counter()

    def note(self, step, reason, now):
        """Record what a step lacks in this pass.

        The time since the last pass counts for what it lacked then.

        Parameters
        ----------
        step : StepState
        reason : WaitReason or None
            None if no task waits any more.
        now : float
        """
        wait = step.wait
        if wait.reason is not None:
            elapsed_s = max(0.0, now - wait.noted_at)
            known_s = wait.seconds.get(wait.reason, 0.0)
            wait.seconds[wait.reason] = known_s + elapsed_s
            self.seconds[step.job.policy.queue, wait.reason] += elapsed_s
        wait.reason = reason
        wait.noted_at = now

    def end_pass(self, steps, now):
        """Record that a pass has ended before the turn of some steps.

        Parameters
        ----------
        steps : list of StepState
            All steps that were ready in the pass.
        now : float
        """
        for step in steps:
            if step.wait.noted_at < now and step.waiting():
                self.note(step, WaitReason.PASS, now)

    def on_gang_started(self, step, number, now):
        """Log how long a gang has waited for what, and begin anew.

        Parameters
        ----------
        step : StepState
        number : int
            Number of the run.
        now : float
        """
        self.note(step, None, now)
        wait = step.wait
        wait.started_runs += 1
        _events.log(
            logging.INFO,
            "gang starts",
            job=step.id.job,
            step=step.id.step,
            run=number,
            queue=step.job.policy.queue,
            tasks=len(step.tasks),
            attempt=wait.started_runs,
            ticket_calls=wait.ticket_calls,
            precedence=_precedence.precedence(step, now).name,
            slack_s=round(step.job.due_at - now - step.remaining_s, 3),
            waited_s={k.value: round(v, 3) for k, v in wait.seconds.items()},
        )
        wait.seconds = {}
        wait.ticket_calls = 0
