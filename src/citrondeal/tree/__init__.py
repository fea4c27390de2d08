"""Settings tree: state of the log stream ``tree``, inheritance, history."""

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
EffectiveValue = _tree.EffectiveValue
Limits = _tree.Limits
Outcome = _tree.Outcome
ReasonCode = _tree.ReasonCode
Tree = _tree.Tree
Verdict = _tree.Verdict
Winner = _tree.Winner
edit_record = _records.edit_record
