"""Encodes and decodes the parts of a snapshot of the settings tree."""

import xxhash

from citrondeal.tree import _branches
from citrondeal.tree import _outcomes
from citrondeal.tree import _records
from citrondeal.tree import _remembered

# Fields of an encoded remembered edit before its reason code and texts.
DIGESTED_FIELDS = 7


def digest_of(content):
    """Return the hash of a snapshot's replicated part."""
    # Reason texts may differ between two releases that run in one cell.
    known = [item[:DIGESTED_FIELDS] for item in content["known"]]
    text = _records.canonical({**content, "known": known})
    return xxhash.xxh3_128_hexdigest(text)


def require_int(value):
    """Return the value, or raise ValueError if it is not an integer."""
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError(f"{value!r} is not an integer")
    return value


def encode_branches(branches):
    """Return the branches as a JSON-ready dict."""
    return {
        path: [
            branch.version,
            _encode_winner(branch.winner),
            {name: list(pair) for name, pair in branch.values.items()},
        ]
        for path, branch in branches.items()
    }


def decode_branches(state):
    """Return the branches by path that `encode_branches` encoded."""
    return {
        path: _branches.Branch(
            require_int(version),
            _outcomes.Winner(*winner),
            {name: (pair[0], pair[1]) for name, pair in values.items()},
        )
        for path, (version, winner, values) in state.items()
    }


def encode_deleted(deleted):
    """Return the winners of deleted paths as a JSON-ready list.

    A list keeps the order, from which the oldest entry follows.
    """
    return [
        [path, *_encode_winner(winner)] for path, winner in deleted.items()
    ]


def decode_deleted(state):
    """Return the winners by path that `encode_deleted` encoded."""
    return {path: _outcomes.Winner(*winner) for path, *winner in state}


def encode_remembered(edits):
    """Return the remembered edits as a JSON-ready list, oldest first."""
    return [_encode_edit(key, known) for key, known in edits.items()]


def decode_remembered(state):
    """Return the edits by key that `encode_remembered` encoded."""
    return dict(_decode_edit(item) for item in state)


def _encode_winner(winner):
    return [winner.edit_id, winner.version, winner.author]


def _encode_edit(key, known):
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
    if outcome.verdict is not _outcomes.Verdict.ACCEPTED:
        winner = outcome.winner
        state += [
            outcome.code.value,
            outcome.reason,
            None if winner is None else _encode_winner(winner),
        ]
    return state


def _decode_edit(item):
    key, fingerprint, base, path, verdict, version, offset, *rest = item
    code, reason, winner = (
        rest if rest else (_outcomes.ReasonCode.NONE.value, "", None)
    )
    outcome = _outcomes.Outcome(
        _outcomes.Verdict(verdict),
        _outcomes.ReasonCode(code),
        reason,
        key.partition("/")[0],
        path,
        version,
        None if winner is None else _outcomes.Winner(*winner),
        offset=offset,
    )
    return key, _remembered.RememberedEdit(fingerprint, base, outcome)
