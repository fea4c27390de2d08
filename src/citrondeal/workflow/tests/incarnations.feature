Feature: workflow incarnations

  # Guards against an entry of another writer that takes a live worker out of
  # use for ever and lets its tasks run twice.
  Scenario: workflow an entry with a later incarnation of a live worker is refuted
    Given a workflow cell whose two workers are filled by a job
    When another writer names a later incarnation of a workflow worker
    Then workflow nothing is started before the worker reports
    And workflow the runs stay and the worker is used once it has reported
    And workflow the same entry does not take the worker out of use again

  # Guards against a restart that is not believed, and against runs that are
  # kept although they ended with the earlier incarnation.
  Scenario: workflow a later incarnation counts once it reports
    Given a workflow cell whose two workers are filled by a job
    When a workflow worker starts again and writes its entry
    Then workflow its tasks are started again once the new incarnation reports

  # Guards against tasks that run twice: a start that was sent before the
  # restart was known runs on the new incarnation.
  Scenario: workflow a start that a new incarnation has carried out stays
    Given a workflow worker that has confirmed a start which no report lists
    When the workflow worker turns out to have started again
    Then workflow the task is not started on another worker
    And workflow the task runs on after the report of the new incarnation

  # Guards against ends of a new incarnation that an acknowledgement of the
  # ends of the earlier one makes it forget unread.
  Scenario: workflow no end is acknowledged while an incarnation is uncertain
    Given a workflow cell whose two workers are filled by a job
    When another writer names a later incarnation of a workflow worker
    Then workflow its ends are acknowledged only after its next report

  # Guards against an entry whose clock hides all later entries of its worker.
  Scenario: workflow an entry with a clock far ahead is refuted
    Given a workflow cell whose two workers are filled by a job
    When another writer adds an entry with a clock far ahead
    Then workflow the next entry of the worker counts

  # Guards against an odd entry that was read first, or that an earlier owner
  # has stored, and that each next owner believes.
  Scenario Outline: workflow a wrong entry that <where> is corrected
    Then workflow a worker whose wrong entry <where> is used once it reports

    Examples:
      | where                        |
      | was read before the true one |
      | an earlier owner has stored  |

  # Guards against crashes that are counted although no worker has crashed.
  Scenario: workflow a wrong incarnation counts no crash
    Given a workflow cell whose two workers are filled by a job
    When another writer names a later incarnation of a workflow worker
    Then workflow no crash is counted once the worker has reported

  # Guards against histories in which a worker stays out of use for a heartbeat
  # after each restart, since its first entry has a clock below zero.
  Scenario: workflow the first entry of a simulated worker counts
    Given a workflow simulation without faults
    When a worker of the workflow simulation starts again
    Then workflow its first entry counts before its next one is due
