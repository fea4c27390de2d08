Feature: tree
  # Each replica decides from the log alone which edit wins.  The scenarios
  # guard against replicas that differ, edits that are reverted or applied
  # twice, and settings that are invalid somewhere below the edited branch.

  Scenario: tree the first edit on a base wins
    Given tree an empty tree
    When tree the records are applied
      """
      {"edit_id": "a", "path": "/teams/desk", "base": 0, "set": {"weight": 2}}
      {"edit_id": "b", "path": "/teams/desk", "base": 0, "set": {"weight": 3}}
      """
    Then tree the last verdict is "rejected" because of "conflict"
    And tree the winner is edit "a" with version 1
    And tree "/teams/desk" has "weight" 2.0 from "/teams/desk"
    And tree "/teams/desk" has "quota.accelerators" 1000000 from "default"

  Scenario: tree a deleted branch keeps its version
    # Guards against an edit of a deleted branch that changes a new branch
    # with the same path.
    Given tree an empty tree
    When tree the records are applied
      """
      {"edit_id": "a", "path": "/services/s", "base": 0}
      {"edit_id": "b", "path": "/services/s", "base": 1, "delete": true}
      {"edit_id": "c", "path": "/services/s", "base": 0}
      """
    Then tree the last verdict is "rejected" because of "conflict"
    And tree the winner is edit "b" with version 2
    And tree the history of "/services/s" has edits "a b"

  Scenario: tree an id is not used for two edits
    Given tree an empty tree
    When tree the records are applied
      """
      {"edit_id": "a", "path": "/services/s", "base": 0}
      {"edit_id": "a", "path": "/services/t", "base": 0}
      """
    Then tree the last verdict is "rejected" because of "id_reused"

  Scenario Outline: tree an invalid edit names path and reason
    Given tree an empty tree
    When tree the records are applied
      """
      {"edit_id": "a", "path": "/services/s", "base": 0, "set": {"share.low": 0.2}}
      {"edit_id": "b", "path": "/batch/f", "base": 0, "set": {"job.once": true}}
      {"edit_id": "c", "path": "/batch/f/x", "base": 0}
      {"edit_id": "d", <edit>}
      """
    Then tree the last verdict is "rejected" because of "invalid"
    And tree the reason names "<words>"
    And tree check gives the verdict of apply without a change

    Examples:
      | edit | words |
      | "path": "/", "base": 0, "set": {"share.normal": 0.4} | /services/s share.low |
      | "path": "/", "base": 0, "set": {"job.kind": "service"} | /batch/f job.once |
      | "path": "/services/s", "base": 1, "set": {"job.tasks": 2} | /services/s job.tasks |
      | "path": "/services/s", "base": 1, "set": {"share.lo": 0} | /services/s share.lo |
      | "path": "/services/s", "base": 1, "set": {"request.deadline_ms": 9000} | /services/s request.attempt_timeout_ms |
      | "path": "/batch/f", "base": 2, "delete": true | /batch/f children |
      | "path": "/batch/g/x", "base": 0 | /batch/g create |
      | "path": "/services/n", "base": 0, "unset": ["share.low"] | /services/n exist |
      | "path": "/", "base": 0, "delete": true | / deleted |
      | "path": "/nodes/n", "base": 0 | /nodes/n /services/ |

  Scenario: tree malformed records are counted and skipped
    Given tree an empty tree
    When tree the records are applied
      """
      {"edit_id": "a", "path": "/teams/t", "base": 0}
      {"edit_id": "a/b", "path": "/teams/t", "base": 1}
      {"edit_id": "c", "path": "/teams/t", "base": 1.0}
      {"edit_id": "d", "path": "/teams/t", "base": true}
      {"edit_id": "e", "path": "/teams/t", "base": 1, "set": {"weight": [1]}}
      {"edit_id": "f", "path": "/teams/t", "base": 1, "set": {"weight": null}}
      {"edit_id": "g", "path": "/teams/t", "base": 1, "unset": "weight"}
      {"edit_id": "h", "path": "/teams/t", "base": 1, "delete": 1}
      {"edit_id": "i", "path": 7, "base": 1}
      {"kind": "unheard", "edit_id": "j", "path": "/teams/t", "base": 1}
      """
    Then tree the last verdict is "ignored" because of "malformed"
    And tree 9 records were malformed and version is 1

  Scenario Outline: tree values outside type and range are refused
    Then tree key "<name>" refuses <value>

    Examples:
      | name | value |
      | job.tasks | true |
      | job.tasks | 2.0 |
      | job.tasks | 0 |
      | share.low | NaN |
      | share.low | 1.01 |
      | weight | Infinity |
      | request.idempotent | 1 |
      | job.kind | "crowd" |
      | job.command | "a\u0000b" |
      | job.command | "\ud800" |
      | job.command | 3 |
      | job.team | "a/b" |
      | job.team | null |

  Scenario: tree defaults are valid
    Then tree the default of every key is valid, alone and together

  Scenario: tree the documentation lists every key
    Then tree docs/settings.md has a row for every key

  Scenario: tree a snapshot that was changed is refused
    Given tree an empty tree
    When tree the records are applied
      """
      {"edit_id": "a", "path": "/teams/t", "base": 0, "set": {"weight": 2}}
      {"edit_id": "b", "path": "/teams/t", "base": 0}
      {"edit_id": "c", "path": "/teams/t", "base": 1, "delete": true}
      """
    Then tree a changed snapshot is refused

  Scenario: tree no record raises an exception
    Then tree random JSON is skipped or decided and never raises

  Scenario: tree random histories agree with a reference implementation
    Then tree random histories agree with the reference implementation

  Scenario: tree random histories with few remembered ids
    Then tree random histories are safe when ids are forgotten

  Scenario Outline: tree the random histories detect mutants
    # Guards against random histories that never reach the case they test.
    Then tree the random histories detect a tree that "<mutation>"

    Examples:
      | mutation |
      | accepts any base |
      | forgets edit ids |
      | applies snapshots while running |
      | applies the valid part of an edit |
      | validates only the edited branch |
      | deletes nodes with children |
      | restarts versions after a deletion |
      | restarts versions of forgotten paths |
      | accepts late copies of forgotten rejected edits |
      | resets the version counter on restore |
