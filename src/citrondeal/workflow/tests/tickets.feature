Feature: workflow tickets

  # Guards against a gang that renews its tickets repeatedly: after each
  # renewal it chooses other workers, whose tickets have expired.
  Scenario: workflow tickets a gang starts where its tickets are valid
    Given a workflow gang whose tickets were renewed for two free workers
    When workflow fewer cores become free on two other allowed workers
    Then the workflow gang starts with the renewed tickets

  # Guards against a gang whose reservation moves to other workers while it
  # renews its tickets, so that the renewal is of no use.
  Scenario: workflow tickets a gang keeps the workers whose tickets it renews
    Given a workflow gang whose tickets are renewed while another is valid
    When the workflow worker with the valid ticket becomes free
    Then the workflow gang starts once its renewal is answered

  # Guards against a large gang that makes one call after another, so that its
  # first tickets expire before the last ones are granted.
  Scenario: workflow tickets a large gang makes its calls at the same time
    Given a workflow gang of 40 tasks and 90 free workers
    Then workflow 90 workers are asked about in 3 calls at once
    And the workflow large gang starts once all calls allow half of them

  # Guards against calls about workers that a small step does not need.
  Scenario: workflow tickets a small step makes one call
    Given a workflow gang of 4 tasks and 70 free workers
    Then workflow 30 workers are asked about in 1 calls at once

  # Guards against first calls about too few workers for a queue whose workers
  # are rarely allowed.
  Scenario: workflow tickets the number of workers follows earlier answers
    Given a workflow queue for which few workers were allowed before
    Then a workflow step of 4 tasks asks about 60 workers at once

  # Guards against urgent tasks that reserve the cores of a gang while its
  # tickets are renewed, so that it has to renew them once more.
  Scenario: workflow tickets cores reserved for a renewal stay with the gang
    Given a workflow gang whose tickets are renewed on the only two workers
    When a workflow urgent task that does not fit arrives
    Then the workflow gang starts once its renewal is answered

  # Guards against a gang that needs many calls one after another to learn
  # where it may run, because it fits on no worker at the moment.
  Scenario: workflow tickets a gang that does not fit asks about enough workers
    Given a workflow gang of 30 tasks and 90 full workers
    Then workflow 90 workers are asked about in 3 calls at once

  # Guards against gangs that are served too seldom: one whose tickets have
  # expired and that fits now would wait for calls about further workers before
  # it renews them.
  Scenario: workflow tickets a renewal does not wait for other calls
    Given a workflow gang that asks about further workers
    When workflow enough allowed workers become free
    Then the workflow gang renews its tickets at once

  # Guards against gangs that are served too seldom: with a few workers a round,
  # the tickets of each round would expire before the next one is answered.
  Scenario: workflow tickets a gang that still does not fit asks about all others
    Given a workflow gang that does not fit on the workers of its first round
    Then workflow all other workers are asked about at once

  # Guards against a gang that never starts, because the answer to its renewal
  # is not recognized after one of the workers has been removed.
  Scenario: workflow tickets a gang renews again after a worker has been removed
    Given a workflow gang whose tickets are renewed on the only two workers
    When a workflow worker of the renewal is removed before its answer
    Then the workflow gang starts on another worker

  # Guards against jobs in time that get no tickets and never start, because
  # the calls of late jobs, which are due before them, take all members.
  Scenario: workflow tickets late jobs ask after those in time
    Then workflow the calls of a job in time come before those of a late one

  # Guards against a large gang that never starts, because the service rejects
  # the one call that renews all its tickets.
  Scenario Outline: workflow tickets a gang of <tasks> tasks renews in several calls
    Given a workflow gang of <tasks> tasks and <tasks> full workers
    Then the workflow gang starts with tickets renewed in calls of at most 100 workers

    Examples:
      | tasks |
      | 101   |
      | 950   |
