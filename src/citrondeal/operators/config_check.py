"""``citrondealctl check-config``: checks a configuration before it is sent."""

import dataclasses
import json
import pathlib

from citrondeal import platform
from citrondeal.tree import schema


class UnreadableError(Exception):
    """A file that cannot be read or is no configuration at all."""


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Result of a check.

    Attributes
    ----------
    findings : list of platform.Finding
    differences : list of str
        Differences from the version in force, in words.
    """

    findings: list
    differences: list

    def as_json(self):
        """Return it as values that JSON can encode."""
        return {
            "findings": [dataclasses.asdict(f) for f in self.findings],
            "differences": self.differences,
        }

    def as_text(self):
        """Return it as lines for people."""
        lines = [
            f"{f.severity}: {f.place}: {f.message}" for f in self.findings
        ]
        lines += [f"changes: {line}" for line in self.differences]
        return "\n".join(lines) or "no findings"


def check(path, against=None):
    """Check a file.

    Parameters
    ----------
    path : str
        Configuration of the platform, or settings tree as a JSON object of
        paths with their keys and values.
    against : str, optional
        File of the same type with the version in force.

    Returns
    -------
    Report

    Raises
    ------
    UnreadableError
        If a file cannot be read, is no JSON object, or `against` is of the
        other type or invalid.
    """
    data, is_tree = _read(path)
    check_data = _check_tree if is_tree else platform.check_config
    findings = check_data(data)
    differences = []
    if against is not None:
        earlier, earlier_is_tree = _read(against)
        if earlier_is_tree != is_tree:
            raise UnreadableError(f"{against} is no file of the same type")
        if is_tree:
            differences = _tree_differences(data, earlier)
        else:
            if _is_invalid(platform.check_config(earlier)):
                raise UnreadableError(f"{against} is no valid configuration")
            if not _is_invalid(findings):
                differences = platform.config_differences(data, earlier)
    return Report(findings, differences)


def _read(path):
    """Return the content of a file and whether it is a settings tree."""
    try:
        data = pathlib.Path(path).read_bytes()
        content = json.loads(data)
    except (OSError, ValueError, RecursionError) as exc:
        raise UnreadableError(f"cannot read {path}: {exc}") from exc
    if not isinstance(content, dict):
        raise UnreadableError(f"{path} is no JSON object")
    return data, bool(content) and all(key[:1] == "/" for key in content)


def _is_invalid(findings):
    """Return whether a configuration could not be decoded."""
    return any(finding.place.startswith("$") for finding in findings)


def _check_tree(data):
    nodes = json.loads(data)
    findings = []
    for path, values in nodes.items():
        kind = schema.kind_of(path)
        if kind is None or not isinstance(values, dict):
            findings.append(
                platform.Finding("error", path, "is no node of the tree")
            )
            continue
        own = list(_check_node(path, kind, values))
        # Constraints between keys can be checked for valid values only.
        findings += own or _check_effective_values(path, kind, nodes)
    return findings


def _check_node(path, kind, values):
    accepted = schema.keys_of(kind)
    for name, value in values.items():
        place = f"{path} {name}"
        if name not in accepted:
            yield platform.Finding(
                "error", place, f"a {kind} accepts no such key"
            )
            continue
        _, reason = schema.check_value(accepted[name], value)
        if reason:
            yield platform.Finding("error", place, reason)


def _check_effective_values(path, kind, nodes):
    """Find values that contradict each other once all are inherited."""
    accepted = schema.keys_of(kind)
    effective = {name: key.default for name, key in accepted.items()}
    for node in (*reversed(schema.parents_of(path)), path):
        values = nodes.get(node)
        if not isinstance(values, dict):
            continue
        for name in values.keys() & accepted.keys():
            value, reason = schema.check_value(accepted[name], values[name])
            if reason is None:
                effective[name] = value
    violation = schema.violation_of(effective.get)
    if violation:
        yield platform.Finding("error", path, violation)


def _tree_differences(data, earlier):
    new, old = json.loads(data), json.loads(earlier)
    lines = [f"{path} is removed" for path in sorted(old.keys() - new.keys())]
    for path in sorted(new):
        before, after = old.get(path), new[path]
        if before is None:
            lines.append(f"{path} is added")
        elif isinstance(before, dict) and isinstance(after, dict):
            lines += [
                f"{path} {name} changes from {before.get(name)!r}"
                f" to {after.get(name)!r}"
                for name in sorted(before.keys() | after.keys())
                if before.get(name) != after.get(name)
            ]
    return lines
