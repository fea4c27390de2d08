"""Random histories of edits, and what must hold while one is folded."""

import itertools
import json
import pathlib
import sys
import types

import hypothesis
from hypothesis import strategies

from citrondeal import tree as tree_package
from citrondeal.tree import _tree
from citrondeal.tree.tests import naive

_SERVICE = (
    ("share.urgent", 0.6),
    ("share.urgent", 0.1),
    ("share.low", 0.2),
    ("share.low", 2),
    ("request.deadline_ms", 15_000),
    ("request.attempt_timeout_ms", 20_000),
)
_BATCH = (
    ("job.kind", "service"),
    ("job.once", True),
    ("job.tasks", 2),
    ("job.tasks", "2"),
)
_ROOT = (
    ("share.urgent", 0.6),
    ("request.attempt_timeout_ms", 20_000),
    ("job.kind", "service"),
    ("weight", 2),
    ("weight", 0),
)
_TEAM = (("quota.cores", 8), ("quota.cores", True), ("weight", 2))

#: Values to choose from for each path.  Some are invalid, and some only
#: together with another branch: 0.6 above a share.low of 0.2, job.kind
#: service above job.once, 15 s above an attempt of 20 s.
POOLS = {
    "/": _ROOT,
    "/services/a": _SERVICE,
    "/services/b": _SERVICE + (("job.tasks", 2), ("share.lo", 0)),
    "/batch/f": _BATCH,
    "/batch/f/x": _BATCH,
    "/teams/t": _TEAM,
    "/services": _SERVICE,
}
PATHS = tuple(POOLS)
MALFORMED = (
    None,
    [],
    {"kind": "edit"},
    {"kind": "other", "edit_id": "z", "path": "/", "base": 0},
    {"kind": "edit", "edit_id": "z", "path": "/", "base": "0"},
    {"kind": "edit", "edit_id": "z", "path": "/", "base": -1},
)

#: Edits that every history begins with, since few random ones would fit
#: an empty tree.
FIRST = tuple(
    ("edit", path, 0, [], [], False)
    for path in ("/services/a", "/batch/f", "/batch/f/x")
)


def _edits():
    """Return edits as ``("edit", path, lag, set, unset, delete)``."""
    edits = []
    for path, pool in POOLS.items():
        for lag in (0, 0, 0, 0, 0, 1, 2, -1, -1):
            for one, two in itertools.product(pool, pool):
                edits.append(("edit", path, lag, [one], [], False))
                edits.append(("edit", path, lag, [one, two], [], False))
                edits.append(("edit", path, lag, [], [one[0]], False))
            edits.append(("edit", path, lag, [], [], False))
            edits += [("edit", path, lag, [], [], True)] * len(pool) ** 2
    return edits


# One draw for each record: drawing its parts one by one took most of the
# time of the tests.
_EDITS = {
    path: strategies.sampled_from([e for e in _edits() if e[1] == path])
    for path in PATHS
}
_OTHERS = strategies.sampled_from(
    [("malformed", record) for record in MALFORMED]
    + [("snapshot", delay) for delay in (0, 0, 1, 2, 3, 5)]
    + [("reuse", back) for back in (0, 0, 0, 1, 2, 4)]
    + [("repeat", back) for back in (0, 0, 0, 0, 1, 1, 2, 3, 5, 7)]
)
HISTORIES = strategies.lists(
    strategies.one_of(
        *_EDITS.values(), _EDITS["/"], _OTHERS, _OTHERS, _OTHERS
    ),
    min_size=15,
    max_size=35,
)


#: An edit that was rejected, and that would be valid when its record
#: appears again after two other ids; random histories rarely do this.
FORGOTTEN = [
    ("edit", "/batch/f", 0, [], [], True),
    ("edit", "/batch/f/x", 0, [], [], True),
    ("edit", "/teams/t", 0, [], [], False),
    ("repeat", 2),
]


def mutant(*changes):
    """Return class `Tree` of `_tree` with pieces of its source replaced."""
    source = pathlib.Path(_tree.__file__).read_text()
    for old, new in changes:
        assert source.count(old) == 1, old
        source = source.replace(old, new)
    module = types.ModuleType("mutant")
    # dataclasses looks the module of a class up by name.
    sys.modules[module.__name__] = module
    exec(compile(source, "mutant", "exec"), vars(module))
    return module.Tree


def _settings(examples):
    return hypothesis.settings(
        max_examples=examples,
        derandomize=True,
        database=None,
        deadline=None,
        # Shrinking a mutant's failure would take longer than finding it.
        phases=[hypothesis.Phase.explicit, hypothesis.Phase.generate],
        suppress_health_check=list(hypothesis.HealthCheck),
    )


def check_all(check, tree_class, examples):
    """Run `check` on random histories; raise its first failure."""

    @_settings(examples)
    @hypothesis.example(FORGOTTEN)
    @hypothesis.given(HISTORIES)
    def test(history):
        check(tree_class, [*FIRST, *history])

    test()


