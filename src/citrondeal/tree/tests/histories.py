"""Generates random histories of edits and checks the tree against them."""

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

#: Settings that random edits of a path choose from.  Some are invalid alone,
#: some only with those of another branch: a share.urgent of 0.6 at the root
#: with a share.low of 0.2 below it, job.kind service with job.once, a
#: deadline of 15 s with an attempt timeout of 20 s.
SETTINGS_BY_PATH = {
    "/": _ROOT,
    "/services/a": _SERVICE,
    "/services/b": _SERVICE + (("job.tasks", 2), ("share.lo", 0)),
    "/batch/f": _BATCH,
    "/batch/f/x": _BATCH,
    "/teams/t": _TEAM,
    "/services": _SERVICE,
}
PATHS = tuple(SETTINGS_BY_PATH)
MALFORMED = (
    None,
    [],
    {"kind": "edit"},
    {"kind": "other", "edit_id": "z", "path": "/", "base": 0},
    {"kind": "edit", "edit_id": "z", "path": "/", "base": "0"},
    {"kind": "edit", "edit_id": "z", "path": "/", "base": -1},
)

#: Edits that every history begins with, since few random edits are valid in
#: an empty tree.
INITIAL_EDITS = tuple(
    ("edit", path, 0, [], [], False)
    for path in ("/services/a", "/batch/f", "/batch/f/x")
)


def _edits():
    """Return edits as ``("edit", path, lag, set, unset, delete)``.

    The base of an edit is the version of the branch minus `lag`.
    """
    edits = []
    for path, settings in SETTINGS_BY_PATH.items():
        for lag in (0, 0, 0, 0, 0, 1, 2, -1, -1):
            for one, two in itertools.product(settings, settings):
                edits.append(("edit", path, lag, [one], [], False))
                edits.append(("edit", path, lag, [one, two], [], False))
                edits.append(("edit", path, lag, [], [one[0]], False))
            edits.append(("edit", path, lag, [], [], False))
            edits += [("edit", path, lag, [], [], True)] * len(settings) ** 2
    return edits


# Each record is one draw, because drawing its parts one by one took most of
# the time of the tests.
_EDITS = {
    path: strategies.sampled_from([e for e in _edits() if e[1] == path])
    for path in PATHS
}
_OTHER_RECORDS = strategies.sampled_from(
    [("malformed", record) for record in MALFORMED]
    + [("snapshot", delay) for delay in (0, 0, 1, 2, 3, 5)]
    + [("reuse", back) for back in (0, 0, 0, 1, 2, 4)]
    + [("repeat", back) for back in (0, 0, 0, 0, 1, 1, 2, 3, 5, 7)]
)
HISTORIES = strategies.lists(
    strategies.one_of(
        *_EDITS.values(),
        _EDITS["/"],
        _OTHER_RECORDS,
        _OTHER_RECORDS,
        _OTHER_RECORDS,
    ),
    min_size=15,
    max_size=35,
)


#: A rejected edit whose record appears again after two other ids, when it
#: would be valid.  Random histories rarely contain this case.
LATE_COPY_HISTORY = [
    ("edit", "/batch/f", 0, [], [], True),
    ("edit", "/batch/f/x", 0, [], [], True),
    ("edit", "/teams/t", 0, [], [], False),
    ("repeat", 2),
]


def mutant(*changes):
    """Return class `Tree` of a copy of `_tree` with changed source."""
    source = pathlib.Path(_tree.__file__).read_text()
    for old, new in changes:
        assert source.count(old) == 1, old
        source = source.replace(old, new)
    module = types.ModuleType("mutant")
    # The dataclasses module looks up the module of a class by its name.
    sys.modules[module.__name__] = module
    exec(compile(source, "mutant", "exec"), vars(module))
    return module.Tree


def _settings(examples):
    return hypothesis.settings(
        max_examples=examples,
        derandomize=True,
        database=None,
        deadline=None,
        # Shrinking the failure of a mutant takes longer than finding it.
        phases=[hypothesis.Phase.explicit, hypothesis.Phase.generate],
        suppress_health_check=list(hypothesis.HealthCheck),
    )


