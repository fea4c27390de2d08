Feature: replay

  # Guards against records that are lost, applied twice or out of order, and
  # against a state that is built on a snapshot although records after the
  # snapshot were deleted.  The plain fold is the list of all records that are
  # no snapshots.
  Scenario: replay a replica always equals the plain fold
    Then replay 400 random histories equal the plain fold

  # The scenario above must fail if one rule of the follower is broken.
  Scenario Outline: replay the test finds the mutation <name>
    Then replay random histories find the mutation "<name>"

    Examples:
      | name                             |
      | gap ignored                      |
      | successors of snapshot not kept  |
      | record after snapshot left out   |
      | record of snapshot applied again |
      | running replica loads snapshots  |
      | repeated records applied again   |
      | hole skipped                     |
      | malformed state accepted         |

  # Guards against retention that deletes records before a snapshot covers
  # them: then new replicas could not start.
  Scenario: replay snapshots are due before retention deletes their records
    Then replay new replicas can start at any time while one replica runs
    And replay the mutation "never due" leaves new replicas without state

  # Guards against a stream from which no replica can start although a running
  # replica has the state.
  Scenario: replay everything deleted while a replica holds the state
    Then replay a snapshot is due at once and a new replica starts from it
    And replay a replica without state reports that the stream is lost

  # Guards against a snapshot from each replica, and against a lost snapshot
  # that is not written again.
  Scenario: replay one snapshot is written and repeated when lost
    Then replay a due snapshot waits, is given once and again after the retry
    And replay no snapshot is due without new records or after a failed read
