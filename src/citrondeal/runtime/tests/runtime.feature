Feature: runtime

  # Guards against two valid holders of a resource after the log was replaced
  # by an empty one: processes that keep their leases by promises, while a new
  # process finds the resource unclaimed.
  Scenario: runtime a process that starts on a replaced log
    Then runtime a process that starts on a replaced log is no second holder

  # Guards against a holder that uses its lease although no record of the log
  # shows it to others.
  Scenario: runtime a holder that reads a replaced log
    Then runtime a holder that reads a replaced log gives up its lease at once

  # Guards against a lease of the earlier log that blocks its resource until
  # the new log is as long as the earlier one.
  Scenario: runtime a holder that is killed when its log is replaced
    Then runtime the lease of a killed holder on a replaced log ends

  # Guards against leases and members of the earlier log that stay in the
  # table, and would come back in a snapshot.
  Scenario: runtime the leases on a replaced log
    Then runtime leases on a replaced log are those of its records

  # Guards against a gateway that takes requests although the log no longer
  # shows its successor that it has a predecessor.
  Scenario: runtime a process whose records a replaced log lacks
    Then runtime a process is registered again by a record in the new log
