Feature: dedup
  A request id runs at most once, and a request answered "not run" never ran.

  Scenario: dedup matches a central ledger when nothing fails
    # Guards against answers that differ from those of one table of all ids,
    # without lost messages or stopped gateways.
    Then dedup 400 events give the same answers as a central ledger

  Scenario: dedup never ends as unknown without a fault
    # Guards against concurrent attempts that end each other.
    Then dedup 200 "delays" runs of 20 events keep the guarantees

  Scenario: dedup keeps its guarantees with faults
    # Guards against second runs and untrue "not run" answers after message
    # loss, partitions, kills, pauses, replaced gateways and evicted ids.
    Then dedup 400 "faults" runs of 15 events keep the guarantees

  Scenario Outline: dedup needs the rule that <mutant> lacks
    # Guards against random runs that would not notice a missing rule.
    Then dedup the "<machine>" machine fails for "<mutant>"

    Examples:
      | mutant            | machine |
      | NoWitness         | faults  |
      | RestartIgnored    | faults  |
      | BarIgnoredInQueue | faults  |
      | NoTieBreak        | delays  |
      | BothYield         | delays  |
      | NoWatermark       | faults  |

  Scenario Outline: dedup runs an id twice with <mutant>
    # Guards against the loss of rules that random runs reach rarely. The
    # same events with the complete ledger are in the table of answers below.
    Given dedup a cell of 4 gateways and a "uuid7" id with "<mutant>"
    Then dedup "<events>" breaks a guarantee

    Examples:
      | mutant            | events |
      | NoFence           | queue a, forward-late a b, deliver-late |
      | StaleIntents      | send a, queue b, replace b, finish c, resume, deliver-late |
      | RefusalsForgotten | send a, send b, queue c, refuse c, deliver-late |
      | YoungWitness      | send a, finish c, kill a b c d, deliver-late |

  Scenario Outline: dedup refuses an idempotent request after a <first> try
    # Guards against "not run" for a request after an earlier try that may
    # have run.
    Then dedup a "<first>" try and a refusal of its retry give "<answer>"

    Examples:
      | first   | answer          |
      | unknown | unknown_outcome |
      | not_run | overloaded      |

  Scenario: dedup limits the memory for answers
    # Guards against unbounded memory, and against a second run when the
    # answer to the first is no longer cached.
    Then dedup the oldest of 3 answers is lost in a cache for 2

  Scenario: dedup does not rely on imported records that it evicted
    # Guards against a second run when a gateway that took over records of
    # another one evicts them at its limit of ids.
    Given dedup a cell of 4 gateways that remember 2 ids
    When dedup "finish a, leave a b, fill-memory b, finish c" happens
    Then dedup the attempts are answered "answer unknown_outcome" with 1 runs

  Scenario: dedup allows for the lag of the gateway list after a replacement
    # Guards against a second run when an intent reached the replaced process
    # because the sender's list of gateways was out of date.
    Then dedup a successor's memory excludes its predecessor's last intents

  Scenario Outline: dedup answers after <case>
    # Guards against a change of the answers to the next attempt after each
    # kind of failure.
    Given dedup a cell of 4 gateways and a "uuid7" id
    When dedup "<events>" happens
    Then dedup the attempts are answered "<answers>" with <runs> runs

    Examples:
      | case | events | answers | runs |
      | a kill of the receiver that dispatched | start a, kill a, finish b | - unknown_outcome | 1 |
      | a kill of the receiver that queued | queue a, kill a, finish b | - answer | 1 |
      | a kill of the witness | start a, kill-witness, finish c | answer in_progress | 1 |
      | kills of receiver and witness | start a, kill-witness, kill a, finish c | - unknown_outcome | 1 |
      | a kill of the forward's receiver | start a b, kill b, finish c | unknown_outcome unknown_outcome | 1 |
      | a kill of the forward's origin | start a b, kill a, queue c | - in_progress | 1 |
      | a claim that reaches a paused receiver late | queue a, pause a, finish b, time-out, resume a, deliver-late | barred unknown_outcome | 0 |
      | a first attempt that arrives late | send a, finish b, deliver-late | barred answer | 1 |
      | the death of a claimant before its dispatch | send a, queue b, kill b, finish c | - - answer | 1 |
      | admission refuses a claimant | queue a, refuse a, queue b, refuse b, finish c | overloaded overloaded answer | 1 |
      | two concurrent resubmissions | send a, send c, send b, deliver-late | barred in_progress answer | 1 |
      | a receiver that was replaced while paused | queue a, replace a, finish b, resume, deliver-late | in_progress answer | 1 |
      | a cut between zones | start a, cut ab cd, finish c, time-out | answer unknown_outcome | 1 |
      | a handover | finish a, leave a b, finish c | answer answer | 1 |
      | a receiver that vanished | finish a, leave a, finish c | answer unknown_outcome | 1 |
      | the end of the window | finish a, wait 650, finish b | answer unknown_outcome | 1 |
      | a first attempt sent to two gateways of a zone | start a, repeat-first b | answer in_progress | 1 |
      | restarts of two gateways | send a, kill a b, finish c | - unknown_outcome | 0 |
      | a forward that broke and arrives late | queue a, forward-late a b, deliver-late | answer | 1 |
      | the return of a replaced claimant | send a, queue b, replace b, finish c, resume, deliver-late | barred barred answer | 1 |
      | an old attempt after a refused newer one | send a, send b, queue c, refuse c, deliver-late | barred barred overloaded | 0 |
      | restarts of all before a late first attempt | send a, finish c, kill a b c d, deliver-late | unavailable answer | 1 |
