"""Deduplication of request ids across the gateways of a cell.

A non-idempotent request runs at most once, and a request that is refused
as "not run" has not run. `Ledger` holds the request ids of one gateway; it
does no I/O, and equal events give equal actions. Its rules and their limits
are described in ``docs/at-most-once.md``.
"""

from citrondeal.dedup import _ledger
from citrondeal.dedup import _model

__all__ = [
    "ID_WINDOW_S",
    "Answer",
    "Claim",
    "ClaimReply",
    "Config",
    "Dispatch",
    "Drop",
    "ExecutionStatus",
    "IntentReply",
    "Join",
    "Ledger",
    "Permit",
    "Proceed",
    "Ready",
    "Refuse",
    "RejectForward",
    "SendClaimReply",
    "SendClaims",
    "SendForward",
    "SendIntent",
    "SendIntentReply",
    "Verdict",
    "created_unix",
]

ID_WINDOW_S = _model.ID_WINDOW_S
Answer = _model.Answer
Claim = _model.Claim
ClaimReply = _model.ClaimReply
Config = _model.Config
Dispatch = _model.Dispatch
Drop = _model.Drop
ExecutionStatus = _model.ExecutionStatus
IntentReply = _model.IntentReply
Join = _model.Join
Ledger = _ledger.Ledger
Permit = _model.Permit
Proceed = _model.Proceed
Ready = _model.Ready
Refuse = _model.Refuse
RejectForward = _model.RejectForward
SendClaimReply = _model.SendClaimReply
SendClaims = _model.SendClaims
SendForward = _model.SendForward
SendIntent = _model.SendIntent
SendIntentReply = _model.SendIntentReply
Verdict = _model.Verdict
created_unix = _model.created_unix
