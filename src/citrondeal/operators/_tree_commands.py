"""Commands of ``citrondealctl tree``."""

import difflib
import urllib.parse
import uuid

from citrondeal.operators import _client
from citrondeal.operators import _session
from citrondeal.tree import schema


class Tree:
    """Settings tree."""

    def __init__(self, session):
        self._session = session

    @_session.TEXT_ARGUMENTS
    def show(self, path="/"):
        """Own settings of all branches at and below PATH."""
        return _session.make_command(_show_tree, self._session, path)

    @_session.TEXT_ARGUMENTS
    def explain(self, path):
        """Effective settings of PATH and where each one comes from."""
        return _session.make_command(_explain, self._session, path)

    @_session.TEXT_ARGUMENTS
    def history(self, path):
        """Last accepted edits of PATH."""
        return _session.make_command(_show_history, self._session, path)

    @_session.TEXT_ARGUMENTS
    def set(self, path, *settings, base=None, edit_id=None, author=None):
        """Set key=value ... at PATH; without any, create the node."""
        values = _session.parse_settings(settings)
        change = {
            "set": {
                name: schema.parse_value(name, text)
                for name, text in values.items()
            }
        }
        repeat_words = ["set", path, *settings]
        return _session.make_command(
            _edit,
            self._session,
            path,
            change,
            base,
            edit_id,
            author,
            repeat_words,
        )

    @_session.TEXT_ARGUMENTS
    def unset(self, path, *keys, base=None, edit_id=None, author=None):
        """Inherit the keys of PATH from the branch above again."""
        if not keys:
            raise _session.CommandExit(
                _session.EXIT_USAGE, "tree unset needs at least one key"
            )
        change = {"unset": list(keys)}
        repeat_words = ["unset", path, *keys]
        return _session.make_command(
            _edit,
            self._session,
            path,
            change,
            base,
            edit_id,
            author,
            repeat_words,
        )

    @_session.TEXT_ARGUMENTS
    def delete(self, path, base=None, edit_id=None, author=None):
        """Delete the node PATH, which must have no children."""
        repeat_words = ["delete", path]
        return _session.make_command(
            _edit,
            self._session,
            path,
            {"delete": True},
            base,
            edit_id,
            author,
            repeat_words,
        )


def _show_tree(session, path):
    path = schema.normalize_path(path)
    query = urllib.parse.urlencode({"below": path})
    body = session.get_body(f"/v1/tree?{query}", "branches")
    rows = []
    for branch, item in body["branches"].items():
        settings = list(item["set"].items()) or [("", "")]
        rows += [
            (branch, item["version"], name, value) for name, value in settings
        ]
    session.print_table(body, ("PATH", "VERSION", "KEY", "VALUE"), rows)


def _explain(session, path):
    path = schema.normalize_path(path)
    url = f"/v1/tree/node/{_client.quote(path)}"
    body = session.get_body(url, "values", "exists")
    rows = [
        (
            name,
            item["value"],
            item["unit"],
            item["origin"] or "(default)",
            item["version"],
            schema.KEYS[name].meaning if name in schema.KEYS else "",
        )
        for name, item in body["values"].items()
    ]
    if not body["exists"]:
        print(f"{path} does not exist; it would inherit:", file=session.err)
    header = ("KEY", "VALUE", "UNIT", "FROM", "VERSION", "MEANING")
    session.print_table(body, header, rows)


def _show_history(session, path):
    path = schema.normalize_path(path)
    body = session.get_body(f"/v1/tree/history/{_client.quote(path)}", "edits")
    rows = []
    for edit in body["edits"]:
        changes = [f"{name}={value}" for name, value in edit["set"].items()]
        changes += [f"unset {name}" for name in edit["unset"]]
        if edit["delete"]:
            changes.append("delete")
        rows.append(
            (
                edit["version"],
                edit["author"],
                edit["edit_id"],
                " ".join(changes),
            )
        )
    session.print_table(body, ("VERSION", "AUTHOR", "EDIT", "CHANGE"), rows)


def _edit(session, path, change, base, edit_id, author, repeat_words):
    path = schema.normalize_path(path)
    if base is None:
        url = f"/v1/tree/node/{_client.quote(path)}"
        node = session.get_body(url, "version")
        base = node["version"]
    elif not str(base).isdecimal():
        raise _session.CommandExit(
            _session.EXIT_USAGE, f"--base {base}: should be a whole number"
        )
    if author is None:
        author = session.environ.get("USER", "")
    body = {
        "edit_id": edit_id or uuid.uuid4().hex,
        "path": path,
        "base": int(base),
        "author": author,
        **change,
    }
    reply = session.send("POST", "/v1/tree/edits", body)
    if reply.ok and reply.field("outcome") == "accepted":
        text = f"accepted: {path} is at version {reply.body['version']}"
        session.print_result(reply.body, text)
        return
    repeat = ["tree", *repeat_words, "--base", str(base)]
    repeat += ["--edit-id", body["edit_id"]]
    is_final = _session.is_final_refusal(reply)
    if session.as_json and reply.body:
        session.print_result(reply.body, "")
    if not is_final:
        raise _session.unknown_outcome_exit(session, reply, repeat)
    names = [*change.get("set", ()), *change.get("unset", ())]
    raise _session.CommandExit(
        _session.EXIT_REFUSED, _rejection_text(reply, path, names)
    )


def _rejection_text(reply, path, names):
    if reply.status in (0, 503):
        return (
            f"refused, nothing was changed: {_session.no_answer_text(reply)}"
        )
    lines = [f"rejected: {reply.message}"]
    lines += _spelling_hints(names)
    winner = reply.field("winner")
    if winner:
        author = f" by {winner['author']}" if winner["author"] else ""
        lines.append(
            f"the edit that won is {winner['edit_id'] or '(forgotten)'}"
            f"{author}, version {winner['version']}; look at it with "
            f"`citrondealctl tree history {path}` and edit again"
        )
    return "\n".join(lines)


def _spelling_hints(names):
    hints = []
    for name in names:
        near = difflib.get_close_matches(name, schema.KEYS, 1)
        if name not in schema.KEYS and near:
            hints.append(f"did you mean {near[0]} instead of {name}?")
    return hints