def check_json(tree_class, examples):
    """Apply random JSON, some of it shaped like an edit."""
    scalar = strategies.one_of(
        strategies.none(),
        strategies.booleans(),
        strategies.integers(),
        strategies.floats(),
        strategies.text(max_size=5),
        strategies.sampled_from(("edit", "snapshot", "/", "/teams/t", 10**9)),
    )
    names = strategies.sampled_from(("weight", "share.low", "x", ""))
    anything = strategies.recursive(
        scalar,
        lambda inner: strategies.one_of(
            strategies.lists(inner, max_size=3),
            strategies.dictionaries(names, inner, max_size=3),
        ),
        max_leaves=5,
    )
    good = {
        "kind": strategies.just("edit"),
        "edit_id": strategies.sampled_from(("a", "b", "c")),
        "path": strategies.sampled_from(("/", "/teams/t")),
        "base": strategies.integers(0, 3),
        "set": strategies.dictionaries(names, scalar, max_size=2),
        "unset": strategies.lists(names, max_size=1),
        "delete": strategies.booleans(),
        "author": strategies.text(max_size=3),
    }
    shaped = strategies.fixed_dictionaries(
        {},
        optional={
            name: strategies.one_of(part, part, part, anything)
            for name, part in good.items()
        },
    )
    full = strategies.fixed_dictionaries(good)

    @_settings(examples)
    @hypothesis.given(
        strategies.lists(strategies.one_of(anything, shaped, full))
    )
    def test(records):
        tree = tree_class()
        for offset, record in enumerate(records):
            tree.apply(offset, record)
            assert tree.position == offset
        copy = tree_class.from_snapshot(
            json.loads(json.dumps(tree.snapshot()))
        )
        assert copy.digest() == tree.digest()

    test()


def agrees_with_naive(tree_class, history):
    """Compare each verdict and the result with the reference fold."""
    reference = naive.Naive()
    tree = tree_class()
    log = []
    for record in _records(history, tree, log, reference.version):
        expected = reference.decide(record)
        found = _verdict(tree.apply(len(log), record))
        assert found == expected, (record, found, expected)
        log.append(record)
        for path in PATHS:
            # Fills the cache, which the next edit has to clear.
            tree.values(path)
    assert tree.version == len(reference.accepted)
    assert set(tree.paths()) == reference.paths()
    for path in tree.paths():
        found = {
            name: (item.value, item.origin, item.version)
            for name, item in tree.resolve(path).items()
        }
        assert found == reference.effective(path), path
        plain = {name: item[0] for name, item in found.items()}
        assert tree.values(path) == plain
    _snapshots_agree(tree_class, tree, log)


def never_twice(tree_class, history):
    """Check what must hold although almost nothing is remembered.

    With room for two ids and one deleted path: no content is accepted
    twice, nothing rejected is accepted later, and no version goes back.
    """
    tree = tree_class(tree_package.Limits(ids=2, history=2, deleted=1))
    log = []
    rejected = []
    accepted = []
    versions = {path: 0 for path in PATHS}
    for record in _records(history, tree, log, tree.branch_version):
        outcome = tree.apply(len(log), record)
        log.append(record)
        if outcome.verdict == "accepted":
            assert record not in accepted, record
            assert record not in rejected, record
            accepted.append(record)
        elif outcome.verdict == "rejected":
            rejected.append(record)
        for path, version in versions.items():
            versions[path] = tree.branch_version(path)
            assert version <= versions[path], path
    _snapshots_agree(tree_class, tree, log)


def _records(history, tree, log, version):
    """Yield the records of a history; `log` holds those already yielded."""
    late = []
    for number, (kind, *rest) in enumerate(history):
        edits = [
            record
            for record in log
            if isinstance(record, dict) and "author" in record
        ]
        while late and late[0][0] <= len(log):
            yield late.pop(0)[1]
        if kind == "edit":
            yield _edit(f"e{number}", version, *rest)
        elif kind == "malformed":
            yield rest[0]
        elif kind == "snapshot":
            state = json.loads(json.dumps(tree.snapshot_record()))
            late.append((len(log) + rest[0], state))
            late.sort(key=lambda item: item[0])
        elif edits:
            old = edits[-1 - rest[0] % len(edits)]
            if kind == "repeat":
                yield dict(old)
            else:
                yield {**old, "base": version(old["path"]), "set": {}}
    for _, record in late:
        yield record


def _edit(edit_id, version, path, lag, settings, unset, delete):
    return {
        "kind": "edit",
        "edit_id": edit_id,
        "path": path,
        "base": max(0, version(path) - lag),
        "set": dict(settings),
        "unset": unset,
        "delete": delete,
        "author": "",
    }


def _verdict(outcome):
    code = str(outcome.code)
    if code == "none":
        return ("accepted", outcome.version)
    if code in ("conflict", "ahead"):
        return (code, outcome.winner.edit_id)
    if code == "repeated":
        return (code, _verdict(outcome.first_outcome))
    return (code,)


def _snapshots_agree(tree_class, tree, log):
    """Start a replica from each snapshot and one from the first record."""
    starts = [tree_class(tree._limits)]
    for record in log:
        if isinstance(record, dict) and record.get("kind") == "snapshot":
            starts.append(tree_class.from_snapshot(record["state"]))
    for replica in starts:
        for offset, record in enumerate(log):
            replica.apply(offset, record)
        assert replica.digest() == tree.digest()
        assert replica.snapshot() == tree.snapshot()
