"""Division of scarce workers between client accounts by their weights."""

import itertools
import math

from citrondeal.workflow import _precedence

# What an account has used in the past counts for about this long. Tasks run
# for some seconds, so this evens out accounts that use much for a short time.
PAST_S = 5.0
# Steps of an account that uses this many times its share come after those of
# all others. Up to then, urgent ones come before less urgent ones of others,
# since these have more time.
MAX_EXCESS = 2.0
# A gang that workers are kept free for comes first after this time, if its
# account uses less than its share. Otherwise accounts that always stay below
# their shares could keep it waiting. Its objective is some 15 s.
GANG_FIRST_AFTER_S = 5.0
# Weight of jobs without an account and of accounts that are not known.
DEFAULT_WEIGHT = 1.0
_RESOURCES = range(3)


class Shares:
    """Orders steps so that each account gets its share of scarce workers.

    The shares are those of weighted dominant resource fairness [1]_: the
    share of an account is the largest one that it uses of any resource, and
    all accounts get the same share by weight, or what they need if that is
    less.  What an account used a short time ago counts as used, as in
    start-time fair queueing [2]_, so that one which was quiet comes before
    one which was not.

    Parameters
    ----------
    state : State

    References
    ----------
    .. [1] A. Ghodsi, M. Zaharia, B. Hindman, A. Konwinski, S. Shenker and
       I. Stoica, "Dominant Resource Fairness: Fair Allocation of Multiple
       Resource Types", NSDI 2011.
    .. [2] P. Goyal, H. M. Vin and H. Cheng, "Start-time Fair Queueing: A
       Scheduling Algorithm for Integrated Services Packet Switching
       Networks", SIGCOMM 1996.
    """

    def __init__(self, state):
        self._state = state
        self._past = {}  # share used, by service and account
        self._past_at = 0.0
        self._capacities = {}  # by service
        self._fair = {}  # by service and account, where workers are scarce
        self._excesses = {}  # by service and account, with the amounts used

    @property
    def fair(self):
        """Share of the workers that each account is due, where it matters.

        By service and account; only of services with too few workers for all
        that waits.
        """
        return self._fair

    def used(self, service, account):
        """Return the share of a service's workers that an account uses."""
        capacity = self._capacities.get(service)
        if capacity is None:
            return 0.0
        return _dominant(
            self._state.usage.in_service(service, account), capacity
        )

    def arrange(self, steps, workers, kept, class_of, now):
        """Return the steps in the order in which they are to be planned.

        Of the steps of one class, those of accounts that use less than their
        share come first.  Steps of accounts that use much more come after all
        classes but that of useless jobs.  Otherwise the order is kept.

        Parameters
        ----------
        steps : list of StepState
            The most urgent first.
        workers : dict of str to dict of str to WorkerState
            Usable workers by service and id.
        kept : StepState or None
            Gang that workers are kept free for.  It has a turn as if its
            account used less than its share.
        class_of : callable
            Returns the class of a step, which is its precedence and priority.
        now : float

        Returns
        -------
        iterable of StepState
            Depends on what is started meanwhile.
        """
        self._fair = {}
        self._excesses = {}
        if not self._state.quotas.accounts:
            return steps
        demands = _demands(steps)
        for service, waiting in demands.items():
            self._divide(service, waiting, workers.get(service, {}).values())
        self._note_use(now)
        if not self._fair:
            return steps
        first = kept is not None and self._is_first(kept, now)
        return self._in_turns(steps, kept, first, class_of)

    def _is_first(self, kept, now):
        waited_s = now - kept.job.accepted_at
        return waited_s >= GANG_FIRST_AFTER_S and self._excess(kept) < 1

    def _in_turns(self, steps, kept, kept_first, class_of):
        if kept_first and kept in steps:
            yield kept
            steps = [step for step in steps if step is not kept]
        last = []
        for key, steps_of_class in itertools.groupby(steps, class_of):
            if key[0] is _precedence.Precedence.USELESS:
                yield from last
                last = []
            others = []
            for step in steps_of_class:
                excess = 0.0 if step is kept else self._excess(step)
                if excess < 1:
                    yield step
                else:
                    (others if excess < MAX_EXCESS else last).append(step)
            yield from others
        yield from last

    def _excess(self, step):
        """Return the use of a step's account as a multiple of its share."""
        key = step.job.service, step.job.submission.account
        fair = self._fair.get(key)
        if fair is None:
            return 0.0
        amounts = self._state.usage.in_service(*key)
        known, excess = self._excesses.get(key, (None, 0.0))
        if known is not amounts:
            used = max(self.used(*key), self._past.get(key, 0.0))
            excess = used / fair if fair else math.inf
            self._excesses[key] = amounts, excess
        return excess

    def _divide(self, service, waiting, workers):
        """Determine the shares of one service, if it has too few workers."""
        quotas, usage = self._state.quotas, self._state.usage
        capacity = self._capacities[service] = _capacity(workers)
        waiting = {n: quotas.admitted(n, a) for n, a in waiting.items()}
        running = usage.accounts_in(service)
        wanted = [
            sum(amounts[i] for amounts in waiting.values())
            + sum(amounts[i] for _, amounts in running)
            for i in _RESOURCES
        ]
        if all(wanted[i] <= capacity[i] for i in _RESOURCES):
            return
        claims = []
        for name, amounts in waiting.items():
            used = usage.in_service(service, name)
            wanted = [amounts[i] + used[i] for i in _RESOURCES]
            account = quotas.accounts.get(name)
            weight = DEFAULT_WEIGHT if account is None else account.weight
            claims.append((name, weight, _shares(wanted, capacity)))
        for name, used in running:
            if name not in waiting:
                claims.append((name, math.inf, _shares(used, capacity)))
        level = _level(claims)
        for name, weight, shares in claims:
            if name in waiting:
                due = weight * level if weight else 0.0
                self._fair[service, name] = min(max(shares), due)

    def _note_use(self, now):
        """Bring what accounts used in the past up to date."""
        decay = math.exp(-max(0.0, now - self._past_at) / PAST_S)
        self._past_at = now
        keys = self._past.keys() | self._state.usage.keys()
        past = {
            key: self._past.get(key, 0.0) * decay
            + self.used(*key) * (1 - decay)
            for key in keys
        }
        self._past = {key: used for key, used in past.items() if used > 1e-4}


