"""Fold of stream ``tree``.

Versions.  Every accepted edit draws the next number of one counter and
gives it to its branch, so that the version of a branch only increases, also
when the branch is deleted and created again.  An edit is accepted only if
its base is the version of its branch; hence an accepted edit can never be
accepted a second time, even when its id has been forgotten.

Forgotten ids.  A rejected edit whose base is still the version of its
branch could be accepted by a late copy of its record.  While its id is
remembered, the copy is a no-op; when the id is forgotten, the branch
receives a new version, so that the copy conflicts.  The number of ids kept
is therefore a matter of good answers and not of safety.
"""

import dataclasses
import enum
import logging

import xxhash

from citrondeal import telemetry
from citrondeal.tree import _records
from citrondeal.tree import schema

FORMAT = 1
CACHED_NODES = 1024
KNOWN_WITHOUT_TEXT = 7  # fields of a remembered id before its reason
REASON_LIMIT = 300  # characters, since reasons are remembered

_LOG = logging.getLogger(__name__)

_BAD_PATH = (
    "is not /, /services/<name>, /batch/<name>[/<leaf>] or /teams/<name>"
)


class Verdict(enum.StrEnum):
    """What the fold did with a record."""

    ACCEPTED = "accepted"
    REJECTED = "rejected"
    IGNORED = "ignored"


class ReasonCode(enum.StrEnum):
    """Reason of a verdict."""

    NONE = "none"
    CONFLICT = "conflict"  # another edit won on this base
    AHEAD = "ahead"  # the base has not been issued yet
    INVALID = "invalid"  # not valid at this place of the log
    REPEATED = "repeated"  # the id and content are known
    ID_REUSED = "id_reused"  # the id belongs to another edit
    MALFORMED = "malformed"
    SNAPSHOT = "snapshot"
    OLD = "old"  # the offset has been applied already


@dataclasses.dataclass(frozen=True, slots=True)
class Winner:
    """Edit that made the current version of a branch.

    Attributes
    ----------
    edit_id : str
        Empty if the branch was deleted so long ago that the id is
        forgotten.
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
        What the fold did.
    code : Code
        Why.
    reason : str
        Sentence for the operator; empty for accepted edits.
    edit_id, path : str
        Of the edit; empty if the record is not an edit.
    version : int
        Version of the branch after an accepted edit, else 0.
    winner : Winner or None
        For conflicts.
    first_outcome : Outcome or None
        For a repeated id, the verdict on its first record.
    offset : int
        Offset of the record that was judged; -1 for an answer of `check`.
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
    """Effective value of a key.

    Attributes
    ----------
    value : bool, int, float or str
        The value.
    origin : str or None
        Branch that sets it; None for the default.
    version : int
        Version that the branch had after the edit that set it; 0 for the
        default.
    """

    value: object
    origin: str | None
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Bounds of the state; all replicas must use the same ones.

    At 400 edits a day the defaults keep ids for two and a half days and the
    history for more than one.

    Attributes
    ----------
    ids : int
        Edit ids remembered.
    history : int
        Accepted edits kept, over all branches.
    deleted : int
        Deleted paths whose last version is remembered.
    """

    ids: int = 1024
    history: int = 512
    deleted: int = 512


@dataclasses.dataclass(slots=True)
class _Branch:
    """Own values of a branch, as ``{key: (value, version)}``."""

    version: int
    winner: Winner
    values: dict


@dataclasses.dataclass(frozen=True, slots=True)
class _Known:
    """What is remembered of an edit id."""

    fingerprint: str
    base: int
    outcome: Outcome


