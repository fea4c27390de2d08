Feature: admission
  # Guards against requests that are lost or dispatched twice, guaranteed
  # shares that are not kept, exceeded bounds and unjustified refusals.

  Scenario: admission decides as the naive version
    Then admission agrees with the naive version

  # Guards against a comparison that passes whatever the queues do.
  Scenario Outline: admission comparison detects a fault
    Given admission with the fault "<fault>"
    Then admission differs from the naive version

    Examples:
      | fault                                  |
      | guaranteed shares are ignored          |
      | the reserve is ignored                 |
      | removed requests stay queued           |
      | any class is evicted                   |
      | deadlines are ignored on offer         |
      | long requests are not charged          |
      | forwarded requests are forwarded again |
      | a refused forward is lost              |
      | units are not returned                 |

  Scenario Outline: admission keeps shares during a flood
    When admission is flooded by "<flood>" requests
    Then admission gives "<one>" at least 0.95 of its share
    And admission gives "<other>" at least 0.95 of its share

    Examples:
      | flood  | one    | other  |
      | low    | urgent | normal |
      | normal | urgent | low    |
      | urgent | normal | low    |

  # Guards against a team that pays for less slot time than it uses.
  Scenario: admission shares slot time between teams by weight
    When admission serves teams of weight 1 and 3, the first with long work
    Then admission gave the teams slot time of 1 to 3 within 5 percent

  # Guards against retries that amplify an overload.
  Scenario: admission bounds retries
    Then admission allows 1 retry at once and 10 more after 100 successes
    And admission allows at most the burst after a long time

  # Guards against unbounded memory use: callers choose the team names.
  Scenario: admission bounds the state of teams
    Then admission keeps the state of at most 1025 teams

  # Guards against cancelled requests that stay in internal heaps.
  Scenario: admission bounds its tables when requests are cancelled
    Then admission tables stay small after 5000 cancelled requests

  # Guards against one service that takes the queue space of the others.
  Scenario: admission gives each service its share of the total
    Then admission evicts from the largest service for the smallest

  # Guards against requests that are lost when their service is removed, and
  # against counting their end for a new service of the same name.
  Scenario: admission refuses what is queued for a removed service
    Then admission refuses 3 queued requests when their service is removed
