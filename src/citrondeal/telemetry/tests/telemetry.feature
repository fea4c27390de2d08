Feature: telemetry
  # Guards against traffic figures that leave out headers, which are most of
  # the bytes of an exchange in which nothing has changed.

  Scenario: telemetry the traffic is what passes through the socket
    Then telemetry exchanges with the platform are counted exactly
    And telemetry exchanges with a worker are counted exactly
