"""Records of the request ids of one gateway, and their retention."""

import collections

from citrondeal.dedup import _answer_cache
from citrondeal.dedup import _idempotent
from citrondeal.dedup import _model
from citrondeal.dedup import _records

# Records examined per new record to find one to evict. Records in progress
# are never evicted, and there can be as many of them as the queues hold.
_EVICTION_SCAN_LIMIT = 16
_DUMPED_IDS_LIMIT = 50
_UNBOUNDED_AGE_S = 3.2e8  # ten years: older than any id


class RecordStore:
    """Records of request ids, and the gateways that may know of them.

    It is the base of all parts of a `Ledger`, which describes the
    parameters.
    """

    def __init__(self, process, incarnation, zone, now, config=None):
        self._process = process
        self._incarnation = incarnation
        self._zone = zone
        self._config = config or _model.Config()
        self._started_at = now
        self._complete_since = now
        self._gateways = {}
        # process -> time at which it left the list of gateways
        self._departed = {}
        # process -> (incarnation, complete since, time of the import)
        self._inherited = {}
        # process -> time until which it is asked as witness last
        self._suspects = {}
        self._shared_witnessed = {}
        self._records = collections.OrderedDict()
        self._answer_cache = _answer_cache.AnswerCache(
            self._config.answer_bytes
        )
        self._idempotent = _idempotent.IdempotentRequests(
            self._config.window_s
        )
        self._call_number = 0
        self._is_closed = False
        self._forgotten = 0

    @property
    def process(self):
        """Name of this gateway."""
        return self._process

    @property
    def incarnation(self):
        """Incarnation of this gateway."""
        return self._incarnation

    @property
    def _authoritative_since(self):
        """Time since which this memory covers all calls to the process name.

        For `skew_s` after the start, other gateways may still send to a
        predecessor that was replaced while it was paused.
        """
        started_at = self._started_at + self._config.skew_s
        return max(self._complete_since, started_at)

    def __len__(self):
        return len(self._records)

    def mark_first_incarnation(self, now):
        """Record that this gateway has had no earlier incarnation.

        The memory is then complete for ids of any age.
        """
        self._complete_since = min(
            self._complete_since, now - _UNBOUNDED_AGE_S
        )

    def set_gateways(self, gateways, now):
        """Replace the list of gateways of the cell.

        Unreachable gateways must stay in the list as long as the VM list
        names them: a claim that was not sent to a gateway proves nothing
        about that gateway.

        Parameters
        ----------
        gateways : dict of str to str
            Zone by process name; this gateway may be included.
        now : float
            Monotonic seconds.
        """
        others = {k: v for k, v in gateways.items() if k != self._process}
        for name in self._gateways.keys() - others.keys():
            self._departed[name] = now
        for name in others:
            self._departed.pop(name, None)
        self._gateways = others
        return []

    def tick(self, now):
        """Remove expired records; call about once a second."""
        keep_s = self._keep_s
        while self._records:
            request_id, record = next(iter(self._records.items()))
            if record.touched_at + keep_s > now:
                break
            if record.active is not None:
                record.touched_at = now
                self._records.move_to_end(request_id)
                continue
            self._forget(request_id)
        for name, since in list(self._departed.items()):
            if since + keep_s <= now:
                del self._departed[name]
        for name, (_, _, imported_at) in list(self._inherited.items()):
            if imported_at + keep_s <= now:
                del self._inherited[name]
        return []

    def dump(self):
        """Return counts and some of the latest ids in progress."""
        states = collections.Counter(
            record.state.name.lower() for record in self._records.values()
        )
        active = []
        for request_id, record in reversed(self._records.items()):
            if len(active) >= _DUMPED_IDS_LIMIT:
                break
            if record.active is not None:
                name = record.state.name.lower()
                active.append([request_id, name, record.attempt])
        return {
            "process": self._process,
            "incarnation": self._incarnation,
            "complete_since": self._complete_since,
            "gateways": sorted(self._gateways),
            "departed": sorted(self._departed),
            "inherited": sorted(self._inherited),
            "ids": len(self._records),
            "forgotten": self._forgotten,
            "states": dict(sorted(states.items())),
            "answers": len(self._answer_cache),
            "answer_bytes": self._answer_cache.size_bytes,
            "idempotent": len(self._idempotent),
            "in_progress": active,
        }

    @property
    def _keep_s(self):
        """Seconds for which a record is kept after its last use."""
        return self._config.window_s + self._config.margin_s

    def _new_record(self, request_id, now):
        self._records[request_id] = record = _records.Record(now)
        self._evict_oldest(request_id)
        return record

    def _evict_oldest(self, request_id):
        for _ in range(_EVICTION_SCAN_LIMIT):
            if len(self._records) <= self._config.max_ids:
                return
            oldest, record = next(iter(self._records.items()))
            if record.active is not None or oldest == request_id:
                self._records.move_to_end(oldest)
                continue
            # The memory is no longer complete for ids that were last used
            # at this time or earlier.
            self._forgotten += 1
            self._complete_since = max(self._complete_since, record.touched_at)
            self._forget(oldest)

    def _forget(self, request_id):
        del self._records[request_id]
        self._answer_cache.discard(request_id)

    def _touch(self, request_id, record, now):
        record.touched_at = now
        self._records.move_to_end(request_id)

    def _conclude(self, request_id, record, state, now):
        record.state = state
        record.active = None
        self._touch(request_id, record, now)

    def _active_record(self, request_id, number, state):
        record = self._records.get(request_id)
        if record is None or record.active is None or record.state != state:
            return None
        return record if record.active.call_number == number else None

    def _own_status(self, record):
        if record.state == _records.State.DONE:
            return _model.ExecutionStatus.DONE
        if record.state == _records.State.UNKNOWN:
            return _model.ExecutionStatus.UNKNOWN
        if record.state == _records.State.DISPATCHED:
            return _model.ExecutionStatus.RUNNING
        return None

    def _inherited_at(self, now):
        rows = []
        for process, row in self._inherited.items():
            incarnation, since, imported_at = row
            if self._complete_since >= imported_at:
                # Imported records may have been evicted since.
                since = max(since, self._complete_since)
            rows.append((process, incarnation, now - since))
        return rows
