Feature: workflow

  # Guards against overcommitted workers, also when their capacity changes,
  # tasks that run twice or before the steps they depend on, unlimited
  # retries, jobs that never end, and tasks that crash one worker after the
  # other.
  Scenario: workflow invariants hold in random histories with faults
    Then workflow 60 random histories keep all invariants

  # Guards against jobs that wait for ever behind a long history with few
  # workers, which crash again and again.
  Scenario: workflow invariants hold in a long random history with faults
    Then workflow random history 15 of 60 s keeps all invariants

  # Checks that the scenario above can fail: it must find each of these faults.
  Scenario Outline: workflow random histories find the fault <name>
    Then workflow random histories find the fault "<name>"

    Examples:
      | name                                    |
      | runs are released before they end       |
      | runs of earlier owners are ignored      |
      | ends are acknowledged before stored     |
      | truncated reports are taken as complete |
      | stored leases count as over             |
      | dependencies are ignored                |
      | failures are not counted                |
      | leases never lapse                      |
      | starts give no lease                    |
      | spread is ignored                       |
      | gangs start in part                     |
      | capacity changes are ignored            |
      | restarted workers are used at once      |
      | runs of a new incarnation are released  |
      | fences stay after a restart             |
      | entries prove an incarnation            |
      | crashes are not counted                 |
      | crash counts are not stored             |

  # Guards against an owner on a weak machine that answers nobody while it
  # sends the starts of a burst.
  Scenario: workflow a burst is started in portions and in order
    Given a workflow burst of 40 jobs of one task and a gang of 10 tasks
    Then workflow passes of at most 8 starts start all of them, the gang whole

  # Guards against one step of thousands of tasks that stalls owner after
  # owner: each sends all its starts at once and is replaced meanwhile.
  Scenario: workflow a wide step is started in portions
    Then workflow passes of at most 48 starts start a step of 500

  # Guards against progress that the store refuses, whoever is the owner, so
  # that nothing more is stored and no end is acknowledged.
  Scenario: workflow very many runs still fit in a record
    Then workflow the progress of 5000 tasks that fail 12 times fits in a record
    And workflow the record of a silent worker with 12000 runs is small

  # Guards against small tasks that take each freed core, so that a larger
  # urgent task never fits.
  Scenario: workflow cores are reserved for urgent tasks that do not fit
    Given a workflow worker with 4 cores and a backlog of 2-core tasks
    When a workflow urgent task of 3 cores arrives
    Then the workflow urgent task starts once both running tasks have ended

  # Guards against gangs that never fit because smaller tasks take each freed
  # core, although the gang is due earlier.
  Scenario: workflow cores are reserved for a gang that has waited
    Given a workflow worker with 4 cores and a backlog of 2-core tasks
    When a workflow gang of 2 tasks with 2 cores waits for 5 seconds
    Then the workflow gang starts once both running tasks have ended

  # Guards against runs that stay in the state "stopping" because each
  # repetition of the stop counts as newer than the report that lacks the run.
  Scenario: workflow a stopped run is gone although its stop is repeated
    Given a workflow worker whose start got no answer
    When workflow stops are repeated while each report takes a second
    Then the workflow resources of the run are free within 3 seconds

  # Guards against a count of waiting jobs that leaves out those whose starts
  # were decided but did not happen.
  Scenario: workflow a job waits until one of its tasks has started
    Then workflow a job whose start was refused still counts as waiting
    And workflow a job whose start was confirmed does not count as waiting
    And workflow a job whose start got no answer waits until it is reported

  # Guards against a task in two places: an owner that is cut off from the
  # store and from the next owner renews leases on a worker that only it
  # reaches, while the next owner takes them as lapsed.
  Scenario: workflow a cut off owner stops renewing before its leases are taken as lapsed
    Then workflow tasks of a worker that only the earlier owner reaches start elsewhere after its last lease

  # Guards against jobs whose result is of no more use that start before
  # others.
  Scenario: workflow jobs that are far too late come last
    Given a workflow worker with 4 cores and a task that uses all of them
    When workflow jobs wait until one is late and another far too late
    Then the workflow job that is in time starts before the late ones
    And the workflow job that is far too late starts last

  # Guards against new tasks on a worker that answers although its tasks make
  # no progress.
  Scenario: workflow a worker whose tasks are stalled is the last choice
    Given two workflow workers of which one makes no progress
    Then a workflow task starts on the other worker
    And a workflow task that needs the first worker starts there

  # Guards against takeovers that wait for the lease of a worker that the
  # earlier owner could not reach, or that has been replaced.
  Scenario: workflow a takeover delays only tasks whose runs may be unknown
    Then workflow tasks of an unreachable worker wait and all others start
    And workflow a worker that is replaced at its address frees its tasks
    And workflow a worker that is gone is dropped from the stored list

  # Guards against tasks that do not start again as long as so many runs end
  # that each report of their worker may omit some.
  Scenario: workflow a truncated report proves the ends before those it lists
    Then workflow a run is gone once a run that ended after it is listed

  # Guards against a job that never runs, because its queue was moved to another
  # service and the workers of the first one have left.
  Scenario: workflow a job whose queue has moved runs
    Then workflow a job follows its queue once its service has no worker

  # Guards against tasks in two places after an entry of another writer, with
  # the address of a worker that is alive.
  Scenario: workflow an entry of another writer does not remove a live worker
    Then workflow an entry with the address of a live worker changes nothing

  # Guards against a takeover whose first start waits up to 0.5 s for the next
  # regular write of progress, because its workers have to be stored before.
  Scenario: workflow a worker that has answered is stored at once
    Then workflow changes are to be stored when a recovered worker has answered

  # Guards against a task that starts again after its success, because a new
  # owner takes the listed end of an earlier run for that of the last one.
  Scenario: workflow a new owner waits for the end of the last run it assumes
    Then workflow an end of an earlier run releases no run of a later number

  # Guards against a store that grows without limit, and against the loss of a
  # job's state while clients may still query it.
  Scenario: workflow records of ended jobs are dropped in time
    Then workflow the submission of a job is dropped once its end is stored
    And workflow the state of a job is kept while clients may query it

  # Guards against a cancelled job that stays "running" for ever and whose
  # tasks run on, because the owner changed before it had stored the end.
  Scenario: workflow a cancellation outlives a change of the owner
    Then workflow a cancellation that no owner has applied ends a running job
    And workflow a cancellation does not change an end that is stored

  # Guards against tasks of a cancelled job that run on, because the next owner
  # takes them over from the record of a worker that was cut off.
  Scenario: workflow a cancelled job is stopped by the next owner
    Given a workflow cell of 2 workers
    When a workflow job is cancelled while its worker is cut off
    Then no workflow task of it runs on a worker 8 seconds later

  # Guards against a task that waits for ever, because its worker rejects the
  # runs of the next owner: they are numbered below those of an owner that has
  # started more than the range of an epoch.
  Scenario: workflow run numbers rise over any number of starts and owners
    Then workflow the runs of 8 owners have rising numbers
    And workflow runs begin above each number that is stored or reported
    And workflow a run number that JSON readers would round is ignored

  # Guards against jobs that have nothing running because each new owner waits
  # for whole leases on lost workers again, and against tasks in two places
  # because it takes leases as over that are not: a clock may jump.
  Scenario Outline: workflow a takeover at <moments> s waits for no lease anew
    Given a workflow cell of which one worker is lost for good
    When the workflow owner changes <moments> s later
    Then the workflow task starts elsewhere once its lease is over, within <limit> s

    # The drift of two clocks and the margins of a lease take up to 2 s. In the
    # last example the first of the owners has not noticed the loss.
    Examples:
      | moments         | limit |
      | 8.5             | 12    |
      | 3 and 6 and 9.5 | 12    |
      | 0 and 5 and 9   | 14.5  |

  Scenario: workflow a clock that jumps does not shorten leases
    Given a workflow cell of which one worker is lost for good
    When the workflow owner changes 4 s later
    And the clock of 1 other worker jumps ahead meanwhile
    Then the workflow task does not start before its lease is over

  Scenario: workflow a lease whose end is stored is not renewed before that
    Then a workflow worker that is back gets a lease once its record is replaced
