Feature: workflow quotas

  # Guards against accounts that exceed their caps: after a change of the owner
  # during a flood, by starts without an answer, by gangs, by runs that are
  # being stopped, and while caps fall, rise and accounts come and go.
  Scenario: workflow no account exceeds its cap in random histories with faults
    Then workflow 24 random histories with accounts keep all invariants

  # Checks that the scenario above can fail: it must find each of these faults.
  Scenario Outline: workflow random histories with accounts find the fault <name>
    Then workflow random histories with accounts find the fault "<name>"

    Examples:
      | name                                  |
      | caps are ignored                      |
      | unheard workers use nothing           |
      | gangs count as one task               |
      | the first caps stay in force          |

  # Guards against steps that fail, or wait for ever, because they are wider
  # than the cap of their account.
  Scenario: workflow a step wider than the cap runs in waves
    Then workflow a step of 7 tasks runs in waves of 3 within a cap for 3
    And workflow another account uses the room that the first may not use

  # Guards against a resource that is not limited, or that is limited although
  # its cap is 0.
  Scenario Outline: workflow the cap on <resource> alone limits the tasks
    Then workflow only the cap on <resource> limits how many tasks run

    Examples:
      | resource     |
      | cores        |
      | memory       |
      | accelerators |

  # Guards against runs that are stopped, or tasks that start, while an account
  # uses more than a cap that has fallen, and against one that has risen and is
  # not used.
  Scenario: workflow a cap falls below what runs and rises again
    Then workflow nothing is stopped or started until an account is below its cap
    And workflow a start that was decided is not sent once the cap has fallen
    And workflow of two versions in quick succession the last one counts

  # Guards against jobs that were accepted and are dropped, or exceed the last
  # cap, when their account is removed.
  Scenario: workflow the jobs of a removed account run on within its last cap
    Then workflow the jobs of a removed account run on within its last cap
    And workflow a new owner waits before it runs jobs of an unknown account

  # Guards against an owner that starts jobs of accounts before it knows the
  # caps, or makes jobs without an account wait for them.
  Scenario: workflow an owner without a configuration starts no job of an account
    Then workflow only jobs without an account start before the caps are known

  # Guards against a new owner that lets an account use its cap twice: beside
  # runs on workers that it has not heard, or on silent ones.
  Scenario: workflow runs that a new owner cannot see count against the cap
    Then workflow an unheard worker counts with its capacity until it reports
    And workflow it counts with that of its newest entry if that is larger
    And workflow unknown runs on a silent worker count until its lease lapses

  # Guards against a gang that never fits because smaller tasks of its account
  # take each part of the cap that becomes free.
  Scenario: workflow a gang is not overtaken for ever within its account
    Then workflow a gang starts although urgent tasks of its account keep coming
