Feature: workflow wide jobs

  # Guards against planning passes in which each waiting task searches all
  # recorded starts of its job, so that the owner answers nobody and is replaced.
  Scenario: workflow wide jobs a planning pass stays short after a power failure
    When a power failure hits a workflow job of 2900 running tasks
    Then no workflow planning pass takes so long that the owner is replaced

  # Guards against tasks of a wide job that wait until others of it end, because
  # only so many starts of a job can be recorded.
  Scenario: workflow wide jobs all tasks go on after a power failure
    When a power failure hits a workflow job of 1200 running tasks
    Then all 1200 workflow tasks run 5 seconds after its end

  # Guards against a job without fault that fails after three power failures
  # because the starts of all its tasks do not fit in its record, so that no
  # crash of it is excused.
  Scenario: workflow wide jobs three power failures fail no job of 1200 tasks
    Given a workflow cell of 200 workers
    When three power failures hit a workflow job of 1200 long tasks
    Then the wide workflow job is not failed
