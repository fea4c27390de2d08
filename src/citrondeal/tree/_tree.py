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
import enum
import logging

import xxhash

from citrondeal import telemetry
from citrondeal.tree import _records
from citrondeal.tree import schema

SNAPSHOT_FORMAT = 1
MAX_CACHED_NODES = 1024
# Fields of an encoded remembered edit before its reason code and texts.
DIGESTED_FIELDS = 7
# Reasons are kept in memory and in snapshots for each remembered edit.
MAX_REASON_CHARS = 300

_LOG = logging.getLogger(__name__)

_INVALID_PATH_REASON = (
    "is not /, /services/<name>, /batch/<name>[/<leaf>] or /teams/<name>"
)


class Verdict(enum.StrEnum):
    """Decision on a record of the stream."""

    ACCEPTED = "accepted"
    REJECTED = "rejected"
    IGNORED = "ignored"


class ReasonCode(enum.StrEnum):
    """Why a record got its verdict."""

    NONE = "none"
    CONFLICT = "conflict"  # another edit of this base was accepted first
    AHEAD = "ahead"  # the branch has not reached the base version
    INVALID = "invalid"  # not valid for the tree at this offset
    REPEATED = "repeated"  # an edit with this id and content was decided
    ID_REUSED = "id_reused"  # the id was used with other content
    MALFORMED = "malformed"
    SNAPSHOT = "snapshot"
    OLD = "old"  # the offset was applied before


@dataclasses.dataclass(frozen=True, slots=True)
class Winner:
    """Edit that produced the current version of a branch.

    Attributes
    ----------
    edit_id : str
        Empty for a branch that was never edited, or was deleted so long ago
        that the id is forgotten.
    version : int
        Version of the branch.
    author : str
        Author of the edit.
    """

    edit_id: str
    version: int
    author: str


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Verdict on one record.

    Attributes
    ----------
    verdict : Verdict
        Decision on the record.
    code : ReasonCode
        Reason of the decision as a code.
    reason : str
        Reason as text for the operator; empty for accepted edits.
    edit_id, path : str
        Id and path of the edit; empty if the record is not an edit.
    version : int
        Version of the branch after an accepted edit, else 0.
    winner : Winner or None
        For codes ``conflict`` and ``ahead``, the edit that produced the
        current version.
    first_outcome : Outcome or None
        For code ``repeated``, the outcome of the first record of the edit.
    offset : int
        Offset of the record; -1 if the record was skipped as a snapshot or
        as applied before, and for an outcome that `Tree.check` returned.
    """

    verdict: Verdict
    code: ReasonCode = ReasonCode.NONE
    reason: str = ""
    edit_id: str = ""
    path: str = ""
    version: int = 0
    winner: Winner | None = None
    first_outcome: "Outcome | None" = None
    offset: int = -1


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


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits on the remembered state; equal on all replicas of a cell.

    At 400 edits a day the defaults keep ids for two and a half days and the
    history for more than one day.

    Attributes
    ----------
    ids : int
        Number of edit ids remembered.
    history : int
        Number of accepted edits kept in the history of the whole tree.
    deleted : int
        Number of deleted paths whose last version is remembered.
    """

    ids: int = 1024
    history: int = 512
    deleted: int = 512


@dataclasses.dataclass(slots=True)
class _Branch:
    """Existing branch; `values` maps each own key to ``(value, version)``."""

    version: int
    winner: Winner
    values: dict


@dataclasses.dataclass(frozen=True, slots=True)
class _RememberedEdit:
    """Decided edit, kept to recognize further records with its id."""

    fingerprint: str
    base: int
    outcome: Outcome


