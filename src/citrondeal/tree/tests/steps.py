"""Steps for the settings tree."""

import copy
import json
import pathlib

from behave import given
from behave import then
from behave import when

from citrondeal import tree as tree_package
from citrondeal.tree import schema
from citrondeal.tree.tests import histories

EXAMPLES = 150

MUTATIONS = {
    "accepts any base": [("if edit.base != current:", "if False:")],
    "forgets edit ids": [
        ("if first is not None:", "if False:"),
        ("if edit.edit_id in self._remembered:", "if False:"),
    ],
    "applies snapshots while running": [
        (
            'reason = "a running replica ignores snapshots"',
            'self._restore(record["state"]); reason = ""',
        )
    ],
    "applies the valid part of an edit": [
        (
            'return f"{edit.path}: {name} {reason}", None',
            "del values[name]",
        )
    ],
    "validates only the edited branch": [
        ("for path in (edit.path, *below):", "for path in (edit.path,):")
    ],
    "deletes nodes with children": [
        ("if self._children(edit.path):", "if False:")
    ],
    "restarts versions after a deletion": [
        (
            "return self._version_floor if winner is None else winner.version",
            "return 0",
        )
    ],
    "restarts versions of forgotten paths": [
        (
            "self._version_floor = self._deleted.pop(oldest)",
            "self._deleted.pop(oldest)",
        )
    ],
    "accepts late copies of forgotten rejected edits": [
        ("if known.base < self.branch_version(path):", "if True:")
    ],
    "resets the version counter on restore": [
        (
            'self._version_counter = _require_int(state["counter"])',
            "self._version_counter = 0",
        )
    ],
}


@given("tree an empty tree")
def empty_tree(context):
    context.tree = tree_package.Tree()
    context.log = []


@when("tree the records are applied")
def apply_records(context):
    context.outcomes = []
    for line in context.text.splitlines():
        record = {"kind": "edit", "set": {}, **json.loads(line)}
        outcome = context.tree.apply(len(context.log), record)
        context.log.append(record)
        context.outcomes.append(outcome)


@then('tree the last verdict is "{verdict}" because of "{code}"')
def last_verdict(context, verdict, code):
    outcome = context.outcomes[-1]
    assert (outcome.verdict, outcome.code) == (verdict, code), outcome


@then('tree the reason names "{words}"')
def reason_names(context, words):
    reason = context.outcomes[-1].reason
    assert all(word in reason for word in words.split()), reason


@then('tree the winner is edit "{edit_id}" with version {version:d}')
def winner_is(context, edit_id, version):
    winner = context.outcomes[-1].winner
    assert (winner.edit_id, winner.version) == (edit_id, version), winner


@then('tree "{path}" has "{name}" {value} from "{origin}"')
def value_from(context, path, name, value, origin):
    found = context.tree.resolve(path)[name]
    expected = (json.loads(value), None if origin == "default" else origin)
    assert (found.value, found.origin) == expected, found


@then('tree the history of "{path}" has edits "{edit_ids}"')
def history_has(context, path, edit_ids):
    found = [entry["edit_id"] for entry in context.tree.history(path)]
    assert found == edit_ids.split(), found


@then("tree {count:d} records were malformed and version is {version:d}")
def malformed_count_and_version(context, count, version):
    assert context.tree.malformed == count, context.tree.malformed
    assert context.tree.version == version, context.tree.version


@then("tree random JSON is skipped or decided and never raises")
def never_raises(context):
    histories.check_random_json(tree_package.Tree, EXAMPLES)


@then("tree random histories agree with the reference implementation")
def agree_with_reference(context):
    check = histories.check_against_reference
    histories.check_random_histories(check, tree_package.Tree, EXAMPLES)


@then("tree random histories are safe when ids are forgotten")
def safe_with_few_remembered_ids(context):
    histories.check_random_histories(
        histories.check_with_few_remembered_ids, tree_package.Tree, EXAMPLES
    )


@then('tree the random histories detect a tree that "{mutation}"')
def detects_mutant(context, mutation):
    tree_class = histories.mutant(*MUTATIONS[mutation])
    for check in (
        histories.check_against_reference,
        histories.check_with_few_remembered_ids,
    ):
        try:
            histories.check_random_histories(check, tree_class, EXAMPLES)
        except (AssertionError, ValueError):
            # ValueError: a snapshot that does not match its digest.
            return
    raise AssertionError(f"no check failed for a tree that {mutation}")


@then("tree a changed snapshot is refused")
def changed_snapshot_refused(context):
    valid = json.loads(json.dumps(context.tree.snapshot()))
    assert tree_package.Tree.from_snapshot(valid).snapshot() == valid
    malformed_states = [
        {},
        None,
        [],
        {**valid, "version": 99},
        {**valid, "format": 2},
    ]
    for name in valid:
        without = copy.deepcopy(valid)
        del without[name]
        malformed_states.append(without)
    for state in malformed_states:
        try:
            tree_package.Tree.from_snapshot(state)
        except ValueError:
            continue
        raise AssertionError(f"no error for malformed snapshot {state}")


@then("tree check gives the verdict of apply without a change")
def check_equals_apply(context):
    tree = context.tree
    for number, record in enumerate(context.log):
        edit = tree_package.Edit(
            f"n{number}", record["path"], record["base"], record["set"]
        )
        before = tree.snapshot()
        predicted = tree.check(edit)
        assert tree.snapshot() == before
        copied = tree_package.Tree.from_snapshot(before)
        found = copied.apply(1000, tree_package.edit_record(edit))
        assert (found.verdict, found.code, found.version) == (
            predicted.verdict,
            predicted.code,
            predicted.version,
        )


@then("tree the default of every key is valid, alone and together")
def defaults_valid(context):
    for key in schema.KEYS.values():
        assert schema.check_value(key, key.default) == (key.default, None)
    for kind in schema.PathKind:
        keys = schema.keys_of(kind)
        values = {name: key.default for name, key in keys.items()}
        assert schema.violation_of(values.get) is None


@then("tree docs/settings.md has a row for every key")
def every_key_documented(context):
    root = pathlib.Path(__file__).parents[4]
    rows = (root / "docs" / "settings.md").read_text().splitlines()
    for key in schema.KEYS.values():
        at = "/".join(key.kinds) or "root only"
        found = [r for r in rows if r.startswith(f"| `{key.name}` | {at} |")]
        assert len(found) == 1, key.name
        default = json.dumps(key.default).strip('"').removesuffix(".0")
        assert (f"`{default}`" if default else "(empty)") in found[0], found
        assert key.meaning in found[0], found


@then('tree key "{name}" refuses {value}')
def key_refuses(context, name, value):
    found, reason = schema.check_value(schema.KEYS[name], json.loads(value))
    assert found is None and reason, found
