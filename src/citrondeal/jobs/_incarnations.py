"""Recorded incarnations of the workers of a zone.

A new owner that finds another ``boot_id`` than the recorded one knows that the
worker has restarted at the change of the owner, where nobody has seen it.
"""

from citrondeal import numbers

MAX_TEXT_CHARS = 256


class Incarnations:
    """The ``boot_id`` of each worker, as the records of the stream say it."""

    def __init__(self):
        # Worker -> [epoch of the record, boot_id].
        self._by_worker = {}
        self._unseen_changes = 0
        self._counted_epoch = 0

    @property
    def unseen_changes(self):
        """Changes of the owner at which a worker restarted unseen."""
        return self._unseen_changes

    @property
    def workers(self):
        """Names of the workers with a recorded ``boot_id``; not a copy."""
        return self._by_worker.keys()

    def boot_id(self, worker):
        """Return the recorded ``boot_id`` of a worker, or None."""
        return self._by_worker.get(worker, (0, None))[1]

    def apply(self, record):
        """Apply an ``incarnations`` record.

        Parameters
        ----------
        record : dict
            ``epoch`` of the owner, ``workers`` with the ``boot_id`` by name,
            null for a worker that has left, and ``unseen``.

        Raises
        ------
        ValueError
            If the record is malformed.
        """
        epoch, workers = record.get("epoch"), record.get("workers")
        if not (numbers.is_finite(epoch) and isinstance(workers, dict)):
            raise ValueError("incarnations need an epoch and workers")
        texts = [*workers, *(v for v in workers.values() if v is not None)]
        for text in texts:
            if not isinstance(text, str) or len(text) > MAX_TEXT_CHARS:
                raise ValueError(
                    "a worker and its boot_id must be strings of at most"
                    f" {MAX_TEXT_CHARS} characters"
                )
        for worker, boot_id in workers.items():
            self._set(worker, epoch, boot_id)
        if record.get("unseen") is True and epoch > self._counted_epoch:
            self._counted_epoch = epoch
            self._unseen_changes += 1

    def _set(self, worker, epoch, boot_id):
        if self._by_worker.get(worker, (0,))[0] > epoch:
            # A record of an earlier owner came late.
            return
        if boot_id is None:
            self._by_worker.pop(worker, None)
        else:
            self._by_worker[worker] = [epoch, boot_id]

    def to_state(self):
        """Return the incarnations for a snapshot."""
        return {
            "workers": {k: list(v) for k, v in self._by_worker.items()},
            "unseen_changes": self._unseen_changes,
            "counted_epoch": self._counted_epoch,
        }

    @classmethod
    def from_state(cls, state):
        """Return the incarnations from a snapshot.

        Raises
        ------
        KeyError, TypeError, ValueError
            If the state is malformed.
        """
        found = cls()
        for worker, (epoch, boot_id) in state["workers"].items():
            found._by_worker[worker] = [epoch, boot_id]
        found._unseen_changes = int(state["unseen_changes"])
        found._counted_epoch = state["counted_epoch"]
        return found


class Recorder:
    """Finds what the records lack, for one owner.

    Parameters
    ----------
    retry_s : float
        Time after which a record that has not been read is repeated.
    """

    def __init__(self, retry_s):
        self._retry_s = retry_s
        # Worker -> (boot_id, time of the next append).
        self._appended = {}
        # Workers of which this owner has read an incarnation that it heard.
        self._read = set()

    def due_record(self, recorded, workers, epoch, now):
        """Return the ``incarnations`` record to append, or None.

        Parameters
        ----------
        recorded : Incarnations
        workers : dict of str to _assignments.Worker
            All workers, by name.
        epoch : int
            Epoch of the owner.
        now : float
            Monotonic seconds.
        """
        due = {}
        has_unseen = False
        for name, worker in workers.items():
            known = recorded.boot_id(name)
            if worker.boot_id is None or worker.unlisted:
                continue
            if worker.boot_id == known:
                self._read.add(name)
            elif self._take(name, worker.boot_id, now):
                due[name] = worker.boot_id
                seen = name in self._read or worker.drained
                has_unseen |= known is not None and not seen
        for name in recorded.workers - workers.keys():
            if self._take(name, None, now):
                due[name] = None
        if not due:
            return None
        return {
            "kind": "incarnations",
            "epoch": epoch,
            "workers": due,
            "unseen": has_unseen,
        }

    def _take(self, name, boot_id, now):
        """Return whether an append is due, and note it."""
        appended, repeat_at = self._appended.get(name, (None, now))
        if appended == boot_id and now < repeat_at:
            return False
        self._appended[name] = (boot_id, now + self._retry_s)
        return True
