Feature: scheduler rebalancing

  # Guards against tasks that wait for all leases of earlier owners, because the
  # pool was handed to a process that had just started: it doesn't know which
  # workers have left the zone of late.
  Scenario: scheduler hands the pool to no process that has just started
    Then a scheduler hands its pool over after 600 to 615 s, not before
