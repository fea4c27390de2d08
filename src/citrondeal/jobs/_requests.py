"""Requests to the workers: starts, renewals, stops, acknowledgements."""

import math

from citrondeal.jobs import _assignments


class Requests:
    """Composes the requests to workers, and tells when they are due.

    Parameters
    ----------
    state : OwnerState
    """

    def __init__(self, state):
        self._state = state

    def compose(self, worker, add_renewal, now, valid_until):
        """Return the body of the next request to a worker.

        Parameters
        ----------
        worker : _assignments.Worker
        add_renewal : callable
            ``add_renewal(worker, assignment, renewals, now)``, as
            `add_renewal`.
        now, valid_until : float
            Monotonic seconds; the end of the validity of the ownership.

        Returns
        -------
        dict
        """
        starts, renewals, stops = [], [], []
        starting = []
        for assignment in list(worker.assignments.values()):
            if assignment.phase in (_assignments.INTENT, _assignments.READY):
                if not self._state.should_run(assignment):
                    self._state.remove_assignment(worker, assignment)
                elif (
                    assignment.phase == _assignments.READY and worker.answering
                ):
                    left = valid_until - now
                    age = now - worker.clock_read_at
                    if (
                        left >= self._state.config.min_lease_s
                        and age <= self._state.config.clock_age_s
                    ):
                        starts.append(
                            self._start_request(
                                worker, assignment, valid_until
                            )
                        )
                        starting.append(assignment)
                continue
            if not self._state.should_run(assignment):
                assignment.stop_order = "stop"
            if assignment.stop_order is not None:
                stops.append(
                    {"task": assignment.task, "how": assignment.stop_order}
                )
            if assignment.phase == _assignments.RUNNING and worker.answering:
                if assignment.stop_order != "stop":
                    add_renewal(worker, assignment, renewals, now)
        worker.pending_request_at = now
        worker.last_request_at = now
        worker.pending_starts = starting
        if starts or stops or worker.acks:
            worker.busy_until = now + self._state.config.busy_s
        return {
            "boot_id": worker.boot_id or "",
            "starts": starts,
            "renew": renewals,
            "stop": stops,
            "ack": sorted(worker.acks),
        }

    def _start_request(self, worker, assignment, valid_until):
        # The worker read `clock_s` no later than `clock_read_at`, when the
        # reply was received, so that this lease cannot end after our own
        # validity, however long the reply took.
        until = worker.clock_s + (valid_until - worker.clock_read_at)
        assignment.phase = _assignments.SENT
        assignment.boot_id = worker.boot_id
        assignment.lease_end = valid_until
        assignment.start_unanswered_until = valid_until
        job = assignment.job
        cores, memory_mb, accelerators = job.work.size
        return {
            "task": assignment.task,
            "job": job.id,
            "cores": cores / 1000,
            "memory_mb": memory_mb,
            "accelerators": accelerators,
            "run_time_s": job.work.run_time_s,
            "lease_until": until,
            "command": job.command,
        }

    def add_renewal(self, worker, assignment, renewals, now):
        """Renew the lease of a task if it is old enough."""
        if now - assignment.renewed_at < self._state.config.renew_after_s:
            return
        ttl = self._state.config.task_ttl_s
        until = worker.clock_s + (now - worker.clock_read_at) + ttl
        assignment.renewed_at = now
        assignment.lease_end = max(assignment.lease_end, now + ttl)
        renewals.append({"task": assignment.task, "lease_until": until})

    def due_workers(self, now):
        """Return the workers with which an exchange is due.

        A worker is due at once if there is a start, a stop or a first
        renewal to send, every `poll_s` if it is busy or does not answer,
        and every `idle_poll_s` otherwise.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        list of str
            Names, without the workers whose reply is outstanding.
        """
        names = []
        for name, worker in self._state.workers.items():
            if worker.unlisted or worker.pending_request_at is not None:
                continue
            age = now - worker.last_request_at
            busy = now < worker.busy_until or not worker.answering
            period = self._state.config.idle_poll_s
            if busy:
                period = self._state.config.poll_s
            if age >= period or self._needs_exchange(worker, now):
                names.append(name)
        return names

    def _needs_exchange(self, worker, now):
        if not worker.answering:
            return False
        settled = now - self._state.config.first_renewal_s
        for assignment in worker.assignments.values():
            if (
                assignment.listed_at <= settled
                and assignment.renewed_at == -math.inf
            ):
                return True
            if assignment.phase == _assignments.READY:
                return True
            if assignment.stop_order is None and not self._state.should_run(
                assignment
            ):
                return True
        return False
