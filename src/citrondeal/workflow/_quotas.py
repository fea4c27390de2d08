"""Limits of what the tasks of one client account use at the same time."""

import logging
import math

from citrondeal.workflow import _events
from citrondeal.workflow import _model
from citrondeal.workflow import _usage

# Stands for an amount without a limit.
UNLIMITED = 2**62
# A job of an account that this owner has never known waits for this long after
# the time in which each member has the newest configuration: its account and
# the cap of it may be in a version that is on its way.
ACCOUNT_MARGIN_S = 1.0
# A step that exceeds the cap keeps less urgent steps of its account from using
# what it waits for, once its job has waited this long. The room on workers is
# reserved for a gang after the same time.
HOLD_AFTER_S = 1.0
# A gang that exceeds the cap comes first in its account after this time. The
# objective of a gang is some 15 s and its run takes some 6 s, so it can still
# be in time.
MAX_OVERTAKEN_S = 5.0
# An account that is at its cap is there again and again.
LOG_PERIOD_S = 10.0


class Quotas:
    """Decides which tasks fit in the caps of their client accounts.

    Parameters
    ----------
    state : State
    """

    def __init__(self, state):
        self._state = state
        self._accounts = None  # by name; None before they are known
        self._limits = {}  # `Size` by account, if it has any cap
        self._unknown_since = {}  # by account
        self._uncertain = None  # of the current pass
        self._held = {}  # step and `Size` by account, in the current pass
        self._blocked = set()  # steps, in the current pass
        self._blocked_since = {}  # by gang step
        self._promoted_at = {}  # by account
        self._waits_for = {}  # by account, in the current pass
        self._logged_at = {}  # by account

    @property
    def accounts(self):
        """`Account` by name; empty before they are known."""
        return self._accounts or {}

    @property
    def blocked(self):
        """What steps waited for in the last planning pass, by account.

        It is ``"cap"`` or ``"configuration"``.
        """
        return self._waits_for

    def admitted(self, account, amounts):
        """Return how much of some amounts fits in the cap of an account."""
        limit = self._limits.get(account)
        if limit is None:
            return amounts
        room = limit.minus(self._state.usage.of(account))
        return [
            max(0, min(pair))
            for pair in zip(
                amounts, (room.millicores, room.memory_mb, room.accelerators)
            )
        ]

    def on_accounts(self, accounts):
        """Replace the accounts by those of a newer configuration.

        A removed account keeps its last cap for the jobs that were accepted
        before.
        """
        active = {
            job.submission.account for job in self._state.active.values()
        }
        kept = {
            name: account
            for name, account in self.accounts.items()
            if name in active or self._state.usage.run_count(name)
        }
        self._accounts = {**kept, **accounts}
        self._limits = {
            name: _limit(account.cap)
            for name, account in self._accounts.items()
            if account.cap != _model.Size()
        }
        for table in (self._unknown_since, self._promoted_at, self._logged_at):
            for name in [n for n in table if n not in active]:
                del table[name]

    def begin_pass(self, steps, now):
        """Prepare for a planning pass.

        Parameters
        ----------
        steps : list of StepState
            Ready steps, the most urgent first.
        now : float

        Returns
        -------
        list of StepState
            The steps in the order in which they are to be planned.
        """
        self._held = {}
        self._blocked = set()
        self._waits_for = {}
        if not self._limits:
            self._blocked_since = {}
            return steps
        self._uncertain = _usage.Uncertain(self._state)
        self._blocked_since = {
            step: since
            for step, since in self._blocked_since.items()
            if not step.job.ended and step.tasks[0].run is None
        }
        overtaken = self._overtaken_gangs(now)
        if not overtaken:
            return steps
        for name, step in overtaken.items():
            self._held[name] = step, _need(step, len(step.tasks))
        return _with_first(steps, overtaken)

    def admissible(self, step, waiting, now):
        """Return those of the waiting tasks of a step that fit in the cap.

        Of a gang, these are all or none.
        """
        name = step.job.submission.account
        if not name:
            return waiting
        if not self._is_known(name, now):
            self._waits_for[name] = "configuration"
            return []
        room = self._room(name, step)
        if room is None:
            return waiting
        count = _count_in(step.spec.size, room)
        if count >= len(waiting):
            return waiting
        admissible = [] if step.spec.gang else waiting[:count]
        if not admissible:
            self._on_blocked(step, name, now)
        return admissible

    def on_planned(self, step, now):
        """Hold what a step waits for against less urgent ones.

        Called for each step after it was planned.
        """
        name = step.job.submission.account
        limit = self._limits.get(name)
        if limit is None:
            return
        holder = self._held.get(name, (None,))[0]
        started = step.spec.gang and step.tasks[0].run is not None
        if holder is step and started:
            del self._held[name]
            self._promoted_at[name] = now
        if started or holder is not None:
            return
        blocked = step in self._blocked
        waited_s = now - step.job.accepted_at
        if step.reserving or (blocked and waited_s >= HOLD_AFTER_S):
            need = _need(step, len(step.tasks) if step.spec.gang else 1)
            if need.fits(limit):
                self._held[name] = step, need

    def is_within_cap(self, run):
        """Return whether the account of a run uses no more than its cap.

        Only the resources that the run needs matter.
        """
        name = run.task.step.job.submission.account
        limit = self._limits.get(name)
        if limit is None:
            return True
        used = self._state.usage.of(name)
        size = run.task.step.spec.size
        return _count_in(size, limit.minus(used).plus(size)) > 0

    def _is_known(self, name, now):
        """Return whether the cap of an account is known.

        An account that is in no version any more has none.
        """
        if self._accounts is None:
            return False
        if name in self._accounts:
            return True
        since = self._unknown_since.get(name)
        if since is None:
            self._unknown_since[name] = since = now
            _events.log(
                logging.WARNING,
                "account is not in the configuration",
                account=name,
            )
        wait_s = self._state.config.config_apply_s + ACCOUNT_MARGIN_S
        return now - since >= wait_s

    def _room(self, name, step):
        """Return what an account may use in addition, or None for any."""
        limit = self._limits.get(name)
        if limit is None:
            return None
        room = limit.minus(self._state.usage.of(name))
        room = room.minus(self._uncertain.of(name))
        holder, need = self._held.get(name, (step, None))
        return room if holder is step else room.minus(need)

    def _on_blocked(self, step, name, now):
        self._blocked.add(step)
        self._waits_for[name] = "cap"
        if step.spec.gang:
            self._blocked_since.setdefault(step, now)
        if now - self._logged_at.get(name, -math.inf) < LOG_PERIOD_S:
            return
        self._logged_at[name] = now
        used = self._state.usage.of(name)
        uncertain = self._uncertain.of(name)
        cap = self._accounts[name].cap
        _events.log(
            logging.INFO,
            "account has no room for a step within its cap",
            account=name,
            job=step.job.id,
            step=step.id.step,
            used=_amounts(used),
            uncertain=_amounts(uncertain),
            cap=_amounts(cap),
        )

    def _overtaken_gangs(self, now):
        """Return the gang that is to come first, by account.

        It is the one that has waited longest.  The next one follows only some
        time after it has started, so that most steps keep their order.
        """
        found = {}
        for step, since in self._blocked_since.items():
            name = step.job.submission.account
            earliest = max(since, self._promoted_at.get(name, since))
            limit = self._limits.get(name)
            if (
                limit is not None
                and now - earliest >= MAX_OVERTAKEN_S
                and _need(step, len(step.tasks)).fits(limit)
                and (name not in found or since < found[name][0])
            ):
                found[name] = since, step
        return {name: step for name, (_, step) in found.items()}


def _limit(cap):
    return _model.Size(
        cap.millicores or UNLIMITED,
        cap.memory_mb or UNLIMITED,
        cap.accelerators or UNLIMITED,
    )


def _need(step, tasks):
    size = step.spec.size
    return _model.Size(
        tasks * size.millicores,
        tasks * size.memory_mb,
        tasks * size.accelerators,
    )


def _count_in(size, room):
    """Return how many tasks of a size fit.

    A resource that the tasks do not need does not matter, also if more of it
    is used than a smaller cap allows.
    """
    count = math.inf
    for need, free in (
        (size.millicores, room.millicores),
        (size.memory_mb, room.memory_mb),
        (size.accelerators, room.accelerators),
    ):
        if need:
            count = min(count, max(0, free // need))
    return count


def _with_first(steps, first_by_account):
    """Return the steps with one step before the others of its account."""
    ready = set(steps)
    first = {n: s for n, s in first_by_account.items() if s in ready}
    promoted = set(first.values())
    ordered = []
    for step in steps:
        name = step.job.submission.account
        if name in first:
            ordered.append(first.pop(name))
        if step not in promoted:
            ordered.append(step)
    return ordered


def _amounts(size):
    return [size.millicores, size.memory_mb, size.accelerators]
