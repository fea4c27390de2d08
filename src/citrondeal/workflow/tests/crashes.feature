Feature: workflow crashes

  # Guards against a task that crashes one worker after the other for ever.
  Scenario Outline: workflow crashes a task that crashes its workers is given up
    Given a workflow cell of 4 workers
    When a workflow job with a deadly task arrives, <how>
    And the workflow cell runs for 60 seconds
    Then the workflow job "deadly" is failed after 3 starts
    And the workflow operators see the task given up

    Examples:
      | how         |
      | alone       |
      | in a gang   |

  # Guards against a job that fails, or waits long, because of a task beside it.
  Scenario: workflow crashes neighbours of a deadly task complete
    Given a workflow cell of 4 workers
    When a workflow job with a deadly task arrives, alone
    And workflow jobs run beside it on the same worker
    And the workflow cell runs for 20 seconds
    Then all other workflow jobs are completed

  # Guards against workers that are full all the time, so that a suspect never
  # finds one that runs nothing else.
  Scenario: workflow crashes a suspect starts on a full cell
    Given a workflow cell of 4 workers
    And a workflow backlog that fills all workers
    When a workflow job has crashed two of its workers
    Then it starts again within 10 seconds, and no task starts beside it

  # Guards against tasks that are given up for faults of the network or for
  # planned work.
  Scenario Outline: workflow crashes <event> is no crash
    Given a workflow cell of 4 workers
    When the worker of a workflow job <does> four times
    Then no workflow crash is counted
    And the workflow job "job" is completed at the end

    Examples:
      | event                    | does               |
      | a short silence          | is silent for 4 s  |
      | a silence past the lease | is silent for 20 s |
      | a drained replacement    | is drained         |

  # Guards against innocent tasks that are given up because all workers lost
  # power more than once.
  Scenario Outline: workflow crashes power failures of all workers fail no job
    Given a workflow cell of 8 workers
    When <count> power failures hit a workflow cell with 30 jobs
    And the workflow cell runs for 60 seconds
    Then all other workflow jobs are completed

    Examples:
      | count |
      | 2     |
      | 3     |

  # Guards against a crash that nobody counts because its run had started before
  # the first crash of its task was counted, and the owner ends with it.
  Scenario: workflow crashes a run that goes on at the first counted crash is recorded
    Given a workflow cell of 4 workers
    When a workflow job runs elsewhere when the crash of its lapsed run is counted
    And its second worker crashes and the owner is replaced
    Then two workflow crashes are counted for the job

  # Guards against a crash that is excused although an earlier start, whose
  # record made room for newer ones, may have been one.
  Scenario: workflow crashes a start that is not recorded any more takes the excuse
    Given a workflow cell of 6 workers
    When the workers of a workflow job fall silent one after the other, 4 times
    Then the workflow job has 3 recorded starts and no excuse left

  # Guards against a budget that is spent again after crashes that no owner saw:
  # with an excused crash as well, the task would start six times.
  Scenario: workflow crashes no crash is excused after others that were not seen
    Given a workflow cell of 8 workers
    When a workflow job with a deadly task crashes two workers unseen
    And the owner counts its next crash and is replaced
    And all other workers crash together with its fifth
    Then the workflow job "deadly" is failed after 5 starts

  # Guards against the same if the owner that could know of unseen crashes is
  # replaced before it counts one.
  Scenario: workflow crashes unseen crashes are known to the owner after the next
    Given a workflow cell of 8 workers
    When a workflow job with a deadly task crashes two workers unseen
    And the owner starts it once more and is replaced
    And all other workers crash together with its fifth
    Then the workflow job "deadly" is failed after 5 starts

  # Guards against innocent jobs that are failed by power failures because the
  # owner is replaced beside one of them, at once or while the workers are away.
  Scenario Outline: workflow crashes three power failures with a new owner <when> fail no job of <cores> cores
    Given a workflow cell of 8 workers
    And <jobs> running workflow jobs of <cores> cores
    When 3 power failures hit all of them, with a new owner <when>
    Then all other workflow jobs are completed

    Examples:
      | when                     | jobs | cores |
      | never                    | 16   | 2     |
      | at the first             | 16   | 2     |
      | at the second            | 16   | 2     |
      | at the third             | 16   | 2     |
      | at the second and third  | 16   | 2     |
      | after the second         | 16   | 2     |
      | after the third          | 16   | 2     |
      | never                    | 8    | 8     |
      | at the second            | 8    | 8     |
      | at the third             | 8    | 8     |
      | after the second         | 8    | 8     |
      | after the third          | 8    | 8     |

  # Guards against an excuse while a start on a silent worker is a crash as well:
  # the task would start three more times after three crashes.
  Scenario Outline: workflow crashes a budget holds with workers away for <away> s and a new owner after start <start>
    When a workflow task crashes workers for <away> seconds each, with a new owner after start <start>
    Then the workflow task is given up after at most 5 starts

    Examples:
      | away | start |
      | 2    | 1     |
      | 12   | 2     |
      | 15   | 1     |
      | 15   | 2     |

  # Guards against a crash that is not seen because the lease had lapsed, or
  # the worker was not listed any more, before it was back.
  Scenario Outline: workflow crashes a worker that is back after its lease is seen
    Given a workflow cell of 4 workers
    When the worker of a workflow job crashes for 30 seconds, <how>
    Then one workflow crash is counted for the job

    Examples:
      | how                  |
      | with its entry kept  |
      | without its entry    |
      | under a new id       |

  # Guards against a crash that counts for a run which a silence had ended.
  Scenario: workflow crashes a crash after a silence does not count for its runs
    Given a workflow cell of 4 workers
    When the worker of a workflow job is silent and crashes long after
    Then no workflow crash is counted for the job

  # Guards against an owner that starts the count anew.
  Scenario: workflow crashes the count survives each owner
    Given a workflow cell of 4 workers
    When a workflow job with a deadly task arrives, alone
    And the owner is replaced after each counted crash for 60 seconds
    Then the workflow job "deadly" is failed after 3 starts

  # Guards against a crash that nobody counts because the owner that sent the
  # start ended before the worker was back.
  Scenario: workflow crashes a crash while the owner ends is counted
    Given a workflow cell of 4 workers
    When a workflow job with a deadly task arrives, alone
    And the owner ends at each crash but the first, for 90 seconds
    Then the workflow job "deadly" is failed after at most 5 starts

  # Guards against a start whose count is lost with the owner.
  Scenario: workflow crashes a task does not start before its crash is stored
    Given a workflow cell of 4 workers
    When a workflow job with a deadly task arrives, alone
    And the store fails after the first crash
    Then the workflow job does not start again until the store works
    And the workflow job "deadly" is failed after 3 starts

  # Guards against a second owner that spends the budget again.
  Scenario: workflow crashes an owner that cannot store starts no such task
    Given a workflow cell of 4 workers
    When a workflow job with a deadly task arrives, alone
    And the owner cannot store the next start
    Then the workflow job does not start again until the store works

  # Guards against a fault when a worker restarts while the starts of a gang
  # on it wait for the store.
  Scenario: workflow crashes a worker restarts while the starts of a gang wait
    Given a workflow cell of 1 workers
    When a workflow gang waits for the store and its worker restarts
    Then the workflow job "gang" is completed at the end

  # Guards against a wide job that is given up because power failures hit all
  # of its workers, each with one of its tasks.
  Scenario Outline: workflow crashes power failures do not give up <tasks> tasks of one job
    Given a workflow cell of 8 workers
    When 3 power failures hit a workflow job of <tasks> tasks
    Then no workflow task is given up

    Examples:
      | tasks |
      | 8     |
      | 16    |
      | 24    |

  # Guards against progress that is too large to be stored after a power
  # failure, which would keep an owner from storing anything.
  Scenario: workflow crashes a wide job goes on after a power failure
    Given a workflow cell of 20 workers
    When all workers of a workflow job of 4000 tasks crash at once
    Then the progress of the workflow job always fits in a record
    And the workflow job "wide" is completed at the end

  # Guards against a job that was accepted and whose progress outgrows a record
  # of the store, which would keep its owner from storing anything.
  Scenario Outline: workflow crashes the progress of the widest job fits after <history>
    Given the widest workflow job that is accepted, with the largest numbers
    When all its tasks have <history>
    Then its progress has always fitted in a record
    And the workflow job has <end>

    Examples:
      | history                        | end                 |
      | 4 failures                     | not ended           |
      | 2 crashes, 1 lapse             | not ended           |
      | 1 crash, 1 lapse, 1 crash      | not ended           |
      | 1 lapse, 4 failures            | not ended           |
      | 1 crash, 1 lapse, 1 failure    | not ended           |
      | 4 failures, 1 crash            | failed for its size |
      | 5 failures                     | failed for its size |
      | 2 crashes, 1 lapse, 4 failures | failed for its size |

  # Guards against progress that a new owner counts as smaller than it is.
  Scenario: workflow crashes the size of restored progress is known
    Given the widest workflow job that is accepted, with the largest numbers
    When all its tasks have 1 crash, 1 lapse, 1 failure
    Then the next owner knows the same size of the progress

  # Guards against tasks that wait for ever, because workers that are lost for
  # good never tell how the recorded starts on them ended.
  Scenario: workflow crashes lost workers do not block the tasks of a wide job
    Given a workflow cell of 5 workers
    When 4 workers of a workflow job of 1500 tasks are lost and the fifth crashes
    Then the workflow job "wide" is completed at the end

  # Guards against records of the previous version, which have no crashes.
  Scenario: workflow crashes records without crashes are read
    Then workflow progress and workers without the new fields are decoded
