Feature: workflow backfill

  # Guards against jobs that wait on idle workers for as long as a gang waits
  # for the end of long tasks on a few of them.
  Scenario: workflow backfill a short task uses the room that is kept for a gang
    Given a workflow gang that waits 40 s for a long task on one of its workers
    When a workflow task of 1 s arrives
    Then it starts at once

  # Guards against a gang that starts later because of tasks behind it.
  Scenario: workflow backfill a task that could delay the gang waits
    Given a workflow gang that waits 40 s for a long task on one of its workers
    When a workflow task of 30 s arrives
    Then it does not start before the workflow gang

  Scenario: workflow backfill a task of unknown length waits
    Given a workflow gang that waits 40 s for a long task on one of its workers
    When a workflow task of 0 s arrives
    Then it does not start before the workflow gang

  Scenario: workflow backfill no task starts beside a run that is overdue
    Given a workflow gang that waits 40 s for a long task on one of its workers
    When 42 s have passed and a workflow task of 1 s arrives
    Then it does not start before the workflow gang

  Scenario: workflow backfill progress beyond the estimate counts
    Given a workflow gang that waits 40 s for a long task on one of its workers
    When the long task is nearly done and a workflow task of 1 s arrives
    Then it does not start before the workflow gang
