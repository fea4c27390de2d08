Feature: workflow isolation

  # Guards against a suspect that waits for ever for the worker with the most
  # free cores, which lacks memory, while another one has room for it.
  Scenario: workflow isolation a suspect starts on any worker with room for it
    Given a workflow cell of 3 workers
    When a workflow suspect fits only beside others, on the fuller worker
    Then the workflow suspect starts within 10 seconds
