Feature: cell workers

  # Guards against a task that is started again as often as it crashes its
  # worker, which ends the work of all others there each time.
  Scenario: cell a task that crashes each worker is given up
    Given a cell of 3 members
    When cell clients submit a job that crashes each worker
    And cell clients submit 12 jobs at all members
    Then the cell shows the job as failed within 40 seconds
    And the cell started it at most 2 times after its third crash
    And the cell completes all jobs within 25 seconds
    And the cell ran no task twice, after its end or beyond its worker's capacity

  # Guards against crashes that count only in the memory of one owner.
  Scenario: cell a task that crashes each worker is given up by the next owner
    Given a cell of 3 members
    When cell clients submit a job that crashes each worker
    And cell clients submit 12 jobs at all members
    And the cell owner is killed after each of the first 2 crashes
    Then the cell shows the job as failed within 60 seconds
    And the cell started it at most 2 times after its third crash
    And the cell completes all jobs within 25 seconds
    And the cell ran no task twice, after its end or beyond its worker's capacity

  # Guards against starts by a capacity that a worker has no more.
  Scenario: cell workers that shrink get no more than fits
    Given a cell of 3 members
    When cell clients submit 32 jobs with tasks of 2000 millicores for 2 seconds
    And the cell workers shrink to 2000 millicores for 10 seconds
    Then the cell completes all jobs within 25 seconds
    And the cell ran no task twice, after its end or beyond its worker's capacity

  # Guards against starts by a capacity that the owner could not read since.
  Scenario: cell workers that shrink while the store is unavailable
    Given a cell of 3 members
    When cell clients submit 32 jobs with tasks of 2000 millicores for 2 seconds
    And the cell store is unavailable while workers shrink to 2000 millicores for 9 seconds
    Then the cell completes all jobs within 40 seconds
    And the cell ran no task twice, after its end or beyond its worker's capacity

  # Guards against a job that ends, or is forgotten, because it fits no worker
  # for some time.
  Scenario: cell a job that fits no worker waits until one grows
    Given a cell of 3 members
    When the cell workers have shrunk to 500 millicores for 7 seconds
    And cell clients submit 2 jobs at all members
    Then the cell starts no task for 3 seconds
    And the cell completes all jobs within 15 seconds once its workers grow
