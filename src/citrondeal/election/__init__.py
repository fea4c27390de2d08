"""Election of the process that owns the cell, by claims in a shared log."""

from citrondeal.election import _election

__all__ = ["Claim", "Election", "claim_delay_s"]

Claim = _election.Claim
Election = _election.Election
claim_delay_s = _election.claim_delay_s
