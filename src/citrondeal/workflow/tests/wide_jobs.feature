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
