Feature: workflow capacity

  # Guards against starts on a worker that has shrunk, in any resource, and
  # against tasks that are stopped because of it.
  Scenario Outline: workflow a worker that has shrunk in <resource> fills up no further
    Given a workflow worker with two tasks that fill it
    When the workflow worker shrinks by half in <resource>
    Then workflow no run is stopped and no task starts
    And workflow a task starts only after both have ended, with room for one

    Examples:
      | resource     |
      | cores        |
      | memory       |
      | accelerators |

  # Guards against a capacity that stays small, and against a task too large
  # for all workers that keeps others from starting.
  Scenario: workflow a task that fits no worker waits until one grows
    Given a workflow worker with two tasks that fill it
    When the workflow worker shrinks by half in cores
    Then workflow a large task waits, smaller ones run, and it starts after growth

  # Guards against room that counts as free while a run is being stopped.
  Scenario: workflow a run that is being stopped counts against a smaller capacity
    Given a workflow worker with two tasks that fill it
    When a workflow task is stopped and the worker shrinks to half its cores
    Then workflow the room is used again only after both runs have ended

  # Guards against room that counts as free while a start has no answer.
  Scenario: workflow a start without an answer counts against a smaller capacity
    Then workflow nothing starts beside an unanswered start on a shrunk worker

  # Guards against a gang that starts in the room that it had reserved before
  # its workers shrank.
  Scenario: workflow reserved room is lost when a worker shrinks
    Then workflow a gang whose tickets are renewed does not start on shrunk workers

  # Guards against an owner that relies on the capacity that its predecessor
  # has stored.
  Scenario: workflow the next owner reads the list of workers before it starts tasks
    Then workflow a new owner starts tasks only by the capacity in the list

  # Guards against starts by the capacity and the labels of an incarnation
  # that has ended.
  Scenario: workflow a restarted worker gets no task before its entry is read
    Then workflow a worker with a new incarnation is used only by its new entry
    And workflow a restarted worker is used although its clock begins anew

  # Guards against an earlier capacity, or a worker that drains and gets tasks
  # again, because of an entry that the store has taken late.
  Scenario: workflow an entry older than the known one changes nothing
    Then workflow a late entry brings back neither the capacity nor a draining worker
    And workflow entries without an incarnation count in the order of the list

  # Guards against starts by capacities that may have changed while the list
  # of workers could not be read.
  Scenario: workflow starts wait while the list of workers is too old
    Then workflow tasks start until the list is too old and again once it is read

  # Guards against starts that were decided before the owner learned that the
  # worker has shrunk, drains or has started again, and are sent after it.
  Scenario Outline: workflow a start that was decided is not sent once <event>
    Given a workflow start that was decided and not sent
    When workflow <event>
    Then the workflow start does not hold any more

    Examples:
      | event                      |
      | its worker shrinks         |
      | its worker drains          |
      | its worker starts again    |
      | its job is cancelled       |
      | the list is too old        |
