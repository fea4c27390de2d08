Feature: workflow tickets

  # Guards against a gang that renews its tickets again and again, because
  # each renewal ends with a choice of other workers whose tickets are over.
  Scenario: workflow tickets a gang starts where its tickets are valid
    Given a workflow gang whose tickets were renewed for two free workers
    When workflow less room becomes free on two other allowed workers
    Then the workflow gang starts with the renewed tickets

  # Guards against a wide gang that asks about a few workers after the other,
  # so that its first tickets are over before the last ones come.
  Scenario: workflow tickets a wide gang makes its calls at the same time
    Given a workflow gang of 40 tasks and 90 free workers
    Then workflow 90 workers are asked about in 3 calls at once
    And the workflow wide gang starts once all calls have allowed half of them

  # Guards against calls about workers that a small step does not need.
  Scenario: workflow tickets a small step makes one call
    Given a workflow gang of 4 tasks and 70 free workers
    Then workflow 30 workers are asked about in 1 calls at once

  # Guards against a first round that is too small for a queue whose workers
  # are rarely allowed.
  Scenario: workflow tickets the size of a round follows earlier answers
    Given a workflow queue of whose workers few were allowed before
    Then a workflow step of 4 tasks asks about 60 workers at once

  # Guards against urgent tasks that take the room of a gang out of the count
  # while its tickets are renewed, so that it renews once more.
  Scenario: workflow tickets room held for a renewal is not kept for others
    Given a workflow gang whose tickets are renewed on the only two workers
    When a workflow urgent task that does not fit arrives
    Then the workflow gang starts once its renewal is answered

  # Guards against a gang that learns in many rounds where it may run, because
  # no worker has room at the moment.
  Scenario: workflow tickets a gang without room asks about enough workers
    Given a workflow gang of 30 tasks and 90 full workers
    Then workflow 90 workers are asked about in 3 calls at once
