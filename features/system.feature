Feature: system
  # Runs daemons as real processes against the stand-ins.  All figures come
  # from the stand-ins and the callers.  Guards against faults of the code
  # that does network, file and process work, which the scenarios of the
  # decision logic do not run.  The bound of 30 s for a job that is submitted
  # during a takeover lies below the 34.5 s that it waits if lost tasks are
  # released only after the longest lease.

  Scenario: system a killed pool owner is replaced and its tasks run on
    Given a system cell with endpoints 0 and workers 4 per zone
    And system jobs "service" with 6 tasks are running
    When the system owner of the pool is killed
    Then a system urgent job ends within 30 seconds
    And the system started no task of the service twice
    And all guarantees of the system hold

  Scenario: system a paused pool owner harms nothing when it resumes
    Given a system cell with endpoints 0 and workers 4 per zone
    And system jobs "service" with 6 tasks are running
    When the system owner of the pool is paused for 8 seconds
    Then a system urgent job ends within 30 seconds
    And the system started no task of the service twice
    And all guarantees of the system hold

  Scenario: system work goes on while the log is away longer than all leases
    Given a system cell with endpoints 4 and workers 4 per zone
    And system jobs "service" with 6 tasks are running
    And system batch jobs wait for free cores
    When the system log is unavailable for 12 seconds under load
    Then the system answered every request
    And system batch jobs were started during the outage
    And the system refused edits and jobs as not run during the outage
    And the system started no task of the service twice
    And all guarantees of the system hold
    And a system edit is accepted again

  Scenario: system a zone that is cut off from the log goes on and catches up
    Given a system cell with endpoints 4 and workers 4 per zone
    When system zone "cnx-a" is cut off from the log for 10 seconds under load
    Then the system answered every request
    And system zone "cnx-a" has the edit that was made meanwhile
    And all guarantees of the system hold

  Scenario: system a paused gateway harms nothing when it resumes
    Given a system cell with endpoints 4 and workers 0 per zone
    When a system gateway is paused for 8 seconds under load
    Then the system lost no request and answered none wrongly
    And all guarantees of the system hold

  Scenario: system a killed gateway loses no request for good
    Given a system cell with endpoints 4 and workers 0 per zone
    When a system gateway is killed and replaced under load
    Then the system lost no request and answered none wrongly
    And all guarantees of the system hold

  Scenario: system a rolling replacement cuts off nothing
    Given a system cell with endpoints 4 and workers 4 per zone
    And system jobs "service" with 6 tasks are running
    When every system daemon is replaced gracefully under load
    Then the system answered every request at the first attempt
    And the system started no task of the service twice
    And all guarantees of the system hold

  Scenario: system a leaving endpoint gets no new work
    Given a system cell with endpoints 4 and workers 0 per zone
    When a system endpoint is marked as leaving under load
    Then the system sent the leaving endpoint no request after 5 seconds
    And the system answered every request at the first attempt
    And all guarantees of the system hold

  Scenario: system the leaving check fails for an endpoint that is not marked
    Given a system cell with endpoints 4 and workers 0 per zone
    When a system endpoint stays unmarked under load
    Then the system check of the leaving endpoint fails

  Scenario: system the first-attempt check fails after a gateway is killed
    Given a system cell with endpoints 4 and workers 0 per zone
    When a system gateway is killed while requests are running
    Then the system check of first attempts fails

  Scenario: system silent connections to endpoints are given up
    Given a system cell with endpoints 4 and workers 0 per zone
    When system connections to endpoints go silent under load
    Then the system lost no request and answered none wrongly
    And all guarantees of the system hold

  Scenario: system lost answers of the log neither double nor lose anything
    Given a system cell with endpoints 0 and workers 4 per zone
    When the system log loses 40 percent of its answers
    Then each system edit takes effect once
    And each system job runs once
    And all guarantees of the system hold
