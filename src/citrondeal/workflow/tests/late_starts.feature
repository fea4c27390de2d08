Feature: workflow late starts

  # Guards against a task that runs twice because a late start outlives a
  # restart of its worker, and against a wait of those that have a ticket.
  Scenario Outline: workflow a task waits until its unanswered start is void
    Given a workflow start with <ticket> that got no answer
    When that workflow worker <event> and does not list the run
    Then workflow the task starts again after <wait_s> s
    And workflow <count> late starts were counted

    Examples:
      | ticket    | event        | wait_s | count |
      | no ticket | goes on      | 12     | 1     |
      | no ticket | starts again | 12     | 1     |
      | no ticket | is silent    | 22.5   | 1     |
      | a ticket  | goes on      | 0      | 0     |
      | a ticket  | starts again | 0      | 0     |
      | a ticket  | is silent    | 10     | 0     |

  # Guards against a task that waits although its start was carried out, so
  # that no copy of it is left.
  Scenario Outline: workflow a late start that a report shows is settled
    Given a workflow start with no ticket that got no answer
    When that workflow worker <event> and lists the run
    Then workflow the task starts again after 0 s

    Examples:
      | event        |
      | goes on      |
      | starts again |

  # Guards against runs that are kept on a silent worker although no later
  # incarnation can begin them.
  Scenario: workflow only an unanswered start outlasts the leases of a worker
    Given a workflow start with no ticket that got no answer
    When that workflow worker is silent and does not list the run
    Then workflow the other run of the worker starts elsewhere after 10 s

  # Guards against a next owner that takes a kept run as over at once.
  Scenario: workflow the next owner learns how long a late start may last
    Given a workflow start with no ticket that got no answer
    When that workflow worker is silent for 11 s
    Then workflow the record of that worker names the end of the late start

  # Guards against a gang of which one member runs twice.
  Scenario: workflow a gang waits for the unanswered start of one member
    Given a workflow gang of which one start got no answer
    When that workflow worker goes on and does not list the run
    Then workflow the whole gang starts again after 12 s

  # Guards against stops that are sent for as long as a task waits.
  Scenario: workflow a confirmed stop is not repeated while a task waits
    Given a workflow start with no ticket that got no answer
    When that workflow worker goes on and does not list the run
    Then workflow one stop was sent until then

  # Guards against a task that starts again after its success was acknowledged,
  # by a copy of its start that the next incarnation carries out.
  Scenario Outline: workflow late starts that reach any incarnation do no harm
    Then workflow random history <seed> keeps all invariants with such starts

    Examples:
      | seed |
      | 20   |
      | 52   |
      | 65   |
      | 85   |
