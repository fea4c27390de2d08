"""Ledgers that lack one rule each; the tests must reject every one."""

from citrondeal import dedup
from citrondeal.dedup import _records

_READY = _records.State.READY


class NoWitness(dedup.Ledger):
    """Dispatches without an intent at a second gateway."""

    def _ask_witness(self, request_id, record, now):
        record.state = _READY
        return [dedup.Ready(request_id)]


class RestartIgnored(dedup.Ledger):
    """Reports a complete memory after each restart."""

    def __init__(self, process, incarnation, zone, now, config=None):
        super().__init__(process, incarnation, zone, now, config)
        self._started_at = self._complete_since = 0.0


class BarIgnoredInQueue(dedup.Ledger):
    """Records a claim, but does not end an attempt that waits here."""

    def _supersede(self, request_id, record, attempt, now):
        if record.state in _records.WAITING:
            return []
        return super()._supersede(request_id, record, attempt, now)


class NoTieBreak(dedup.Ledger):
    """Answers "not seen" to a concurrent claim and continues its own."""

    def _denies_claim(self, record, claim):
        if record.state == _records.State.CLAIMING:
            return False
        return super()._denies_claim(record, claim)

    def _record_claim(self, request_id, record, claim, now):
        if record.state != _records.State.CLAIMING:
            return super()._record_claim(request_id, record, claim, now)
        source = (claim.process, claim.incarnation)
        record.active.ended_claims[source] = claim.number
        return []


class BothYield(dedup.Ledger):
    """Yields to every concurrent claim, whatever the process names."""

    def _denies_claim(self, record, claim):
        if record.state == _records.State.CLAIMING:
            return False
        return super()._denies_claim(record, claim)


class NoWatermark(dedup.Ledger):
    """Evicts ids at `max_ids` and still reports a complete memory."""

    def _evict_oldest(self, request_id):
        since = self._complete_since
        super()._evict_oldest(request_id)
        self._complete_since = since


class NoFence(dedup.Ledger):
    """Replies to a fence, but still accepts the fenced forward later."""

    def _record_fence(self, request_id, record, claim, now):
        return []


class StaleIntents(dedup.Ledger):
    """Accepts intents of claimants although others claimed the id since."""

    def _permit_verdict(self, record, permit, now):
        reply = super()._permit_verdict(record, permit, now)
        if reply.verdict == dedup.Verdict.BARRED and permit.claim:
            return dedup.IntentReply(dedup.Verdict.ACCEPTED)
        return reply


class RefusalsForgotten(dedup.Ledger):
    """Does not tell claimants that a newer attempt was refused as not run."""

    def _claim_reply(self, request_id, record, claim, denied, now):
        record.refused = 0
        return super()._claim_reply(request_id, record, claim, denied, now)


class YoungWitness(dedup.Ledger):
    """Witnesses ids that may have been claimed before its restart."""

    def _permit_verdict(self, record, permit, now):
        reply = super()._permit_verdict(record, permit, now)
        if reply.verdict == dedup.Verdict.YOUNG:
            return dedup.IntentReply(dedup.Verdict.ACCEPTED)
        return reply
