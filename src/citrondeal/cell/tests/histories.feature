Feature: cell histories

  # Guards against an accepted job that is denied, changes its end or is
  # cancelled by nobody, and against a refused one that is stored: random
  # histories with owners that follow each other, jobs that are sent again and
  # cancelled at other members, deletions, and a store that is down, deletes
  # its history, rejects calls, loses answers and carries calls out late.
  Scenario: cell accepted jobs stay known in random histories of the store
    Then cell clients see no violation in the histories of seeds 1 to 4

  # Guards against a task that runs twice after changes of the owner: an
  # acknowledged end that the next owner does not know, a completed job that is
  # taken back, a job that two owners start, and an epoch with two writers.
  # Pages are no snapshot, records expire, answers are lost, calls are carried
  # out seconds late, and replaced owners go on.
  Scenario: cell owners that follow each other start nothing twice
    Then cell no invariant is broken in the histories of owners of seeds 1 to 5

  # Guards against histories that would not show such faults.
  Scenario Outline: cell histories of owners show <mutant>
    Then cell invariant "<invariant>" is broken with "<mutant>" in a history of owners

    Examples:
      | mutant                                | invariant |
      | ends acknowledged with the next write | 1         |
      | progress dropped without a submission | 2         |
      | loaded jobs not recovered             | 3         |
      | barriers ignored                      | 4         |
      | claims without a condition            | 5         |
      | progress not fenced                   | 1         |
      | pages taken for a snapshot            | lost      |
