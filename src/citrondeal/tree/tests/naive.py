"""Reference implementation of the settings tree for differential tests.

Keeps every record and every accepted edit and derives each answer by a scan
of the whole list.  It shares the table of keys with `Tree`, but none of the
code that decides on edits.
"""

import math

from citrondeal.tree import schema


class ReferenceTree:
    """Slow settings tree; verdicts are tuples such as ``("accepted", 3)``."""

    def __init__(self):
        self.accepted = []
        self.decided = []

    def version(self, path):
        versions = [
            version
            for version, edit in enumerate(self.accepted, 1)
            if edit["path"] == path
        ]
        return versions[-1] if versions else 0

    def exists(self, path, accepted=None):
        edits = self.accepted if accepted is None else accepted
        path_edits = [edit for edit in edits if edit["path"] == path]
        return path == "/" or bool(path_edits and not path_edits[-1]["delete"])

    def paths(self, accepted=None):
        edits = self.accepted if accepted is None else accepted
        edited_paths = {"/"} | {edit["path"] for edit in edits}
        return {path for path in edited_paths if self.exists(path, edits)}

    def own_values(self, path, accepted):
        """Return ``{key: (value, origin, version)}`` set at the path."""
        found = {}
        for version, edit in enumerate(accepted, 1):
            if edit["path"] != path:
                continue
            if edit["delete"]:
                found = {}
            for name in edit["unset"]:
                found.pop(name, None)
            for name, value in edit["set"].items():
                if schema.KEYS[name].type is schema.ValueType.FLOAT:
                    value = float(value)
                found[name] = (value, path, version)
        return found

    def effective_values(self, path, accepted=None):
        """Return ``{key: (value, origin, version)}``."""
        edits = self.accepted if accepted is None else accepted
        keys = schema.keys_of(schema.kind_of(path))
        found = {name: (key.default, None, 0) for name, key in keys.items()}
        for branch in reversed((path, *schema.parents_of(path))):
            for name, item in self.own_values(branch, edits).items():
                if name in keys:
                    found[name] = item
        return found

    def decide(self, record):
        verdict = self._decide(record)
        self.decided.append((record, verdict))
        if verdict[0] == "accepted":
            self.accepted.append(record)
        return verdict

    def _decide(self, record):
        if isinstance(record, dict) and record.get("kind") == "snapshot":
            return ("snapshot",)
        if not isinstance(record, dict) or record.get("kind") != "edit":
            return ("malformed",)
        if not isinstance(record.get("base"), int) or record["base"] < 0:
            return ("malformed",)
        same_id = [
            (other, verdict)
            for other, verdict in self.decided
            if verdict[0] not in ("malformed", "snapshot", "repeated")
            and other["edit_id"] == record["edit_id"]
        ]
        for other, verdict in same_id:
            if other == record:
                return ("repeated", verdict)
        if same_id:
            return ("id_reused",)
        if not self._well_typed(record):
            return ("invalid",)
        path = record["path"]
        current = self.version(path)
        if record["base"] != current:
            winner = self.accepted[current - 1]["edit_id"] if current else ""
            code = "ahead" if record["base"] > current else "conflict"
            return (code, winner)
        after = [*self.accepted, record]
        if record["delete"] or record["unset"]:
            if not self.exists(path):
                return ("invalid",)
        nodes = self.paths(after)
        for node in nodes:
            if not nodes.issuperset(schema.parents_of(node)):
                return ("invalid",)
            if self._violates_constraints(node, after):
                return ("invalid",)
        return ("accepted", len(after))

    def _well_typed(self, record):
        kind = schema.kind_of(record["path"])
        if kind is None:
            return False
        if record["delete"]:
            empty = not record["set"] and not record["unset"]
            return empty and record["path"] != "/"
        if set(record["set"]) & set(record["unset"]):
            return False
        keys = schema.keys_of(kind)
        if not {*record["set"], *record["unset"]} <= set(keys):
            return False
        return all(
            schema.check_value(keys[name], value)[1] is None
            for name, value in record["set"].items()
        )

    def _violates_constraints(self, path, accepted):
        values = {
            name: item[0]
            for name, item in self.effective_values(path, accepted).items()
        }
        shares = [
            values.get(f"share.{name}", 0)
            for name in ("urgent", "normal", "low")
        ]
        timeout_too_long = values.get(
            "request.attempt_timeout_ms", 0
        ) > values.get("request.deadline_ms", math.inf)
        service_runs_once = (
            values.get("job.kind") == "service" and values["job.once"]
        )
        return sum(shares) > 1 + 1e-6 or timeout_too_long or service_runs_once