def _demands(steps):
    """Return what waiting tasks need, by service and account."""
    demands = {}
    for step in steps:
        count = sum(1 for t in step.tasks if t.run is None and not t.done)
        if not count:
            continue
        service = demands.setdefault(step.job.service, {})
        sums = service.setdefault(step.job.submission.account, [0, 0, 0])
        size = step.spec.size
        sums[0] += count * size.millicores
        sums[1] += count * size.memory_mb
        sums[2] += count * size.accelerators
    return demands


def _capacity(workers):
    millicores = memory_mb = accelerators = 0
    for worker in workers:
        size = worker.info.capacity
        millicores += size.millicores
        memory_mb += size.memory_mb
        accelerators += size.accelerators
    return millicores, memory_mb, accelerators


def _shares(amounts, capacity):
    return [
        amounts[i] / capacity[i] if capacity[i] else 0.0 for i in _RESOURCES
    ]


def _dominant(amounts, capacity):
    return max(_shares(amounts, capacity))


def _level(claims):
    """Return the share for each unit of weight that uses up a resource.

    Parameters
    ----------
    claims : list of (str, float, list of float)
        Name and weight of each account, and the share of each resource that
        it could use.  One with an infinite weight gets what it claims.
    """
    by_need = sorted(
        (max(shares) / weight if weight else math.inf, weight, shares)
        for _, weight, shares in claims
        if max(shares) > 0
    )
    return min(_level_of(by_need, i) for i in _RESOURCES)


def _level_of(by_need, resource):
    """Return the level at which one resource is used up.

    Up to the level at which an account needs no more, its use of the resource
    grows with the level.
    """
    left = 1.0
    slope = sum(
        weight * shares[resource] / max(shares)
        for _, weight, shares in by_need
        if math.isfinite(weight)
    )
    left -= sum(
        shares[resource] for _, weight, shares in by_need if math.isinf(weight)
    )
    reached = 0.0
    for need, weight, shares in by_need:
        if math.isinf(weight) or slope <= 0:
            continue
        step = (need - reached) * slope
        if step >= left:
            return reached + max(0.0, left) / slope
        left -= step
        reached = max(reached, need)
        slope -= weight * shares[resource] / max(shares)
    return math.inf
