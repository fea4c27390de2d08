Feature: workflow tickets

  # Guards against a gang that renews its tickets again and again, because
  # each renewal ends with a choice of other workers whose tickets are over.
  Scenario: workflow tickets a gang starts where its tickets are valid
    Given a workflow gang whose tickets were renewed for two free workers
    When workflow less room becomes free on two other allowed workers
    Then the workflow gang starts with the renewed tickets
