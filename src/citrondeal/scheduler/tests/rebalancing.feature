Feature: scheduler rebalancing

  # Guards against tasks that wait for all leases of earlier owners, because the
  # pool was handed to a process that had just started: it doesn't know which
  # workers have left the zone of late.
  Scenario: scheduler hands the pool to no process that has just started
    Then a scheduler hands its pool over after 600 to 615 s, not before

  # Guards against the same wait after the first owner of a pool is lost, because
  # the next one had read the list of VMs before the log, and the log again only
  # after the first claim.
  Scenario: scheduler that starts just before the first claim knows all workers
    Then a scheduler that sees an unused pool knows that no task runs there
