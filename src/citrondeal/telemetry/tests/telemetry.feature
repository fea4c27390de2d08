Feature: telemetry
  # Guards against traffic counters that leave out headers, which make up most
  # of the bytes of an exchange in which nothing has changed.

  Scenario: telemetry the counted traffic equals the bytes on the socket
    Then telemetry exchanges with the platform are counted exactly
    And telemetry exchanges with a worker are counted exactly
