Feature: peers
  # Guards against one bad connection harming others, against answers that
  # reach the wrong call, and against a "not sent" that is false.

  Scenario: peers messages survive encoding
    Then peers random messages decode to what was encoded

  Scenario: peers random bytes never raise anything but a frame error
    Then peers random payloads decode or raise a frame error

  Scenario: peers replies reach their own call in any order
    Given peers a server that answers 500 calls in reverse order
    Then peers each call gets its own answer

  Scenario: peers late replies are dropped
    Given peers a server that answers the first call late
    Then peers the second call gets its own answer

  Scenario Outline: peers bad connection is closed alone
    Given peers a server with one good connection
    When peers another connection sends <bytes>
    Then peers the other connection is closed and the good one works

    Examples:
      | bytes             |
      | a cut-off frame   |
      | an oversize frame |
      | garbage           |
      | another version   |

  Scenario: peers call to a dead address was not sent
    Then peers a call to a closed port fails as not sent

  Scenario: peers call on a silent connection may have been sent
    Given peers a server that never answers
    Then peers the call fails as sent and the next call uses a new connection

  Scenario: peers traffic of closed connections is not forgotten
    Given peers two servers
    Then peers the traffic is counted by address across connections

  # Guards against calls that wait for each other's failing connections, so
  # that the last of them takes many times its timeout.
  Scenario: peers calls to a silent address fail together
    Then peers 10 calls to an address that never answers fail within 2 s
