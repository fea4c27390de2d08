Feature: routing
  # Guards against slots or connections above the limit of an endpoint and
  # against dispatch to endpoints that are leaving, unlisted or avoided.

  Scenario: routing accounts agree with the naive version
    Then routing accounts agree with the naive version

  # Guards against a gateway that is not in the preferred place, has no
  # room, has not reported for too long or is draining.
  Scenario: routing chooses peers that the naive version allows
    Then routing choices agree with the naive version

  # Guards against comparisons that cannot fail.
  Scenario Outline: routing comparison detects a fault
    Given routing with the fault "<fault>"
    Then routing "<part>" differ from the naive version

    Examples:
      | fault                             | part     |
      | unknown attempts free their slot  | accounts |
      | leaving endpoints get work        | accounts |
      | connections are not limited       | accounts |
      | occupied endpoints get work       | accounts |
      | failing endpoints get work        | accounts |
      | forwarded requests are sent on    | choices  |
      | old reports are used              | choices  |
      | own forwards are not subtracted   | choices  |
      | the price of the link is ignored  | choices  |
      | refusals of a peer are ignored    | choices  |

  # Guards against gateways that read the same report and all choose the
  # same peer.
  Scenario: routing spreads forwards of several gateways
    Then routing sends at most 16 forwards of 4 gateways to one of 3 peers

  # Guards against reports that cost more than their period allows, and
  # against silence that looks like a dead gateway.
  Scenario: routing sends load reports
    Then routing reports keep their periods and follow changes

  # Guards against an endpoint that is flooded with probes, or never tried
  # again, after failures.
  Scenario: routing probes a failing endpoint
    Then routing sends one probe at a time with growing pauses

  # Guards against a gateway without endpoints whose requests starve.
  Scenario: routing forwards without room if it has no endpoint
    Then routing uses the shortest queue when it holds no endpoint
