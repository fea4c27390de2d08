"""Election of the process that owns the cell, by claims in a shared log."""

from citrondeal.election import _confirmation
from citrondeal.election import _election

__all__ = ["Claim", "Confirmation", "Election", "claim_delay_s"]

Claim = _election.Claim
Confirmation = _confirmation.Confirmation
Election = _election.Election
claim_delay_s = _election.claim_delay_s
