"""Existing branches of the settings tree, and what nodes inherit from them."""

import dataclasses

from citrondeal.tree import _outcomes
from citrondeal.tree import schema

MAX_CACHED_NODES = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class EffectiveValue:
    """Value of a key at a node, own or inherited.

    Attributes
    ----------
    value : bool, int, float or str
        The value.
    origin : str or None
        Path of the branch that sets it; None for the default.
    version : int
        Version of that branch after the edit that set the value; 0 for the
        default.
    """

    value: object
    origin: str | None
    version: int


@dataclasses.dataclass(slots=True)
class Branch:
    """Existing branch; `values` maps each own key to ``(value, version)``."""

    version: int
    winner: _outcomes.Winner
    values: dict


class Branches:
    """Existing branches by path; at first only the root."""

    def __init__(self):
        root = Branch(0, _outcomes.Winner("", 0, ""), {})
        self._branches = {"/": root}
        self._cache = {}

    def __contains__(self, path):
        return path in self._branches

    def __len__(self):
        return len(self._branches)

    def get(self, path):
        """Return the branch with this path, or None."""
        return self._branches.get(path)

    def put(self, path, branch):
        """Add or replace a branch."""
        self._branches[path] = branch
        self._cache.clear()

    def remove(self, path):
        """Remove a branch."""
        del self._branches[path]
        self._cache.clear()

    def items(self):
        """Return pairs of path and branch, in the order of creation."""
        return self._branches.items()

    def restore(self, branches):
        """Replace all branches by those of a snapshot."""
        if "/" not in branches:
            raise ValueError("snapshot has no branch /")
        self._branches = branches
        self._cache.clear()

    def values(self, path):
        """Return the effective values of a node without their origins.

        Parameters
        ----------
        path : str
            Node.

        Returns
        -------
        dict of str to object or None
            Shared by all callers, which must not modify it; None if the
            node does not exist.
        """
        found = self._cache.get(path)
        if found is not None:
            return found
        resolved = self.resolve(path)
        if resolved is None:
            return None
        if len(self._cache) >= MAX_CACHED_NODES:
            self._cache.clear()
        found = {name: item.value for name, item in resolved.items()}
        self._cache[path] = found
        return found

    def resolve(self, path):
        """Return the effective values of a node with their origins.

        Parameters
        ----------
        path : str
            Path of the node.

        Returns
        -------
        dict of str to EffectiveValue or None
            One item for each key that the kind of path accepts; None if the
            node does not exist.
        """
        if path not in self._branches:
            return None
        return self.effective_values(path)

    def effective_values(self, path):
        """Return the effective values of a node that need not exist.

        Parameters
        ----------
        path : str
            Any path.

        Returns
        -------
        dict of str to EffectiveValue or None
            None if no node can have this path.
        """
        kind = schema.kind_of(path)
        if kind is None:
            return None
        chain = [
            (origin, self._branches[origin].values)
            for origin in (path, *schema.parents_of(path))
            if origin in self._branches
        ]
        resolved = {}
        for name, key in schema.keys_of(kind).items():
            for origin, values in chain:
                if name in values:
                    resolved[name] = EffectiveValue(
                        values[name][0], origin, values[name][1]
                    )
                    break
            else:
                resolved[name] = EffectiveValue(key.default, None, 0)
        return resolved

    def paths(self, below="/"):
        """Return the existing paths at and below a path, sorted."""
        prefix = schema.children_prefix(below)
        return sorted(
            path
            for path in self._branches
            if path == below or path.startswith(prefix)
        )

    def children(self, path):
        """Return the existing paths directly below a path, sorted."""
        parts = 2 if path == "/" else path.count("/") + 1
        prefix = schema.children_prefix(path)
        return sorted(
            other
            for other in self._branches
            if other != path
            and other.startswith(prefix)
            and other.count("/") == parts
        )

    def own_values_after(self, edit, values, version):
        """Return the own values of a branch after an edit of it."""
        branch = self._branches.get(edit.path)
        own_values = {} if branch is None else dict(branch.values)
        for name in edit.unset:
            own_values.pop(name, None)
        for name, value in values.items():
            own_values[name] = (value, version)
        return own_values

    def own_settings(self, below):
        """Return versions and own values of the branches, JSON-ready."""
        return {
            path: {
                "version": self._branches[path].version,
                "set": {
                    name: value
                    for name, (value, _) in sorted(
                        self._branches[path].values.items()
                    )
                },
            }
            for path in self.paths(below)
        }

    def restricted_below(self, path):
        """Return the paths below `path` with own interdependent keys, sorted.

        Only interdependent keys can make a node invalid without an edit of
        its own.  A node that sets none of them inherits all of them from the
        branch above it; this leaves few nodes to check after an edit.
        """
        prefix = schema.children_prefix(path)
        return sorted(
            other
            for other, branch in self._branches.items()
            if not schema.INTERDEPENDENT_KEYS.isdisjoint(branch.values)
            and other.startswith(prefix)
            and other != path
        )

    def value_lookup(self, path, edited_path, own_values):
        """Return a function that reads the values of a node after an edit.

        Parameters
        ----------
        path : str
            Node whose effective values are read.
        edited_path : str
            Path of the edited branch, which need not exist.
        own_values : dict
            Own values of the edited branch after the edit.

        Returns
        -------
        callable
            ``read(name)`` returns the effective value of a key, or None if
            the kind of the node does not accept it.
        """
        keys = schema.keys_of(schema.kind_of(path))
        chain = [
            own_values
            if origin == edited_path
            else self._branches[origin].values
            for origin in (path, *schema.parents_of(path))
            if origin == edited_path or origin in self._branches
        ]

        def read(name):
            if name not in keys:
                return None
            for values in chain:
                if name in values:
                    return values[name][0]
            return keys[name].default

        return read