class Tree:
    """State of the settings tree after the records applied so far.

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
        self._limits = limits or Limits()
        self._position = -1
        self._version = 0
        self._version_counter = 0
        self._version_floor = 0
        self._branches = {"/": _Branch(0, Winner("", 0, ""), {})}
        self._deleted = {}
        self._remembered = {}
        self._history = []
        self._malformed = 0
        self._cache = {}

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
            tree = cls(Limits(**state["limits"]))
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
            return Outcome(Verdict.IGNORED, ReasonCode.OLD, reason)
        self._position = offset
        if isinstance(record, dict) and record.get("kind") == "snapshot":
            reason = "a running replica ignores snapshots"
            return Outcome(Verdict.IGNORED, ReasonCode.SNAPSHOT, reason)
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
            return Outcome(
                Verdict.IGNORED, ReasonCode.MALFORMED, reason, offset=offset
            )
        outcome = dataclasses.replace(self.check(edit), offset=offset)
        if outcome.verdict is Verdict.ACCEPTED:
            self._commit(offset, edit, outcome)
        if outcome.verdict is not Verdict.IGNORED:
            self._remember(edit, outcome)
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
            return Outcome(
                Verdict.IGNORED,
                ReasonCode.REPEATED,
                f"edit {edit.edit_id} was decided before",
                edit.edit_id,
                edit.path,
                first_outcome=first,
            )
        if edit.edit_id in self._remembered:
            reason = f"edit id {edit.edit_id} was used for another edit"
            return _rejected(edit, ReasonCode.ID_REUSED, reason)
        reason, values = self._check_content(edit)
        if reason is not None:
            return _rejected(edit, ReasonCode.INVALID, reason)
        current = self.branch_version(edit.path)
        if edit.base != current:
            return self._conflict(edit, current)
        reason = self._check_position(edit)
        if reason is None and not edit.delete:
            reason = self._check_descendants(edit, values)
        if reason is not None:
            return _rejected(edit, ReasonCode.INVALID, reason)
        return Outcome(
            Verdict.ACCEPTED,
            edit_id=edit.edit_id,
            path=edit.path,
            version=self._version_counter + 1,
        )

    def outcome_of(self, edit):
        """Return the outcome of the first record of an edit.

        Parameters
        ----------
        edit : Edit
            Looked up by id and content; the author is ignored.

        Returns
        -------
        Outcome or None
            None if the edit was not decided or its id is forgotten.
        """
        fingerprint = edit.fingerprint
        for key in (edit.edit_id, _reused_id_key(edit.edit_id, fingerprint)):
            known = self._remembered.get(key)
            if known is not None and known.fingerprint == fingerprint:
                return known.outcome
        return None

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

    def history(self, path):
        """Return the accepted edits of a branch, oldest first.

        Parameters
        ----------
        path : str
            Path of the branch, which may have been deleted.

        Returns
        -------
        list of dict
            ``offset, version, edit_id, author, path, set, unset, delete``;
            only edits among the last `Limits.history` of the whole tree.
        """
        return [
            _history_dict(entry) for entry in self._history if entry[4] == path
        ]

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
        resolved = self.effective_values(path)
        if resolved is None:
            return None
        return {
            "path": path,
            "kind": schema.kind_of(path).value,
            "exists": path in self._branches,
            "version": self.branch_version(path),
            "tree_version": self._version,
            "values": {
                name: {
                    "value": item.value,
                    "origin": item.origin,
                    "version": item.version,
                    "unit": schema.KEYS[name].unit,
                }
                for name, item in resolved.items()
            },
            "children": self._children(path),
        }

    def listing(self, below="/"):
        """Return versions and own values of the branches, JSON-ready."""
        return {
            "version": self._version,
            "position": self._position,
            "branches": {
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
            },
        }

    def snapshot(self):
        """Return the whole state, JSON-ready.

        Returns
        -------
        dict
            State for `from_snapshot`, which returns an equal tree.
        """
        state = self._replicated_state()
        digest = _digest_of(state)
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
        return _digest_of(self._replicated_state())

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
        kind = schema.kind_of(edit.path)
        if kind is None:
            return f"{edit.path} {_INVALID_PATH_REASON}", None
        if edit.delete:
            if edit.set or edit.unset:
                return f"{edit.path}: delete excludes set and unset", None
            if edit.path == "/":
                return "/ cannot be deleted", None
            return None, None
        keys = schema.keys_of(kind)
        values = {}
        for name in sorted({*edit.set, *edit.unset}):
            if name not in schema.KEYS:
                return f"{edit.path}: {name} is not a known key", None
            if name not in keys:
                return (
                    f"{edit.path}: {name} does not apply to a {kind} node",
                    None,
                )
            if name in edit.set and name in edit.unset:
                return f"{edit.path}: {name} is both set and unset", None
        for name, value in sorted(edit.set.items()):
            values[name], reason = schema.check_value(keys[name], value)
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
        """Check the edited branch and every node that inherits from it.

        Only interdependent keys can make a node invalid without an edit of
        its own.  A node that sets none of them inherits all of them from the
        branch above it, which is checked; this leaves few nodes to check.
        """
        edited_keys = schema.INTERDEPENDENT_KEYS.intersection(
            (*edit.set, *edit.unset)
        )
        if not edited_keys:
            return None
        own_values = self._own_values_after(edit, values, 0)
        prefix = schema.children_prefix(edit.path)
        below = sorted(
            path
            for path, branch in self._branches.items()
            if not schema.INTERDEPENDENT_KEYS.isdisjoint(branch.values)
            and path.startswith(prefix)
            and path != edit.path
        )
        for path in (edit.path, *below):
            keys = schema.keys_of(schema.kind_of(path))
            if edited_keys.isdisjoint(keys):
                continue
            chain = [
                own_values
                if origin == edit.path
                else self._branches[origin].values
                for origin in (path, *schema.parents_of(path))
                if origin == edit.path or origin in self._branches
            ]
            reason = schema.violation_of(_effective_value_lookup(keys, chain))
            if reason is not None:
                return f"{path}: {reason}"
        return None

    def _own_values_after(self, edit, values, version):
        branch = self._branches.get(edit.path)
        own_values = {} if branch is None else dict(branch.values)
        for name in edit.unset:
            own_values.pop(name, None)
        for name, value in values.items():
            own_values[name] = (value, version)
        return own_values

    def _conflict(self, edit, current):
        branch = self._branches.get(edit.path)
        if branch is not None:
            winner = branch.winner
        else:
            winner = self._deleted.get(edit.path, Winner("", current, ""))
        if edit.base > current:
            code = ReasonCode.AHEAD
            reason = (
                f"{edit.path} is at version {current}; base {edit.base} has "
                "not been issued"
            )
        else:
            code = ReasonCode.CONFLICT
            reason = (
                f"{edit.path} is at version {current}, not at {edit.base}; "
                f"edit {winner.edit_id or '(forgotten)'} came first"
            )
        return _rejected(edit, code, reason, winner)

    def _commit(self, offset, edit, outcome):
        self._version += 1
        self._version_counter += 1
        version = self._version_counter
        winner = Winner(edit.edit_id, version, edit.author)
        if edit.delete:
            del self._branches[edit.path]
            self._record_deletion(edit.path, winner)
        else:
            _, values = self._check_content(edit)
            own_values = self._own_values_after(edit, values, version)
            self._branches[edit.path] = _Branch(version, winner, own_values)
            self._deleted.pop(edit.path, None)
        self._history.append(
            [
                offset,
                version,
                edit.edit_id,
                edit.author,
                edit.path,
                dict(edit.set),
                list(edit.unset),
                edit.delete,
            ]
        )
        del self._history[: -self._limits.history]
        self._cache.clear()

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

    def _remember(self, edit, outcome):
        key = edit.edit_id
        if outcome.code is ReasonCode.ID_REUSED:
            key = _reused_id_key(key, edit.fingerprint)
        self._remembered[key] = _RememberedEdit(
            edit.fingerprint, edit.base, outcome
        )
        while len(self._remembered) > self._limits.ids:
            edit_id = next(iter(self._remembered))
            self._invalidate_late_copies(self._remembered.pop(edit_id))

    def _invalidate_late_copies(self, known):
        """Raise the branch's version where a late copy could be accepted."""
        path = known.outcome.path
        if known.outcome.verdict is Verdict.ACCEPTED:
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
            last = self._deleted.get(path, Winner("", 0, ""))
            self._record_deletion(
                path, Winner(last.edit_id, self._version_counter, last.author)
            )

    def _children(self, path):
        parts = 2 if path == "/" else path.count("/") + 1
        prefix = schema.children_prefix(path)
        return sorted(
            other
            for other in self._branches
            if other != path
            and other.startswith(prefix)
            and other.count("/") == parts
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
            "branches": {
                path: [
                    branch.version,
                    _encode_winner(branch.winner),
                    {name: list(pair) for name, pair in branch.values.items()},
                ]
                for path, branch in self._branches.items()
            },
            # Lists keep the order, from which the oldest entry follows.
            "deleted": [
                [path, *_encode_winner(winner)]
                for path, winner in self._deleted.items()
            ],
            "known": [
                _encode_remembered(key, known)
                for key, known in self._remembered.items()
            ],
            "history": [list(entry) for entry in self._history],
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
        self._branches = {
            path: _Branch(
                _require_int(version),
                Winner(*winner),
                {name: (pair[0], pair[1]) for name, pair in values.items()},
            )
            for path, (version, winner, values) in state["branches"].items()
        }
        if "/" not in self._branches:
            raise ValueError("snapshot has no branch /")
        self._deleted = {
            path: Winner(*winner) for path, *winner in state["deleted"]
        }
        self._remembered = dict(
            _decode_remembered(item) for item in state["known"]
        )
        self._history = [list(entry) for entry in state["history"]]


def _digest_of(content):
    # Reason texts may differ between two releases that run in one cell.
    known = [item[:DIGESTED_FIELDS] for item in content["known"]]
    text = _records.canonical({**content, "known": known})
    return xxhash.xxh3_128_hexdigest(text)


def _require_int(value):
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError(f"{value!r} is not an integer")
    return value


def _effective_value_lookup(keys, chain):
    def read(name):
        if name not in keys:
            return None
        for values in chain:
            if name in values:
                return values[name][0]
        return keys[name].default

    return read


def _rejected(edit, code, reason, winner=None):
    return Outcome(
        Verdict.REJECTED,
        code,
        reason[:MAX_REASON_CHARS],
        edit.edit_id,
        edit.path,
        winner=winner,
    )


def _reused_id_key(edit_id, fingerprint):
    """Return the key of an edit whose id was used with other content.

    Ids contain no slash, so the key differs from every id.
    """
    return f"{edit_id}/{fingerprint}"


def _encode_winner(winner):
    return [winner.edit_id, winner.version, winner.author]


def _encode_remembered(key, known):
    outcome = known.outcome
    state = [
        key,
        known.fingerprint,
        known.base,
        outcome.path,
        outcome.verdict.value,
        outcome.version,
        outcome.offset,
    ]
    if outcome.verdict is not Verdict.ACCEPTED:
        winner = outcome.winner
        state += [
            outcome.code.value,
            outcome.reason,
            None if winner is None else _encode_winner(winner),
        ]
    return state


def _decode_remembered(item):
    key, fingerprint, base, path, verdict, version, offset, *rest = item
    code, reason, winner = rest if rest else (ReasonCode.NONE.value, "", None)
    outcome = Outcome(
        Verdict(verdict),
        ReasonCode(code),
        reason,
        key.partition("/")[0],
        path,
        version,
        None if winner is None else Winner(*winner),
        offset=offset,
    )
    return key, _RememberedEdit(fingerprint, base, outcome)


def _history_dict(entry):
    offset, version, edit_id, author, path, values, unset, delete = entry
    return {
        "offset": offset,
        "version": version,
        "edit_id": edit_id,
        "author": author,
        "path": path,
        "set": dict(values),
        "unset": list(unset),
        "delete": delete,
    }