class Tree:
    """State of the settings tree.

    Parameters
    ----------
    limits : Limits, optional
        Bounds of the state.

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
        self._counter = 0
        self._floor = 0
        self._branches = {"/": _Branch(0, Winner("", 0, ""), {})}
        self._deleted = {}
        self._known = {}
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
        """Return the tree that `snapshot` described.

        Parameters
        ----------
        state : dict
            Field ``state`` of a snapshot record.

        Raises
        ------
        ValueError
            If the state is malformed or its digest is wrong.
        """
        try:
            tree = cls(Limits(**state["limits"]))
            tree._restore(state)
            digest = state["digest"]
        except (KeyError, TypeError, ValueError, AttributeError) as exc:
            raise ValueError(f"malformed snapshot: {exc!r}") from exc
        if tree.digest() != digest:
            raise ValueError("the snapshot does not match its digest")
        return tree

    def apply(self, offset, record):
        """Apply one record of the stream.

        Parameters
        ----------
        offset : int
            Offset of the record; a lower one than before is ignored.
        record : object
            Decoded JSON.

        Returns
        -------
        Outcome
            Same on every replica; never raises for any record.
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
        """Return what `apply` would answer now, without any change.

        The operators' API calls this before it appends a record, so that an
        invalid edit is refused without one.

        Parameters
        ----------
        edit : Edit
            The edit.

        Returns
        -------
        Outcome
            The verdict in the log may differ if another edit comes first.
        """
        first = self.outcome_of(edit)
        if first is not None:
            return Outcome(
                Verdict.IGNORED,
                ReasonCode.REPEATED,
                "the edit was decided before",
                edit.edit_id,
                edit.path,
                first_outcome=first,
            )
        if edit.edit_id in self._known:
            reason = f"edit id {edit.edit_id} was used for another edit"
            return _rejected(edit, ReasonCode.ID_REUSED, reason)
        reason, values = self._check_content(edit)
        if reason is not None:
            return _rejected(edit, ReasonCode.INVALID, reason)
        current = self.branch_version(edit.path)
        if edit.base != current:
            return self._conflict(edit, current)
        reason = self._check_place(edit)
        if reason is None and not edit.delete:
            reason = self._check_below(edit, values)
        if reason is not None:
            return _rejected(edit, ReasonCode.INVALID, reason)
        return Outcome(
            Verdict.ACCEPTED,
            edit_id=edit.edit_id,
            path=edit.path,
            version=self._counter + 1,
        )

    def outcome_of(self, edit):
        """Return the verdict on the first record of an edit.

        Parameters
        ----------
        edit : Edit
            Id and content count, the author does not.

        Returns
        -------
        Outcome or None
            None if the edit is not known (any more).
        """
        fingerprint = edit.fingerprint
        for key in (edit.edit_id, _reuse_key(edit.edit_id, fingerprint)):
            known = self._known.get(key)
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
        return self._floor if winner is None else winner.version

    def values(self, path):
        """Return the effective values of a node without their origins.

        Parameters
        ----------
        path : str
            Node.

        Returns
        -------
        dict of str to object or None
            Shared between callers, not to be changed; None if the node does
            not exist.
        """
        found = self._cache.get(path)
        if found is not None:
            return found
        resolved = self.resolve(path)
        if resolved is None:
            return None
        if len(self._cache) >= CACHED_NODES:
            self._cache.clear()
        found = {name: item.value for name, item in resolved.items()}
        self._cache[path] = found
        return found

    def resolve(self, path):
        """Return the effective values of a node with their origins.

        Parameters
        ----------
        path : str
            Node.

        Returns
        -------
        dict of str to EffectiveValue or None
            One item for each key that the kind of path accepts; None if the
            node does not exist.
        """
        if path not in self._branches:
            return None
        return self.inherited(path)

    def inherited(self, path):
        """Return the effective values that `path` has or would have.

        Parameters
        ----------
        path : str
            Valid path; the node need not exist.

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
            Branch, which may have been deleted.

        Returns
        -------
        list of dict
            ``offset, version, edit_id, author, path, set, unset, delete``;
            only edits among the last `Limits.history` of the whole tree.
        """
        return [
            _history_item(entry) for entry in self._history if entry[4] == path
        ]

    def describe(self, path):
        """Return a node as JSON-ready dict for the operators' API.

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
        resolved = self.inherited(path)
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
        """Return versions and own values of all branches, JSON-ready."""
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
            For `from_snapshot`; restoring gives an equal tree.
        """
        state = self._content()
        digest = _digest_of(state)
        state["position"] = self._position
        state["malformed"] = self._malformed
        state["digest"] = digest
        return state

    def snapshot_record(self):
        """Return the log record of a snapshot.

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
        """Return a hash that is equal on replicas at the same position."""
        return _digest_of(self._content())

    def dump(self):
        """Return the state dump, bounded in size."""
        return {
            "position": self._position,
            "version": self._version,
            "branches": len(self._branches),
            "deleted": len(self._deleted),
            "ids": len(self._known),
            "history": len(self._history),
            "malformed": self._malformed,
            "digest": self.digest(),
        }

    def _check_content(self, edit):
        """Check what does not depend on the state; return own values."""
        kind = schema.kind_of(edit.path)
        if kind is None:
            return f"{edit.path} {_BAD_PATH}", None
        if edit.delete:
            if edit.set or edit.unset:
                return "delete does not go together with set or unset", None
            if edit.path == "/":
                return "/ cannot be deleted", None
            return None, None
        keys = schema.keys_of(kind)
        values = {}
        for name in sorted({*edit.set, *edit.unset}):
            if name not in schema.KEYS:
                return f"{edit.path}: {name} is not a known key", None
            if name not in keys:
                return f"{edit.path}: {name} has no meaning here", None
            if name in edit.set and name in edit.unset:
                return f"{edit.path}: {name} is both set and unset", None
        for name, value in sorted(edit.set.items()):
            values[name], reason = schema.check_value(keys[name], value)
            if reason is not None:
                return f"{edit.path}: {name} {reason}", None
        return None, values

    def _check_place(self, edit):
        """Check the position of the branch in the tree."""
        exists = edit.path in self._branches
        if edit.delete:
            if not exists:
                return f"{edit.path} does not exist"
            if self._children(edit.path):
                return f"{edit.path} has children; delete them first"
            return None
        if exists:
            return None
        parent = schema.parents_of(edit.path)[0]
        if parent not in self._branches:
            return f"{parent} does not exist; create it first"
        if edit.unset:
            return f"{edit.path} does not exist"
        return None

    def _check_below(self, edit, values):
        """Check the edited branch and every node that inherits from it.

        Only related keys can make a node invalid without an edit of its
        own.  A node that sets none of them has those of the branch above
        it, which is checked; this leaves few nodes to check.
        """
        touched = schema.RELATED.intersection((*edit.set, *edit.unset))
        if not touched:
            return None
        own = self._own_after(edit, values, 0)
        prefix = schema.children_prefix(edit.path)
        below = sorted(
            path
            for path, branch in self._branches.items()
            if not schema.RELATED.isdisjoint(branch.values)
            and path.startswith(prefix)
            and path != edit.path
        )
        for path in (edit.path, *below):
            keys = schema.keys_of(schema.kind_of(path))
            if touched.isdisjoint(keys):
                continue
            chain = [
                own if origin == edit.path else self._branches[origin].values
                for origin in (path, *schema.parents_of(path))
                if origin == edit.path or origin in self._branches
            ]
            reason = schema.conflict_of(_reader(keys, chain))
            if reason is not None:
                return f"{path}: {reason}"
        return None

    def _own_after(self, edit, values, version):
        branch = self._branches.get(edit.path)
        own = {} if branch is None else dict(branch.values)
        for name in edit.unset:
            own.pop(name, None)
        for name, value in values.items():
            own[name] = (value, version)
        return own

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
        self._counter += 1
        version = self._counter
        winner = Winner(edit.edit_id, version, edit.author)
        if edit.delete:
            del self._branches[edit.path]
            self._bury(edit.path, winner)
        else:
            _, values = self._check_content(edit)
            own = self._own_after(edit, values, version)
            self._branches[edit.path] = _Branch(version, winner, own)
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

    def _bury(self, path, winner):
        """Remember the last version of a path that does not exist."""
        self._deleted.pop(path, None)
        self._deleted[path] = winner
        if len(self._deleted) > self._limits.deleted:
            # Versions increase, so the first one is the lowest.  The floor
            # keeps the versions of forgotten paths from going back.
            oldest = next(iter(self._deleted))
            self._floor = self._deleted.pop(oldest).version

    def _remember(self, edit, outcome):
        key = edit.edit_id
        if outcome.code is ReasonCode.ID_REUSED:
            key = _reuse_key(key, edit.fingerprint)
        self._known[key] = _Known(edit.fingerprint, edit.base, outcome)
        while len(self._known) > self._limits.ids:
            edit_id = next(iter(self._known))
            self._forget(self._known.pop(edit_id))

    def _forget(self, known):
        """Make sure that a late copy of a rejected edit conflicts."""
        path = known.outcome.path
        if known.outcome.verdict is Verdict.ACCEPTED:
            return
        if schema.kind_of(path) is None:
            return
        if known.base < self.branch_version(path):
            return
        # The base may be a number that was never issued.
        self._counter = max(self._counter, known.base) + 1
        branch = self._branches.get(path)
        if branch is not None:
            branch.version = self._counter
        else:
            last = self._deleted.get(path, Winner("", 0, ""))
            self._bury(path, Winner(last.edit_id, self._counter, last.author))

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

    def _content(self):
        limits = self._limits
        return {
            "format": FORMAT,
            "limits": {
                "ids": limits.ids,
                "history": limits.history,
                "deleted": limits.deleted,
            },
            "version": self._version,
            "counter": self._counter,
            "floor": self._floor,
            "branches": {
                path: [
                    branch.version,
                    _winner_state(branch.winner),
                    {name: list(pair) for name, pair in branch.values.items()},
                ]
                for path, branch in self._branches.items()
            },
            # Lists, because the order matters.
            "deleted": [
                [path, *_winner_state(winner)]
                for path, winner in self._deleted.items()
            ],
            "known": [
                _known_state(key, known) for key, known in self._known.items()
            ],
            "history": [list(entry) for entry in self._history],
        }

    def _restore(self, state):
        if state["format"] != FORMAT:
            raise ValueError(f"unknown format {state['format']!r}")
        self._position = _whole(state["position"])
        self._malformed = _whole(state["malformed"])
        self._version = _whole(state["version"])
        self._counter = _whole(state["counter"])
        self._floor = _whole(state["floor"])
        self._branches = {
            path: _Branch(
                _whole(version),
                Winner(*winner),
                {name: (pair[0], pair[1]) for name, pair in values.items()},
            )
            for path, (version, winner, values) in state["branches"].items()
        }
        if "/" not in self._branches:
            raise ValueError("no root")
        self._deleted = {
            path: Winner(*winner) for path, *winner in state["deleted"]
        }
        self._known = dict(_known_of(item) for item in state["known"])
        self._history = [list(entry) for entry in state["history"]]


def _digest_of(content):
    # Texts for people may differ between two releases in one cell.
    known = [item[:KNOWN_WITHOUT_TEXT] for item in content["known"]]
    text = _records.canonical({**content, "known": known})
    return xxhash.xxh3_128_hexdigest(text)


def _whole(value):
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError(f"{value!r} is not a whole number")
    return value


def _reader(keys, chain):
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
        reason[:REASON_LIMIT],
        edit.edit_id,
        edit.path,
        winner=winner,
    )


def _reuse_key(edit_id, fingerprint):
    """Key of an edit whose id was known with other content.

    Ids contain no slash, so the key is not an id.
    """
    return f"{edit_id}/{fingerprint}"


def _winner_state(winner):
    return [winner.edit_id, winner.version, winner.author]


def _known_state(key, known):
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
            None if winner is None else _winner_state(winner),
        ]
    return state


def _known_of(item):
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
    return key, _Known(fingerprint, base, outcome)


def _history_item(entry):
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
