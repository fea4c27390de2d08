Feature: workflow

  # Guards against overcommitted workers, tasks that run twice or before
  # their turn, unlimited retries, and jobs that never end.
  Scenario: workflow promises hold in random histories with faults
    Then workflow 60 random histories keep all promises

  # Each fault must be found, or the scenario above proves nothing.
  Scenario Outline: workflow random histories find the fault <name>
    Then workflow random histories find the fault "<name>"

    Examples:
      | name                                  |
      | room is free before the end is listed |
      | runs of earlier owners are ignored    |
      | barriers of later owners are ignored  |
      | ends are acknowledged before stored   |
      | dependencies are ignored              |
      | failures are not counted              |
      | leases never lapse                    |
      | spread is ignored                     |
