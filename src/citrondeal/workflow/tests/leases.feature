Feature: workflow leases

  # Guards against a task in two places: its worker, back after its leases had
  # lapsed, got a start and was cut off before the next renewal.
  Scenario: workflow a start gives its worker a lease before any renewal
    Given a workflow worker that was cut off until its leases had lapsed
    When the workflow worker gets a start and is cut off before a renewal
    Then the workflow task starts elsewhere once the lease of its start is over
