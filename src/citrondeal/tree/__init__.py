"""Settings tree: state of the log stream ``tree``, inheritance, history."""

from citrondeal.tree import _branches
from citrondeal.tree import _limits
from citrondeal.tree import _outcomes
from citrondeal.tree import _records
from citrondeal.tree import _tree
from citrondeal.tree import schema

__all__ = [
    "Edit",
    "EffectiveValue",
    "Limits",
    "Outcome",
    "ReasonCode",
    "Tree",
    "Verdict",
    "Winner",
    "edit_record",
    "schema",
]

Edit = _records.Edit
EffectiveValue = _branches.EffectiveValue
Limits = _limits.Limits
Outcome = _outcomes.Outcome
ReasonCode = _outcomes.ReasonCode
Tree = _tree.Tree
Verdict = _outcomes.Verdict
Winner = _outcomes.Winner
edit_record = _records.edit_record
