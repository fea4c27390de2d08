"""Replicated state of the settings tree, computed from stream ``tree``.

Every replica applies the same records in the same order and thus reaches the
same verdicts and the same state.

Versions.  Each accepted edit takes the next number of one counter as the new
version of its branch.  The version of a branch therefore only increases,
also when the branch is deleted and created again.  An edit is accepted only
if its base is the version of its branch; hence an edit cannot be accepted
twice, even after its id has been forgotten.

Forgotten ids.  If the base of a rejected edit is still the version of its
branch, a late copy of its record could be accepted.  While the id is
remembered, the copy has no effect; when the id is forgotten, the branch gets
a new version, so that the copy conflicts.  The number of ids kept therefore
affects how precisely a late copy is answered, but not safety.
"""

import dataclasses
import logging

from citrondeal import telemetry
from citrondeal.tree import _branches
from citrondeal.tree import _content
from citrondeal.tree import _history
from citrondeal.tree import _limits
from citrondeal.tree import _outcomes
from citrondeal.tree import _records
from citrondeal.tree import _remembered
from citrondeal.tree import _snapshots
from citrondeal.tree import _views
from citrondeal.tree import schema

SNAPSHOT_FORMAT = 1

_LOG = logging.getLogger(__name__)
_require_int = _snapshots.require_int


