Feature: workflow leases

  # Guards against a task in two places: its worker, back after its leases had
  # lapsed, got a start and was cut off before the next renewal.
  Scenario: workflow a start gives its worker a lease before any renewal
    Given a workflow worker that was cut off until its leases had lapsed
    When the workflow worker gets a start and is cut off before a renewal
    Then the workflow task starts elsewhere once the lease of its start is over

  # Guards against a task in two places under a new owner, which has read from
  # the record of the worker that its earlier leases end at once.
  Scenario: workflow a start outlasts a stored end of the earlier leases
    Given a workflow owner that has read when the leases of a worker end
    When the workflow worker gets a start and another one becomes free before a renewal
    Then the workflow task starts elsewhere once the lease of its start is over

  # Guards against a lease that counts from the decision of a start, although
  # its order waits until it is stored.
  Scenario: workflow a start that was withheld gives a lease when it is sent
    Given a workflow task with a crash and workers whose leases are over
    When its next workflow start is stored 2 s after its decision
    Then the workflow task starts elsewhere once the lease of its start is over

  # Guards against a task in two places: the next owner read it from the records
  # of two silent workers, took it as running on the one whose leases were over,
  # and started it again once that one answered.
  Scenario Outline: workflow a task of two silent workers waits for both
    Given a workflow task that was started again after its worker <first> was lost
    When its next worker is cut off, too, and the workflow owner changes
    Then the workflow task runs on until it is heard from, and starts nowhere else

    Examples:
      | first |
      | w0    |
      | w2    |

  # Guards against a task that crashes one worker more than allowed: the next
  # owner took it as running on the worker whose leases were over.
  Scenario Outline: workflow a crash of the newest of two silent workers counts
    Given a workflow task that was started again after its worker <first> was lost
    When its next worker is cut off, too, and the workflow owner changes
    And that worker has crashed meanwhile
    Then one crash of the workflow task is counted

    Examples:
      | first |
      | w0    |
      | w2    |

  # Guards against owner after owner that takes tasks as running on a lost
  # worker, since its record is never replaced.
  Scenario Outline: workflow the record of a worker whose leases are over is empty
    Given a workflow cell with a task on a worker that is cut off for good
    When the workflow owner changes <changes> times and the leases lapse
    Then the workflow record of the worker shows that nothing runs there

    Examples:
      | changes |
      | 0       |
      | 1       |

  # Guards against a task in two places: its worker reports a run that the owner
  # took as over, and refuses the one that the owner has ordered.
  Scenario: workflow a task waits for a run that its owner does not know
    Given a workflow worker that reports another run than the one ordered
    When the workflow worker refuses the order
    Then the workflow task starts once the worker reports the other run no more

  # Guards against a task in two places while one worker after the other falls
  # silent and the owner changes.
  Scenario: workflow no task runs twice in an outage that spreads
    Then workflow 60 random histories of silent workers start no task twice
