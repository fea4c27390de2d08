Feature: platform truncated reports

  # Guards against tasks that run twice: a runner lists 500 ends at a time, and
  # a run whose end comes after these was taken for one that had vanished.
  Scenario Outline: platform tasks beyond the listed ends do not run again
    Given a platform runner with <count> tasks
    When all platform tasks end while the store is away
    Then platform no task starts again while the store is away
    And platform all tasks have run once when the store is back

    Examples:
      | count |
      | 499   |
      | 500   |
      | 501   |
      | 1200  |

  # Guards against a new owner that takes the first truncated report as the
  # whole truth.
  Scenario: platform a new owner starts no task that a truncated report omits
    Given a platform runner with 600 tasks
    When all platform tasks end while the store is away
    And a platform owner that knows nothing of the runs takes over
    Then platform no task starts again while the store is away
    And platform all tasks have run once when the store is back

  # Guards against a cancelled job whose runs stay for ever because their ends
  # were not in the first list.
  Scenario: platform a job that is cancelled meanwhile frees its resources
    Given a platform runner with 600 tasks
    When all platform tasks end while the store is away
    And the platform job is cancelled
    Then platform all resources are free when the store is back

  # Guards against tasks that wait for ends which a restart has lost.
  Scenario: platform a restart behind a truncated report frees its tasks
    Given a platform runner with 600 tasks
    When all platform tasks end while the store is away
    And the platform runner starts again
    Then platform the tasks without a known end start again, the others do not

  # Guards against a gang that counts as lost because the end of one member is
  # not listed yet.
  Scenario: platform a gang that ends beyond the listed ends runs once
    Given a platform runner with 499 tasks and a gang of 4
    When all platform tasks end while the store is away
    Then platform no task starts again while the store is away
    And platform all tasks have run once when the store is back