class Tree:
    """State of the settings tree after the records applied so far.

    Its methods `values`, `resolve`, `effective_values` and `paths` are those
    of `Branches`, `history` is `History.of`, and `outcome_of` that of
    `RememberedEdits`.

    Parameters
    ----------
    limits : Limits, optional
        Limits on the remembered ids, history and deleted paths.

    Examples
    --------
    >>> tree = Tree()
    >>> record = {"kind": "edit", "edit_id": "a", "path": "/teams/desk",
    ...           "base": 0, "set": {"quota.cores": 64}}
    >>> tree.apply(0, record).verdict
    <Verdict.ACCEPTED: 'accepted'>
    >>> tree.resolve("/teams/desk")["quota.cores"]
    EffectiveValue(value=64.0, origin='/teams/desk', version=1)
    """

    def __init__(self, limits=None):
        self._limits = limits or _limits.Limits()
        self._position = -1
        self._version = 0
        self._version_counter = 0
        self._version_floor = 0
        self._malformed = 0
        self._deleted = {}
        self._branches = _branches.Branches()
        self.values = self._branches.values
        self.resolve = self._branches.resolve
        self.effective_values = self._branches.effective_values
        self.paths = self._branches.paths
        self._children = self._branches.children
        self._remembered = _remembered.RememberedEdits(self._limits.ids)
        self.outcome_of = self._remembered.outcome_of
        self._history = _history.History(self._limits.history)
        self.history = self._history.of

    @property
    def position(self):
        """Offset of the last record applied; -1 before the first."""
        return self._position

    @property
    def version(self):
        """Number of accepted edits."""
        return self._version

    @property
    def malformed(self):
        """Number of malformed records skipped."""
        return self._malformed

    @classmethod
    def from_snapshot(cls, state):
        """Return a tree with the state that `snapshot` returned.

        Parameters
        ----------
        state : dict
            Field ``state`` of a snapshot record.

        Raises
        ------
        ValueError
            If the state is malformed or does not match its digest.
        """
        try:
            tree = cls(_limits.Limits(**state["limits"]))
            tree._restore(state)
            digest = state["digest"]
        except (KeyError, TypeError, ValueError, AttributeError) as exc:
            raise ValueError(
                f"malformed snapshot of the settings tree: {exc!r}"
            ) from exc
        if tree.digest() != digest:
            raise ValueError(
                "snapshot of the settings tree does not match its digest"
            )
        return tree

    def apply(self, offset, record):
        """Apply one record of the stream.

        Parameters
        ----------
        offset : int
            Offset of the record; one that was applied before is ignored.
        record : object
            Decoded JSON.

        Returns
        -------
        Outcome
            The same on every replica.  No record raises an exception.
        """
        if offset <= self._position:
            reason = f"offset {offset} has been applied"
            return _outcomes.Outcome(
                _outcomes.Verdict.IGNORED, _outcomes.ReasonCode.OLD, reason
            )
        self._position = offset
        if isinstance(record, dict) and record.get("kind") == "snapshot":
            reason = "a running replica ignores snapshots"
            return _outcomes.Outcome(
                _outcomes.Verdict.IGNORED,
                _outcomes.ReasonCode.SNAPSHOT,
                reason,
            )
        edit, reason = _records.decode(record)
        if edit is None:
            self._malformed += 1
            telemetry.event(
                _LOG,
                logging.WARNING,
                "malformed record of the settings tree skipped",
                offset=offset,
                reason=reason,
            )
            return _outcomes.Outcome(
                _outcomes.Verdict.IGNORED,
                _outcomes.ReasonCode.MALFORMED,
                reason,
                offset=offset,
            )
        outcome = dataclasses.replace(self.check(edit), offset=offset)
        if outcome.verdict is _outcomes.Verdict.ACCEPTED:
            self._commit(offset, edit)
        if outcome.verdict is not _outcomes.Verdict.IGNORED:
            for forgotten in self._remembered.add(edit, outcome):
                self._invalidate_late_copies(forgotten)
        return outcome

    def check(self, edit):
        """Return the outcome that `apply` would return now; change nothing.

        The operators' API calls this before it appends a record, so that an
        invalid edit is refused without writing to the log.

        Parameters
        ----------
        edit : Edit
            Edit to check.

        Returns
        -------
        Outcome
            The outcome of the record in the log may differ if another edit
            comes first.
        """
        first = self.outcome_of(edit)
        if first is not None:
            return _outcomes.Outcome(
                _outcomes.Verdict.IGNORED,
                _outcomes.ReasonCode.REPEATED,
                f"edit {edit.edit_id} was decided before",
                edit.edit_id,
                edit.path,
                first_outcome=first,
            )
        if edit.edit_id in self._remembered:
            reason = f"edit id {edit.edit_id} was used for another edit"
            return _outcomes.rejected(
                edit, _outcomes.ReasonCode.ID_REUSED, reason
            )
        reason, values = self._check_content(edit)
        if reason is not None:
            return _outcomes.rejected(
                edit, _outcomes.ReasonCode.INVALID, reason
            )
        current = self.branch_version(edit.path)
        if edit.base != current:
            return self._conflict(edit, current)
        reason = self._check_position(edit)
        if reason is None and not edit.delete:
            reason = self._check_descendants(edit, values)
        if reason is not None:
            return _outcomes.rejected(
                edit, _outcomes.ReasonCode.INVALID, reason
            )
        return _outcomes.Outcome(
            _outcomes.Verdict.ACCEPTED,
            edit_id=edit.edit_id,
            path=edit.path,
            version=self._version_counter + 1,
        )

    def __contains__(self, path):
        return path in self._branches

    def branch_version(self, path):
        """Return the base that the next edit of `path` must have.

        Parameters
        ----------
        path : str
            Any valid path, also of a branch that does not exist.

        Returns
        -------
        int
            Version of the branch.
        """
        branch = self._branches.get(path)
        if branch is not None:
            return branch.version
        winner = self._deleted.get(path)
        return self._version_floor if winner is None else winner.version

    def describe(self, path):
        """Return the JSON-ready state of a node for the operators' API.

        Parameters
        ----------
        path : str
            Any path.

        Returns
        -------
        dict or None
            ``path, kind, exists, version, tree_version, values, children``,
            where ``values`` maps each key to ``value, origin, version,
            unit``; None if no node can have this path.
        """
        return _views.describe(self, path, self._children(path))

    def listing(self, below="/"):
        """Return versions and own values of the branches, JSON-ready."""
        return {
            "version": self._version,
            "position": self._position,
            "branches": self._branches.own_settings(below),
        }

    def snapshot(self):
        """Return the whole state, JSON-ready.

        Returns
        -------
        dict
            State for `from_snapshot`, which returns an equal tree.
        """
        state = self._replicated_state()
        digest = _snapshots.digest_of(state)
        state["position"] = self._position
        state["malformed"] = self._malformed
        state["digest"] = digest
        return state

    def snapshot_record(self):
        """Return a log record with a snapshot of the state.

        Returns
        -------
        dict
            Kind ``snapshot``; ``covers`` is the offset of the last record
            that the state includes.
        """
        return {
            "kind": "snapshot",
            "covers": self._position,
            "state": self.snapshot(),
        }

    def digest(self):
        """Return a hash that equals that of any replica at this position."""
        return _snapshots.digest_of(self._replicated_state())

    def dump(self):
        """Return a JSON-ready summary of the state, bounded in size."""
        return {
            "position": self._position,
            "version": self._version,
            "branches": len(self._branches),
            "deleted": len(self._deleted),
            "ids": len(self._remembered),
            "history": len(self._history),
            "malformed": self._malformed,
            "digest": self.digest(),
        }

    def _check_content(self, edit):
        """Check what does not depend on the state.

        Returns ``(reason, None)`` if the edit is invalid, else ``(None,
        values)`` with the converted values, which are None for a deletion.
        """
        reason = _content.invalid_path(edit) or _content.invalid_names(edit)
        if reason is not None or edit.delete:
            return reason, None
        values = {}
        for name, value in sorted(edit.set.items()):
            values[name], reason = schema.check_value(schema.KEYS[name], value)
            if reason is not None:
                return f"{edit.path}: {name} {reason}", None
        return None, values

    def _check_position(self, edit):
        """Check the existence of the branch, its parent and its children."""
        exists = edit.path in self._branches
        if edit.delete:
            if not exists:
                return f"{edit.path} does not exist and cannot be deleted"
            if self._children(edit.path):
                return f"{edit.path} has children; delete them first"
            return None
        if exists:
            return None
        parent = schema.parents_of(edit.path)[0]
        if parent not in self._branches:
            return f"{parent} does not exist; create it first"
        if edit.unset:
            return f"{edit.path} does not exist, so no key can be unset"
        return None

    def _check_descendants(self, edit, values):
        """Check the edited branch and every node that inherits from it."""
        edited_keys = schema.INTERDEPENDENT_KEYS.intersection(
            (*edit.set, *edit.unset)
        )
        if not edited_keys:
            return None
        own_values = self._branches.own_values_after(edit, values, 0)
        below = self._branches.restricted_below(edit.path)
        for path in (edit.path, *below):
            if edited_keys.isdisjoint(schema.keys_of(schema.kind_of(path))):
                continue
            read = self._branches.value_lookup(path, edit.path, own_values)
            reason = schema.violation_of(read)
            if reason is not None:
                return f"{path}: {reason}"
        return None

    def _conflict(self, edit, current):
        branch = self._branches.get(edit.path)
        if branch is not None:
            winner = branch.winner
        else:
            winner = self._deleted.get(
                edit.path, _outcomes.Winner("", current, "")
            )
        return _outcomes.conflicting(edit, current, winner)

    def _commit(self, offset, edit):
        self._version += 1
        self._version_counter += 1
        version = self._version_counter
        winner = _outcomes.Winner(edit.edit_id, version, edit.author)
        if edit.delete:
            self._branches.remove(edit.path)
            self._record_deletion(edit.path, winner)
        else:
            _, values = self._check_content(edit)
            own_values = self._branches.own_values_after(edit, values, version)
            branch = _branches.Branch(version, winner, own_values)
            self._branches.put(edit.path, branch)
            self._deleted.pop(edit.path, None)
        self._history.add(offset, version, edit)

    def _record_deletion(self, path, winner):
        """Remember the last version of a path that does not exist."""
        self._deleted.pop(path, None)
        self._deleted[path] = winner
        if len(self._deleted) > self._limits.deleted:
            # Versions only increase, so the first entry has the lowest one.
            # As the minimum version of all paths that are not remembered,
            # it keeps their versions from decreasing.
            oldest = next(iter(self._deleted))
            self._version_floor = self._deleted.pop(oldest).version

    def _invalidate_late_copies(self, known):
        """Raise the branch's version where a late copy could be accepted."""
        path = known.outcome.path
        if known.outcome.verdict is _outcomes.Verdict.ACCEPTED:
            return
        if schema.kind_of(path) is None:
            return
        if known.base < self.branch_version(path):
            return
        # The base may be higher than any version issued so far.
        self._version_counter = max(self._version_counter, known.base) + 1
        branch = self._branches.get(path)
        if branch is not None:
            branch.version = self._version_counter
        else:
            last = self._deleted.get(path, _outcomes.Winner("", 0, ""))
            self._record_deletion(
                path,
                _outcomes.Winner(
                    last.edit_id, self._version_counter, last.author
                ),
            )

    def _replicated_state(self):
        limits = self._limits
        return {
            "format": SNAPSHOT_FORMAT,
            "limits": {
                "ids": limits.ids,
                "history": limits.history,
                "deleted": limits.deleted,
            },
            "version": self._version,
            "counter": self._version_counter,
            "floor": self._version_floor,
            "branches": _snapshots.encode_branches(self._branches),
            "deleted": _snapshots.encode_deleted(self._deleted),
            "known": _snapshots.encode_remembered(self._remembered),
            "history": self._history.snapshot(),
        }

    def _restore(self, state):
        if state["format"] != SNAPSHOT_FORMAT:
            raise ValueError(
                f"format is {state['format']!r}, not {SNAPSHOT_FORMAT}"
            )
        self._position = _require_int(state["position"])
        self._malformed = _require_int(state["malformed"])
        self._version = _require_int(state["version"])
        self._version_counter = _require_int(state["counter"])
        self._version_floor = _require_int(state["floor"])
        self._branches.restore(_snapshots.decode_branches(state["branches"]))
        self._deleted = _snapshots.decode_deleted(state["deleted"])
        self._remembered.restore(_snapshots.decode_remembered(state["known"]))
        self._history.restore(state["history"])
