"""Schema of the settings tree: paths, keys and values.

The parts are divided over `_paths`, `_keys` and `_values`; other packages use
them from here.
"""

from citrondeal.tree import _keys
from citrondeal.tree import _paths
from citrondeal.tree import _values

__all__ = [
    "CONTAINERS",
    "INTERDEPENDENT_KEYS",
    "KEYS",
    "Key",
    "PathKind",
    "ValueType",
    "children_prefix",
    "check_value",
    "keys_of",
    "kind_of",
    "normalize_path",
    "parents_of",
    "parse_value",
    "violation_of",
]

CONTAINERS = _paths.CONTAINERS
INTERDEPENDENT_KEYS = _values.INTERDEPENDENT_KEYS
KEYS = _keys.KEYS
Key = _keys.Key
PathKind = _paths.PathKind
ValueType = _keys.ValueType
children_prefix = _paths.children_prefix
check_value = _values.check_value
keys_of = _keys.keys_of
kind_of = _paths.kind_of
normalize_path = _paths.normalize_path
parents_of = _paths.parents_of
parse_value = _values.parse_value
violation_of = _values.violation_of
