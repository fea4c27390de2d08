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

  # Guards against tasks that are never given up, since the leases of a worker
  # are renewed whose wall clock went back before it started again.
  Scenario: workflow a worker that is born earlier than before gets no leases
    Given a workflow cell whose two workers are filled by a job
    When a workflow worker starts again and its wall clock has gone back
    Then workflow its leases are not renewed, and its tasks are given up

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

  # Guards against a task that runs twice: a start for the earlier incarnation
  # that the new one carries out after its report has released the run.
  Scenario: workflow a restart counts only once earlier orders are void
    Given a workflow worker with a listed run and an end that is stored
    When a report under the earlier fence shows that the worker started again
    Then workflow the run stays, no end is acknowledged and the fence is higher
    And workflow a report that was sent before changes nothing
    And workflow a report under the higher fence releases the run

  # Guards against a run that stays for ever, and against one that counts as
  # ended because the earlier incarnation has confirmed its stop.
  Scenario Outline: workflow a start without an answer is settled by a restart
    Given a workflow worker whose start got no answer and whose stop <stop>
    When the workflow worker starts again and <has> the run
    Then workflow the run is kept only if the new incarnation has it

    Examples:
      | stop          | has           |
      | was confirmed | has           |
      | was confirmed | does not have |
      | was lost      | has           |
      | was lost      | does not have |

  # Guards against an owner that takes the answer to its own late order for the
  # sign of a newer owner, and against fences that fall.
  Scenario: workflow fences of a worker only rise
    Then workflow a refusal under a fence that was raised shows no newer owner
    And workflow a worker that is removed and listed again has a higher fence
    And workflow the fence of a worker stays below those of the next epoch

  # Guards against tasks that run twice: a start with a time on the clock of an
  # earlier incarnation gives the next one a longer lease than the owner counts,
  # and the worker is cut off before the owner has heard of the restart.
  Scenario: workflow no task runs twice while workers restart and are cut off
    Then workflow 30 random histories of restarted workers keep all invariants

  # Checks that the scenario above can fail: it must find starts that another
  # incarnation carries out than they were meant for, and an owner that goes on
  # beside a later one.
  Scenario: workflow random histories of restarts find unbound connections
    Then workflow 30 random histories of restarted workers with unbound connections break an invariant

  Scenario: workflow random histories of restarts find two owners
    Then workflow 30 random histories of restarted workers find the fault "barriers of later owners are ignored"
