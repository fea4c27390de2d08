Feature: workflow isolation

  # Guards against a suspect that waits for ever for the worker with the most
  # free cores, which lacks memory, while another one has room for it.
  Scenario: workflow isolation a suspect starts on any worker with room for it
    Given a workflow cell of 3 workers
    When a workflow suspect fits only beside others, on the fuller worker
    Then the workflow suspect starts within 10 seconds

  # Guards against jobs that have nothing running for over 3 s although more
  # than half of the cores are free, because each is a suspect after two power
  # failures.
  Scenario: workflow isolation jobs go on soon after two power failures
    Given a workflow cell of 8 workers
    When two power failures hit a workflow cell that is not half full
    Then all its workflow jobs run 3 seconds later

  # Guards against tasks that have nothing running for 3 s after the return of
  # their workers, because they wait to be separated after an outage of many
  # workers, which points to no task.
  Scenario: workflow isolation an outage of many workers makes no suspects
    Given a workflow cell of 8 workers
    When two power failures hit a workflow cell that is not half full
    Then none of its workflow tasks is a suspect, and all ran within 3 seconds

  # Guards against tasks without fault that are given up because a task which
  # crashes its workers is placed beside the same ones again and again.
  Scenario Outline: workflow isolation neighbours go on after <outages> outages and a deadly task
    Given a workflow cell of 8 workers
    When <outages> outages hit 24 workflow jobs and a deadly task arrives
    Then the deadly workflow task is given up after at most 4 starts
    And all other workflow jobs are completed

    Examples:
      | outages |
      | 0       |
      | 1       |
      | 2       |

  # Guards against a service whose only worker runs nothing but one task until
  # it ends, because that task is a suspect after two power failures.
  Scenario: workflow isolation a suspect does not keep the only worker for itself
    Given a workflow cell of 1 workers
    When a workflow suspect runs on the only worker beside free cores
    Then another workflow job is completed within 10 seconds

  # Guards against a worker that runs nothing but a suspect for as long as it
  # lasts, while another job has nothing running for 3 s.
  Scenario: workflow isolation a suspect that lasts is joined by others
    Given a workflow cell of 2 workers
    When a workflow suspect starts on a free worker beside a full one
    Then no task joins it for 1 second, and another one does within 3 seconds

  # Guards against a new owner that starts nothing at first, because each worker
  # runs a suspect that it took over.
  Scenario: workflow isolation suspects that are taken over do not close all workers
    Given a workflow cell of 8 workers
    When two power failures hit a workflow cell that is not half full
    And the owner of the workflow cell is replaced while all jobs run
    Then another workflow job starts within 1 second

  # Guards against resources that stay reserved for a task with a crash although
  # the ticket service does not allow the worker any more.
  Scenario: workflow isolation a task without a ticket keeps nothing reserved
    Given a workflow cell of 2 workers with tickets
    When a workflow task crashes its worker and gets no other ticket
    Then other workflow tasks fill both workers within 3 seconds

  # Guards against a job that fails for crashes of workers on which none of its
  # tasks has run, because its starts arrived after the crashes.
  Scenario: workflow isolation a task that never ran is not given up
    Given a workflow cell of 1 workers
    When a workflow worker crashes 3 times just before a start arrives
    Then the workflow job that never ran is not failed

  # Guards against a task with a crash that never starts while the store is slow,
  # because its ticket expires before its start is recorded.
  Scenario: workflow isolation a slow store delays a recorded start only
    Given a workflow cell with tickets whose store answers after 1000 ms
    Then a workflow task with a crash starts like another one in 30 s

  # Guards against a recorded start that keeps its resources for ever although
  # the ticket service does not allow its worker any more.
  Scenario: workflow isolation a recorded start without a ticket is cancelled
    Given a workflow cell with tickets whose store answers after 3000 ms
    When no workflow worker is allowed any more while a start is recorded
    Then the recorded workflow start is cancelled and nothing stays reserved

  # Guards against jobs that have nothing running for over 3 s although there is
  # room: suspects that find no place are tried again and again before others,
  # whose wait for an empty worker begins only at their first attempt.
  Scenario: workflow isolation many suspects start soon after a takeover and an outage
    Given a workflow cell of 60 workers
    When 220 workflow jobs have two outages, a new owner and an outage
    Then each workflow job has waited for at most 3 s after the last outage

  # Guards against a worker that is kept for a suspect which gets no ticket for
  # as long as the ticket service is away, although nothing runs there.
  Scenario Outline: workflow isolation a suspect without a ticket keeps no worker free, <moment>
    Given a workflow cell with tickets whose store answers after 2200 ms
    When the ticket service fails <moment> the workflow suspect is decided
    Then another workflow job starts within 3 s on the worker of the suspect

    Examples:
      | moment |
      | before |
      | after  |

  # Guards against a gang that never starts again after a crash: room was kept
  # for it only while it was tried, and others took it in between.
  Scenario: workflow isolation a gang with a crash gets room on a busy cell
    Given a workflow gang on two workers, and a backlog of later jobs
    When a worker of the workflow gang crashes
    Then the workflow gang starts again once the tasks beside it have ended
