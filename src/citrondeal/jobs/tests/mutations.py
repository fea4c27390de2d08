"""Faulty versions of the owner; the fault machine must fail with each.

They show that the checks of `world` detect the removal of a rule.
"""

import math

from citrondeal import jobs
from citrondeal.jobs.tests import machine
from citrondeal.jobs.tests import world as worlds


class UnknownNotCounted(jobs.PoolOwner):
    """Tasks that another owner started do not count against a worker."""

    def _adopt(self, worker, listing, size, now):
        assignment = super()._adopt(worker, listing, size, now)
        self._pool.release(worker.info.name, assignment.allotment_key)
        return assignment


class NoLeaseWait(jobs.PoolOwner):
    """Tasks that are not found are restarted before their leases end."""

    def on_gained(self, epoch, previous_until, now):
        super().on_gained(epoch, -math.inf, now)


class LostReplyIgnored(jobs.PoolOwner):
    """A start whose reply was lost counts as not started."""

    def on_exchange_failed(self, name, now):
        worker = self._workers.get(name)
        starting = worker.pending_starts if worker is not None else ()
        super().on_exchange_failed(name, now)
        for assignment in starting:
            self._on_not_running(worker, assignment, False, now)


class RenewalIgnored(jobs.PoolOwner):
    """A renewal without a reply does not extend the lease."""

    def _add_renewal(self, worker, assignment, renewals, now):
        before = assignment.lease_end
        super()._add_renewal(worker, assignment, renewals, now)
        assignment.lease_end = before


class StaleList(jobs.PoolOwner):
    """Task lists from before the ownership count as current."""

    def on_gained(self, epoch, previous_until, now):
        super().on_gained(epoch, previous_until, now)
        for worker in self._workers.values():
            known = self.__dict__.setdefault("known", {})
            old = known.get(worker.info.name)
            if old is not None:
                worker.boot_id, worker.clock_s, worker.clock_read_at = old
                worker.task_list_read = worker.answering = True
                self._update_pool_worker(worker, now)

    def on_reply(self, name, reply, sent_at, now):
        used = super().on_reply(name, reply, sent_at, now)
        if used:
            worker = self._workers[name]
            known = self.__dict__.setdefault("known", {})
            known[name] = (
                worker.boot_id,
                worker.clock_s,
                worker.clock_read_at,
            )
        return used


class EarlyAck(jobs.PoolOwner):
    """Ends are acknowledged before their record is read from the log."""

    def _on_end_listed(self, worker, assignment, listing, now):
        super()._on_end_listed(worker, assignment, listing, now)
        worker.acks.add(listing["task"])


class StopOnce(jobs.PoolOwner):
    """A cancelled task is forgotten as soon as the stop is sent."""

    def sync_request(self, name, now, valid_until):
        request = super().sync_request(name, now, valid_until)
        if request is not None:
            worker = self._workers[name]
            for stop in request["stop"]:
                assignment = worker.assignments.get(stop["task"])
                if assignment is not None:
                    self._remove_assignment(worker, assignment)
        return request


class NoValidityCheck(jobs.PoolOwner):
    """Requests are sent after the end of the owner's validity."""

    def sync_request(self, name, now, valid_until):
        return super().sync_request(name, now, now + worlds.VALIDITY)

    def tick(self, now, valid_until):
        return super().tick(now, now + worlds.VALIDITY)


class NoIntent(jobs.PoolOwner):
    """Tasks that must run once are started without an intent record."""

    def _on_start(self, action, now):
        super()._on_start(action, now)
        assignment = self._assigned.get((action.job, action.index))
        if assignment is not None and assignment.phase == "intent":
            assignment.phase = "ready"
            del self._intent_append_at[assignment.task]


class ClockReadAtSend(jobs.PoolOwner):
    """The worker's clock counts as read when the request was sent."""

    def on_reply(self, name, reply, sent_at, now):
        used = super().on_reply(name, reply, sent_at, now)
        if used:
            self._workers[name].clock_read_at = sent_at
        return used


class RequeuedBeforeStop(jobs.PoolOwner):
    """A task on a leaving worker is queued again before it has stopped."""

    def _interrupt_task(self, assignment, interrupted, now):
        super()._interrupt_task(assignment, interrupted, now)
        if assignment.stop_order is not None and self._assigned.pop(
            assignment.task_key, None
        ):
            self._requeue(assignment.job, assignment.task_key[1], now, 0.0)


class RecoveredBeforeLists(jobs.PoolOwner):
    """Tasks that are not found count as ended before all lists are read."""

    def _all_tasks_found(self, now):
        for worker in self._workers.values():
            worker.task_list_read, worker.list_request_sent_at = True, now
        return super()._all_tasks_found(now)


class UnlistedForgotten(jobs.PoolOwner):
    """A worker that has left the VM list counts as having no tasks."""

    def _all_tasks_found(self, now):
        self._worker_unlisted_at = -math.inf
        return super()._all_tasks_found(now)


class CrashNotRecorded(jobs.PoolOwner):
    """A crash of a worker is not recorded for the tasks that ran there."""

    def _record_crash(self, run, crash, now):
        pass


class SilenceCounted(jobs.PoolOwner):
    """A lease that ends on a silent worker counts as a crash."""

    def _expire_assignments(self, now):
        before = {
            assignment.task: (worker, assignment)
            for worker in self._workers.values()
            for assignment in worker.assignments.values()
            if assignment.may_have_run
        }
        super()._expire_assignments(now)
        for task, (worker, assignment) in before.items():
            run = self._run_of(assignment)
            if task not in worker.assignments and run is not None:
                self._record_crash(run, self._crashes.unseen(worker), now)


def machine_with(owner_class):
    """Return a fault machine that uses another owner class."""
    return type("Mutated", (machine.Machine,), {"owner_class": owner_class})


class RelativeLease(machine.Machine):
    """The first lease of a task counts from the receipt of the start."""

    relative_lease = True


MACHINES = {
    "unknown tasks not counted": machine_with(UnknownNotCounted),
    "restart without waiting for the lease": machine_with(NoLeaseWait),
    "lost start reply ignored": machine_with(LostReplyIgnored),
    "renewal without reply ignored": machine_with(RenewalIgnored),
    "task lists from before the ownership": machine_with(StaleList),
    "acknowledgement before the record": machine_with(EarlyAck),
    "stop sent only once": machine_with(StopOnce),
    "requests after the end of validity": machine_with(NoValidityCheck),
    "start without intent": machine_with(NoIntent),
    "release before all lists are read": machine_with(RecoveredBeforeLists),
    "workers that left the list forgotten": machine_with(UnlistedForgotten),
    "relative lease": RelativeLease,
    "lease mapped from the send time": machine_with(ClockReadAtSend),
    "replacement before the move": machine_with(RequeuedBeforeStop),
    "crash not recorded": machine_with(CrashNotRecorded),
    "silence counted as a crash": machine_with(SilenceCounted),
}
