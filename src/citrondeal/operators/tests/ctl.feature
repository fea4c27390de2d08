Feature: operators' command line
  # Guards against carrying out an edit or a job twice after a lost answer,
  # and against an exit status that reports an unknown outcome as known.

  Background:
    Given operators a cell of two servers

  Scenario: operators ctl edits, shows and deletes
    When operators citrondealctl "tree set /teams/t weight=2 quota.cores=64"
    Then operators it exits with 0 and says "accepted /teams/t version 1"
    When operators citrondealctl "tree explain /teams/t"
    Then operators it exits with 0 and says "weight 2.0 (default) /teams/t"
    When operators citrondealctl "tree unset /teams/t weight --author ana"
    Then operators it exits with 0 and says "version 2"
    When operators citrondealctl "tree show /teams"
    Then operators it exits with 0 and says "quota.cores 64.0"
    When operators citrondealctl "tree history /teams/t"
    Then operators it exits with 0 and says "ana unset weight quota.cores=64"
    When operators citrondealctl "tree delete /teams/t"
    Then operators it exits with 0 and says "version 3"

  Scenario: operators ctl reports the winner of a conflict
    Given operators edit "first" by "ana" of "/teams/t" is appended first
    When operators citrondealctl "tree set /teams/t weight=2"
    Then operators it exits with 1 and says "rejected first ana version 1 history"

  Scenario: operators ctl uses the given base
    Given operators edit "first" by "ana" creates "/teams/t"
    When operators citrondealctl "tree set /teams/t weight=2 --base 0"
    Then operators it exits with 1 and says "rejected first"

  Scenario: operators ctl tries the next server
    Given operators server "one" is "down"
    When operators citrondealctl "tree set /teams/t weight=2"
    Then operators it exits with 0 and says "version 1"

  Scenario: operators ctl skips a server that has not read the base
    Given operators edit "first" by "ana" creates "/teams/t"
    And operators server "one" is "behind"
    When operators citrondealctl "tree set /teams/t weight=2 --base 1"
    Then operators it exits with 0 and says "version 2"

  Scenario: operators ctl a lost answer causes no second edit
    Given operators server "one" is "loses_answers"
    When operators citrondealctl "tree set /teams/t weight=2"
    Then operators it exits with 0 and says "accepted"
    And operators "/teams/t" is at version 1

  Scenario Outline: operators ctl prints a safe repeat after an unknown outcome
    Given operators server "one" is "<one>"
    And operators server "two" is "<two>"
    When operators citrondealctl "tree set /batch/t 'job.command=a b' --base 0"
    Then operators it exits with 3 and says "unknown --edit-id"
    Given operators server "one" is "up"
    When operators citrondealctl runs the command that it printed
    Then operators it exits with 0 and says "accepted"
    And operators "/batch/t" is at version 1

    Examples:
      | one | two |
      | loses_answers | down |
      | loses_answers | unavailable |
      | silent | down |
      | no_read_back | silent |
      | no_read_back | down |
      | foreign | down |
      | proxy | down |

  Scenario: operators ctl a refusal after a lost request is not final
    # Server one may still append the edit at an offset where it is valid.
    Given operators server "one" is "silent"
    When operators citrondealctl "tree set /teams/t weight=0 --base 0"
    Then operators it exits with 3 and says "unknown"

  Scenario: operators ctl a conflict after a lost request is final
    Given operators edit "first" by "ana" creates "/teams/t"
    And operators server "one" is "silent"
    When operators citrondealctl "tree set /teams/t weight=2 --base 0"
    Then operators it exits with 1 and says "rejected first"

  Scenario Outline: operators ctl refusals change nothing
    Given operators server "one" is "<mode>"
    And operators server "two" is "<mode>"
    When operators citrondealctl "<line>"
    Then operators it exits with 1 and says "<words>"
    And operators the log has 0 records
    And operators there is 0 job

    Examples:
      | mode | line | words |
      | down | tree set /teams/t weight=2 | answer one two |
      | down | tree set /teams/t weight=2 --base 0 | nothing changed |
      | unavailable | tree set /teams/t weight=2 | nothing changed |
      | unavailable | job submit /batch/b | nothing changed |
      | unavailable | status | ready no |
      | down | status | ready answer |
      | up | tree set /teams/t weigth=2 | rejected weight |
      | up | tree set /team/t weight=2 | /team/t |
      | up | tree delete /teams/t | exist |
      | up | tree show /team | /team |
      | up | job submit /batch/b cores=999 | larger |
      | up | job submit /batch/b colour=2 | colour |
      | up | job cancel 1 | no job |
      | up | job wait 1 | no job |

  Scenario Outline: operators ctl usage errors send nothing
    When operators citrondealctl "<line>"
    Then operators it exits with 2 and sends nothing

    Examples:
      | line |
      | tree delete /teams/t --bas 3 |
      | tree set /teams/t weight=2 --base x |
      | tree set /teams/t weight |
      | tree set /teams/t weight=1 weight=2 |
      | tree set |
      | tree unset /teams/t |
      | tree frob |
      | job cancel |
      | job submit /batch/b path=/batch/c |
      | job wait 1 --limit_s soon |
      | drain |
      | check /nowhere.ini |
      | check /nowhere.ini --program web |
      | --server ftp://one status |
      | --server one:x status |

  Scenario: operators ctl needs a server
    When operators citrondealctl "status" without servers
    Then operators it exits with 2 and says "--server CITRONDEAL_SERVERS"

  Scenario: operators ctl a lost answer causes no second job
    Given operators server "one" is "loses_answers"
    When operators citrondealctl "job submit /batch/b tasks=3 once=true"
    Then operators it exits with 0 and says "accepted"
    And operators there is 1 job
    And operators the job has "tasks" 3
    And operators the job has "once" true
    Given operators server "two" is "loses_answers"
    When operators citrondealctl "job submit /batch/b --id 007"
    Then operators it exits with 3 and says "unknown --id 007"

  Scenario Outline: operators ctl accepts no answer of another program
    Given operators server "one" is "foreign"
    When operators citrondealctl "--server one <line>"
    Then operators it exits with <code> and says "<words>"

    Examples:
      | line | code | words |
      | job submit /batch/b | 3 | unknown --id |
      | job cancel 7 | 3 | unknown |
      | drain | 3 | unknown |
      | log-level info | 3 | not set |
      | job list | 1 | API |
      | job status 7 | 1 | API |
      | tree set /teams/t | 1 | API |
      | tree show | 1 | API |
      | tree explain / | 1 | API |
      | tree history / | 1 | API |

  Scenario Outline: operators ctl waits for a job
    Given operators job "7" goes through "<states>"
    When operators citrondealctl "job wait 7 --limit_s 5"
    Then operators it exits with <code> and says "<words>"

    Examples:
      | states | code | words |
      | queued running finished | 0 | finished |
      | queued failed | 1 | failed |
      | cancelled | 1 | cancelled |
      | running unknown | 3 | effects |
      | running held | 1 | held new id |
      | running | 3 | ended running status |

  Scenario: operators ctl job commands
    Given operators job "007" goes through "queued"
    When operators citrondealctl "job list"
    Then operators it exits with 0 and says "007 /batch/b queued"
    When operators citrondealctl "job cancel 007"
    Then operators it exits with 0 and says "cancelled"
    When operators citrondealctl "job status 007"
    Then operators it exits with 0 and says "state cancelled"

  Scenario Outline: operators ctl prints JSON
    Given operators job "7" goes through "queued"
    When operators citrondealctl "<line>"
    Then operators it prints JSON

    Examples:
      | line |
      | --json tree show |
      | tree explain / --json |
      | tree history / --json |
      | tree set /teams/t weight=1 --json |
      | job list --json |
      | job status 7 --json |
      | status --json |
      | dump |

  Scenario: operators ctl drains exactly one server
    When operators citrondealctl "--server two drain"
    Then operators it exits with 0 and says "http://two draining"
    And operators the drained servers are "http://two"

  Scenario: operators ctl sets the level of all servers
    Given operators server "two" is "down"
    When operators citrondealctl "log-level critical"
    Then operators it exits with 1 and says "http://one http://two"
    When operators citrondealctl "--server one log-level error"
    Then operators the logging level is "ERROR" until the scenario ends
    And operators it exits with 0 and says "http://one error"

  Scenario: operators ctl checks a settings file
    When operators citrondealctl checks the sample of "gateway"
    Then operators it exits with 0 and says "valid gateway"

  Scenario: operators ctl exchanges over sockets
    Then operators the client sends over a real connection