def check_random_histories(check, tree_class, examples):
    """Run `check` on random histories and raise its first failure."""

    @_settings(examples)
    @hypothesis.example(LATE_COPY_HISTORY)
    @hypothesis.given(HISTORIES)
    def test(history):
        check(tree_class, [*INITIAL_EDITS, *history])

    test()


def check_random_json(tree_class, examples):
    """Apply random JSON records, some of them similar to an edit."""
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
    fields = {
        "kind": strategies.just("edit"),
        "edit_id": strategies.sampled_from(("a", "b", "c")),
        "path": strategies.sampled_from(("/", "/teams/t")),
        "base": strategies.integers(0, 3),
        "set": strategies.dictionaries(names, scalar, max_size=2),
        "unset": strategies.lists(names, max_size=1),
        "delete": strategies.booleans(),
        "author": strategies.text(max_size=3),
    }
    edit_like = strategies.fixed_dictionaries(
        {},
        optional={
            name: strategies.one_of(part, part, part, anything)
            for name, part in fields.items()
        },
    )
    well_formed = strategies.fixed_dictionaries(fields)

    @_settings(examples)
    @hypothesis.given(
        strategies.lists(strategies.one_of(anything, edit_like, well_formed))
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


def check_against_reference(tree_class, history):
    """Compare each verdict and the final tree with the reference."""
    reference = naive.ReferenceTree()
    tree = tree_class()
    log = []
    for record in _records(history, tree, log, reference.version):
        expected = reference.decide(record)
        found = _comparable_verdict(tree.apply(len(log), record))
        assert found == expected, (record, found, expected)
        log.append(record)
        for path in PATHS:
            # Fill the cache, which the next edit has to clear.
            tree.values(path)
    assert tree.version == len(reference.accepted)
    assert set(tree.paths()) == reference.paths()
    for path in tree.paths():
        found = {
            name: (item.value, item.origin, item.version)
            for name, item in tree.resolve(path).items()
        }
        assert found == reference.effective_values(path), path
        values = {name: item[0] for name, item in found.items()}
        assert tree.values(path) == values
    _check_snapshots(tree_class, tree, log)


def check_with_few_remembered_ids(tree_class, history):
    """Check safety with two remembered ids and one deleted path.

    No record is accepted twice, no rejected record is accepted later, and
    no version decreases.
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
    _check_snapshots(tree_class, tree, log)


def _records(history, tree, log, version):
    """Yield the records of a history.

    `log` must hold the records yielded before.  ``version(path)`` returns
    the current version of a branch.
    """
    delayed = []
    for number, (kind, *rest) in enumerate(history):
        edits = [
            record
            for record in log
            if isinstance(record, dict) and "author" in record
        ]
        while delayed and delayed[0][0] <= len(log):
            yield delayed.pop(0)[1]
        if kind == "edit":
            yield _edit(f"e{number}", version, *rest)
        elif kind == "malformed":
            yield rest[0]
        elif kind == "snapshot":
            state = json.loads(json.dumps(tree.snapshot_record()))
            delayed.append((len(log) + rest[0], state))
            delayed.sort(key=lambda item: item[0])
        elif edits:
            old = edits[-1 - rest[0] % len(edits)]
            if kind == "repeat":
                yield dict(old)
            else:
                yield {**old, "base": version(old["path"]), "set": {}}
    for _, record in delayed:
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


def _comparable_verdict(outcome):
    code = str(outcome.code)
    if code == "none":
        return ("accepted", outcome.version)
    if code in ("conflict", "ahead"):
        return (code, outcome.winner.edit_id)
    if code == "repeated":
        return (code, _comparable_verdict(outcome.first_outcome))
    return (code,)


def _check_snapshots(tree_class, tree, log):
    """Compare replicas from the first record and from each snapshot."""
    replicas = [tree_class(tree._limits)]
    for record in log:
        if isinstance(record, dict) and record.get("kind") == "snapshot":
            replicas.append(tree_class.from_snapshot(record["state"]))
    for replica in replicas:
        for offset, record in enumerate(log):
            replica.apply(offset, record)
        assert replica.digest() == tree.digest()
        assert replica.snapshot() == tree.snapshot()
