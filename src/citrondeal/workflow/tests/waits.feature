Feature: workflow waits

  # Guards against gangs that are served too seldom without a sign of what they
  # lack between their submission and their start.
  Scenario: workflow waits a gang tells how long it lacked what
    Then workflow a gang lacks tickets, then room, then a renewal
