Feature: peers
  # Guards against one bad connection that harms others, replies that reach
  # the wrong call, and errors that say "not sent" of a call that was sent.

  Scenario: peers messages survive encoding
    Then peers random messages decode to what was encoded

  Scenario: peers random bytes raise only frame errors
    Then peers random payloads decode or raise a frame error

  Scenario: peers replies reach their own call in any order
    Given peers a server that answers 500 calls in reverse order
    Then peers each call gets its own answer

  Scenario: peers late replies are dropped
    Given peers a server that answers the first call late
    Then peers the second call gets its own answer

  Scenario Outline: peers only the bad connection is closed
    Given peers a server with one good connection
    When peers another connection sends <bytes>
    Then peers the other connection is closed and the good one works

    Examples:
      | bytes             |
      | a cut-off frame   |
      | an oversize frame |
      | garbage           |
      | another version   |

  Scenario: peers call to a closed port is reported as not sent
    Then peers a call to a closed port fails as not sent
    And peers a call to an address that names no server fails as not sent

  Scenario: peers call that times out is reported as maybe sent
    Given peers a server that never answers
    Then peers the call fails as maybe sent and its connection is not reused

  Scenario: peers traffic of closed connections stays counted
    Given peers two servers
    Then peers the traffic is counted by address across connections

  # Guards against calls to one address that try to connect one after another:
  # the last of them would take many times its timeout.
  Scenario: peers calls to an address that never answers fail together
    Then peers 10 calls to an address that never answers fail within 2 s

  # Guards against one member whose replies end an activity, or the owner, in
  # each member that asks it.
  Scenario: peers malformed replies are refused as a whole
    Then peers replies without a field that is used are refused
    And peers replies with changed bytes decode or are refused
    And peers deeply nested and falsely announced frames are refused
