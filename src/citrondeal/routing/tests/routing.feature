Feature: routing
  # Guards against using more slots or connections than an endpoint has, and
  # against dispatch to endpoints that are leaving, unlisted or avoided.

  Scenario: routing accounts agree with the naive version
    Then routing accounts agree with the naive version

  # Guards against forwarding to a gateway that is farther away than needed,
  # has no free slot, has not reported for too long or is draining.
  Scenario: routing chooses peers that the naive version allows
    Then routing choices agree with the naive version

  # Guards against comparisons that pass whatever the routing does.
  Scenario Outline: routing comparison detects a fault
    Given routing with the fault "<fault>"
    Then routing "<part>" differ from the naive version

    Examples:
      | fault                                  | part     |
      | unknown attempts free their slot       | accounts |
      | leaving endpoints get work             | accounts |
      | connections are not limited            | accounts |
      | occupied endpoints get work            | accounts |
      | failing endpoints get work             | accounts |
      | forwarded requests are forwarded again | choices  |
      | old reports are used                   | choices  |
      | own forwards are not subtracted        | choices  |
      | the price of other regions is ignored  | choices  |
      | refusals of a peer are ignored         | choices  |

  # Guards against gateways that read the same report and all choose the
  # same peer.
  Scenario: routing spreads forwards of several gateways
    Then routing sends at most 16 forwards of 4 gateways to one of 3 peers

  # Guards against reports more often than their period allows, and against
  # pauses so long that peers take the gateway for failed.
  Scenario: routing sends load reports
    Then routing reports keep their periods and follow changes

  # Guards against too many probes of an endpoint after failures, and against
  # an endpoint that is never tried again.
  Scenario: routing probes a failing endpoint
    Then routing sends one probe at a time with increasing backoff

  # Guards against requests that are never served because their gateway holds
  # no endpoint and no peer reports a free slot.
  Scenario: routing forwards without free slots if it has no endpoint
    Then routing uses the shortest queue when it holds no endpoint
