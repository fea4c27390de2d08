"""Versions of the owner with one rule removed; the machine must fail."""

import math

from citrondeal import jobs
from citrondeal.jobs.tests import machine


class UnknownNotCounted(jobs.PoolOwner):
    """Tasks that are found on a worker do not occupy it."""

    def _adopt(self, worker, listing, size, now):
        assignment = super()._adopt(worker, listing, size, now)
        self._pool.release(worker.info.name, assignment.allotment_key)
        return assignment


class NoLeaseWait(jobs.PoolOwner):
    """Tasks that are not found are restarted at once."""

    def on_gained(self, epoch, previous_until, now):
        super().on_gained(epoch, -math.inf, now)


class LostReplyIgnored(jobs.PoolOwner):
    """A start whose reply was lost does not occupy its place."""

    def on_exchange_failed(self, name, now):
        worker = self._workers.get(name)
        starting = worker.pending_starts if worker is not None else ()
        super().on_exchange_failed(name, now)
        for assignment in starting:
            self._on_not_running(worker, assignment, False, now)


class RenewalIgnored(jobs.PoolOwner):
    """The end of a lease is not moved by a renewal without reply."""

    def _add_renewal(self, worker, assignment, renewals, now):
        before = assignment.lease_end
        super()._add_renewal(worker, assignment, renewals, now)
        assignment.lease_end = before


class StaleList(jobs.PoolOwner):
    """Lists that were read before the ownership count as read."""

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
    """Ended tasks are acknowledged before the record is read back."""

    def _on_end_listed(self, worker, assignment, listing, now):
        super()._on_end_listed(worker, assignment, listing, now)
        worker.acks.add(listing["task"])


class StopOnce(jobs.PoolOwner):
    """A cancelled task is forgotten when the stop has been sent."""

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
    """Requests are built after the end of our own validity."""

    def sync_request(self, name, now, valid_until):
        return super().sync_request(name, now, now + machine.VALIDITY)

    def tick(self, now, valid_until):
        return super().tick(now, now + machine.VALIDITY)


class NoIntent(jobs.PoolOwner):
    """Tasks that must run once are started without a record."""

    def _on_start(self, action, now):
        super()._on_start(action, now)
        assignment = self._assigned.get((action.job, action.index))
        if assignment is not None and assignment.phase == "intent":
            assignment.phase = "ready"
            del self._intent_append_at[assignment.task]


class LeaseFromSend(jobs.PoolOwner):
    """The worker's clock is taken to be read at the send of the poll."""

    def on_reply(self, name, reply, sent_at, now):
        used = super().on_reply(name, reply, sent_at, now)
        if used:
            self._workers[name].clock_read_at = sent_at
        return used


class FirstPlaceForgotten(jobs.PoolOwner):
    """A task is queued again while it still has a place."""

    def _interrupt_task(self, assignment, interrupted, now):
        super()._interrupt_task(assignment, interrupted, now)
        if assignment.stop_order is not None and self._assigned.pop(
            assignment.task_key, None
        ):
            self._requeue(assignment.job, assignment.task_key[1], now, 0.0)


class ReleaseBeforeRead(jobs.PoolOwner):
    """Tasks that are not found count as ended before all lists are read."""

    def _all_tasks_found(self, now):
        for worker in self._workers.values():
            worker.task_list_read, worker.list_request_sent_at = True, now
        return super()._all_tasks_found(now)


class UnlistedForgotten(jobs.PoolOwner):
    """A worker that has left the list counts as without tasks."""

    def _all_tasks_found(self, now):
        self._worker_unlisted_at = -math.inf
        return super()._all_tasks_found(now)


def mutated(owner_class):
    """Return the machine with another owner class."""
    return type("Mutated", (machine.Machine,), {"owner_class": owner_class})


class RelativeLease(machine.Machine):
    """Leases of starts count from their receipt."""

    relative_lease = True


MACHINES = {
    "unknown tasks not counted": mutated(UnknownNotCounted),
    "restart without waiting for the lease": mutated(NoLeaseWait),
    "lost start reply ignored": mutated(LostReplyIgnored),
    "renewal without reply ignored": mutated(RenewalIgnored),
    "task lists from before the ownership": mutated(StaleList),
    "acknowledgement before the record": mutated(EarlyAck),
    "stop sent only once": mutated(StopOnce),
    "requests after the end of validity": mutated(NoValidityCheck),
    "start without intent": mutated(NoIntent),
    "release before all lists are read": mutated(ReleaseBeforeRead),
    "workers that left the list forgotten": mutated(UnlistedForgotten),
    "relative lease": RelativeLease,
    "lease mapped from the send time": mutated(LeaseFromSend),
    "replacement before the move": mutated(FirstPlaceForgotten),
}
