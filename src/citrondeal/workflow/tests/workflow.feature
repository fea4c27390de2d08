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

  # Guards against small tasks that take each freed core, so that a larger
  # urgent task never finds room.
  Scenario: workflow room is kept for urgent tasks that do not fit
    Given a workflow worker with 4 cores and a backlog of 2-core tasks
    When a workflow urgent task of 3 cores arrives
    Then the workflow urgent task starts once both running tasks have ended

  # Guards against gangs that never find room beside smaller tasks, although
  # they are due first.
  Scenario: workflow room is kept for a gang that has waited
    Given a workflow worker with 4 cores and a backlog of 2-core tasks
    When a workflow gang of 2 tasks with 2 cores waits for 5 seconds
    Then the workflow gang starts once both running tasks have ended

  # Guards against work without worth that goes before work with some.
  Scenario: workflow jobs that are far too late come last
    Given a workflow worker with 4 cores and a task that fills it
    When workflow jobs wait until one is late and another far too late
    Then the workflow job that is in time starts before the late ones
    And the workflow job that is far too late starts last

  # Guards against new tasks on a worker whose tasks make no progress although
  # it answers.
  Scenario: workflow a worker whose tasks stand still is the last choice
    Given two workflow workers of which one makes no progress
    Then a workflow task starts on the other worker
    And a workflow task that needs the first worker starts there

  # Guards against takeovers that wait for the lease of a worker which an
  # earlier owner has already given up or which has been replaced.
  Scenario: workflow a takeover blocks only tasks that may run unseen
    Then workflow tasks of a silent worker wait and all others start
    And workflow a worker that is replaced at its address frees its tasks
    And workflow a worker that is gone is dropped from the stored list

  # Guards against a store that grows for ever, and against the state of a
  # job that is gone while clients may still ask for it.
  Scenario: workflow records of ended jobs are dropped in time
    Then workflow the submission of a job is dropped once its end is stored
    And workflow the state of a job is kept for as long as clients may ask
