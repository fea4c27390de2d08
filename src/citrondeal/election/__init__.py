"""Election of the process that owns the cell, by claims in a shared log."""

from citrondeal.election import _confirmation
from citrondeal.election import _election

__all__ = ["Claim", "ClaimDelay", "Confirmation", "Election", "claim_delay"]

Claim = _election.Claim
ClaimDelay = _election.ClaimDelay
Confirmation = _confirmation.Confirmation
Election = _election.Election
claim_delay = _election.claim_delay
