"""Handover of the records of a gateway that leaves."""

from citrondeal.dedup import _model
from citrondeal.dedup import _records
from citrondeal.dedup import _store


class Handover(_store.RecordStore):
    """Export and import of records."""

    def export(self, now):
        """Stop accepting ids and return the records for another gateway.

        Call this when no request is in progress here any more. A request
        that is still dispatched is exported as unknown; one that still
        waits gets no permission from `prepare`, `forward` or `start`, and
        `not_run` refuses it.

        Returns
        -------
        dict
            State for `import_records`. It can be encoded as JSON except
            for the answers, which are returned as given to `completed`.
        """
        self._is_closed = True
        records = []
        for request_id, record in self._records.items():
            own_status = self._own_status(record)
            process_status = dict(record.process_status or {})
            if (
                record.active is not None
                and record.state in _records.FORWARDING
            ):
                _records.merge_status(
                    process_status,
                    record.active.forward_target,
                    _model.ExecutionStatus.WITNESSED,
                )
            if own_status == _model.ExecutionStatus.RUNNING:
                own_status = _model.ExecutionStatus.UNKNOWN
            if own_status is None and record.state != _records.State.NONE:
                own_status = _model.ExecutionStatus.REFUSED
            if own_status is not None:
                process_status[(self._process, self._incarnation)] = own_status
            records.append(
                {
                    "id": request_id,
                    "age_s": now - record.touched_at,
                    "refused": record.refused,
                    "holders": [
                        [*k, v.value] for k, v in process_status.items()
                    ],
                    "claims": [
                        [*k, *v] for k, v in (record.claims or {}).items()
                    ],
                    "answer": self._answer_cache.get(request_id),
                }
            )
        return {
            "process": self._process,
            "incarnation": self._incarnation,
            "up_for_s": now - self._authoritative_since,
            "inherited": [list(k) for k in self._inherited_at(now)],
            "records": records,
        }

    def import_records(self, state, now):
        """Import the records of a gateway that leaves.

        Parameters
        ----------
        state : dict
            Result of `export`.
        now : float
            Monotonic seconds, at or after the end of the transfer.
        """
        sources = [
            (state["process"], state["incarnation"], state["up_for_s"]),
            *state["inherited"],
        ]
        for process, incarnation, up_for_s in sources:
            self._inherited[process] = (incarnation, now - up_for_s, now)
        for row in state["records"]:
            if row["age_s"] >= self._keep_s:
                continue
            request_id = row["id"]
            record = self._records.get(request_id)
            if record is None:
                record = self._new_record(request_id, now)
            self._touch(request_id, record, now)
            record.refused = max(record.refused, row["refused"])
            for process, incarnation, status in row["holders"]:
                record.process_status = dict(record.process_status or {})
                key = (process, incarnation)
                _records.merge_status(
                    record.process_status, key, _model.ExecutionStatus(status)
                )
            for *key, number, attempt in row["claims"]:
                claims = record.claims = record.claims or {}
                known = claims.get(tuple(key), (0, 0))
                claims[tuple(key)] = max(known, (number, attempt))
            cached = row["answer"]
            if cached is not None:
                self._answer_cache.put(request_id, cached[0], cached[1])
        return []
