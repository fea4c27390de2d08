Feature: cell restarts

  # Guards against a task that starts elsewhere while the next life of its
  # worker still runs it, which took a start meant for the former life and
  # granted itself a longer lease than the owner counts.
  Scenario: cell a start meant for the former life of a cut worker runs once
    When a cell worker restarts as number 2, gets a start 0.9 s later and is cut off
    Then no cell task starts elsewhere before its lease on the worker is over

  # Guards against the same when the owner has heard from a life in between.
  Scenario: cell a start meant for the second life of a cut worker runs once
    When a cell worker restarts as number 3, gets a start 0.9 s later and is cut off
    Then no cell task starts elsewhere before its lease on the worker is over

  # Guards against a start that opens its connection after the restart and
  # counts as carried out by the former life.
  Scenario: cell a start over a new connection reaches no later life
    When a cell worker restarts before a start has opened a connection
    Then the later life of the cell worker runs nothing
    And the start counts as not carried out by the cell worker

  # Guards against a renewal that carries a time on the clock of the former
  # life, or makes the later one forget ends, once an entry has named it.
  Scenario: cell a renewal carries no time on a former clock
    When a cell worker restarts during a renewal and its entry is read
    Then the later life of the cell worker gets leases by its own clock only

  # Guards against a start for one life that travels over a connection to
  # another one, and against a restart that shows only after a timeout.
  Scenario: cell each life of a worker gets only its own starts
    When a cell worker restarts twice, each time before a start
    Then the cell owner knows each life before a held renewal would end

  # Guards against a time on a former clock, kept although the next life had
  # answered when its entry was read.
  Scenario: cell an answer that arrives as its renewal is given up counts
    Then a cell renewal that is answered when it is given up counts

  # Guards against calls without a pause to a worker that keeps no connection.
  Scenario: cell a worker that closes its connections is not called all the time
    When a cell worker closes each connection after an answer
    Then the cell worker is called once in the time between two attempts

  # Guards against starts that time out since their connection was checked.
  Scenario: cell a start has its own time after the check of its connection
    When a cell worker takes 0.4 s for each answer
    Then a start on the cell worker is answered
