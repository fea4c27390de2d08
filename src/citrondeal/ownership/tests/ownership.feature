Feature: ownership

  # Guards against two valid holders of a resource at one moment, a bound of
  # the previous holder's validity that is too early, and resources that
  # stay without a holder after all faults have ended.
  Scenario: ownership random faults never give two holders
    Then ownership the state machine passes 70 histories
    And ownership the state machine passes 30 histories that forget releases

  # The scenario above must fail if one rule of the protocol is broken.
  Scenario Outline: ownership the test finds the mutation <name>
    Then ownership the state machine finds the mutation "<name>" with seed <seed>

    Examples:
      | name                                  | seed |
      | validity from read time               | 12   |
      | claim without compare-and-set         | 5    |
      | last claim wins                       | 12   |
      | sequence numbers ignored              | 1    |
      | promise ignored                       | 5    |
      | claim used while a promise is running | 5    |
      | unlisted process claims early         | 8    |
      | listed by name at another address     | 11   |
      | only the list read back is asked      | 1    |
      | clock drift ignored                   | 8    |
      | claim without wait                    | 1    |
      | promises without limit                | 8    |
      | valid while releasing                 | 3    |
      | age missing in release                | 3    |
      | no claims                             | 1    |

  # A promise given after validity has lapsed must not restore it: a claim of
  # an earlier incarnation of the promising process may still be appended.
  Scenario: ownership the test finds the mutation promise restores validity
    Then ownership a late claim of a restarted process gives no second holder
    And ownership the mutation "promise restores validity" gives a second one

  # Guards against replicas that compute different leases from one log.
  Scenario: ownership the lease table equals a reference
    Then ownership the lease table of 150 random histories equals the reference
    And ownership lease tables of 50 histories from snapshots equal the whole
    And ownership the comparison finds a lease table without compare-and-set
    And ownership a forgotten resource continues above its last epoch

  # Guards against records of another form that raise an exception or are
  # skipped without being counted.
  Scenario: ownership malformed records are skipped and counted
    Then ownership malformed records are skipped and counted
    And ownership malformed snapshots are refused without a change

  # Guards against a new holder that waits for the work of the previous one
  # after a release, or does not wait for it after a crash.
  Scenario: ownership the end of the previous holder is bounded
    Then ownership the bound is None for a first holder and after a release
    And ownership the bound after a crash covers the lease of the holder

  # Guards against takeovers slower than 6.5 s.
  Scenario: ownership takeover times
    Then ownership resources of a killed holder are held again in 6.5 s
    And ownership a group that restarts at once has holders in 6.5 s

  # Guards against the loss of a lease if only the connection of its holder
  # to the log fails.
  Scenario: ownership a holder without the log keeps its lease by promises
    Then ownership a cut holder stays the only holder for 15 s

  # Guards against resources that never move to a new member, or that move
  # before it was live for the required time.
  Scenario: ownership resources move to a better-placed member
    Then ownership a joined process gets its share after the stable time
    And ownership a member that does not want a resource is offered it rarely

  # A restarted process loses its promises, so the wait before a claim must
  # not be shorter than a promise.
  Scenario: ownership settings that break the wait are refused
    Then ownership a promise longer than the wait is refused

  # Guards against a second holder after the log was replaced by an empty one
  # while a process holds its leases by promises, and against resources that
  # stay without a holder afterwards.
  Scenario: ownership a replaced log gives no second holder
    Then ownership the state machine passes 40 histories with a replaced log

  # The histories must fail if one rule for a replaced log is broken.
  Scenario Outline: ownership a replaced log and <name>
    Then ownership the history "<history>" of a replaced log passes
    And ownership the history "<history>" finds the mutation "<name>"

    Examples:
      | history          | name                         |
      | unlisted process | holders forgotten            |
      | late first claim | holders forgotten            |
      | later process    | unknown holders are promised |
      | later process    | claims at once               |

  # Guards against a bound of the previous holder that is before the end of a
  # holder that released on the new log, and against one that is kept for ever.
  Scenario: ownership a release after the replacement of a log
    Then ownership the history "release" of a replaced log passes
