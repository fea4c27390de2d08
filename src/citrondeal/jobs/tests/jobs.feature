Feature: jobs
  # Guards against a batch job that is accepted but never runs, and against
  # an end that is acknowledged to the worker before it is in the log.

  Scenario: jobs run and their end is recorded before the acknowledgement
    Given jobs a scheduler that owns a pool of 2 workers
    When jobs "a" with 3 tasks is submitted and 3 s pass
    Then jobs 3 tasks of "a" run
    When jobs every task ends as "finished" and 3 s pass
    Then jobs the state of "a" is "finished"
    And jobs no worker lists a task
