Feature: cell histories

  # Guards against an accepted job that is denied, changes its end or is
  # cancelled by nobody, and against a refused one that is stored: random
  # histories with owners that follow each other, jobs that are sent again and
  # cancelled at other members, deletions, and a store that is down, deletes
  # its history, rejects calls, loses answers and carries calls out late.
  Scenario: cell accepted jobs stay known in random histories of the store
    Then cell clients see no violation in the histories of seeds 1 to 4
