Feature: gateway

  # Guards against a slot of an endpoint that stays occupied because an attempt
  # failed unexpectedly.
  Scenario: gateway an unexpected error of an attempt keeps no slot occupied
    Then gateway an error while the request is prepared releases its slot
    And gateway an error while the endpoint is called counts as unknown

  # Guards against one request that ends endpoint after endpoint: each break
  # was followed by another attempt, at each gateway and for each send.
  Scenario Outline: gateway a request that breaks endpoints has a budget, <case>
    Given gateway endpoints that break off each request
    When <event>
    Then the gateway request has ended at most <limit> endpoints
    And each gateway answer says that the request may have run

    Examples:
      | case              | limit | event                                                              |
      | one send          | 3     | a gateway gets an idempotent request with attempts 1 to 1          |
      | many sends        | 3     | a gateway gets an idempotent request with attempts 1 to 10         |
      | unnumbered sends  | 3     | a gateway gets an idempotent request 10 times without attempt      |
      | forwards          | 3     | a gateway forwards an idempotent request to another gateway        |
      | several gateways  | 8     | 6 gateways get attempts of one idempotent request in turn          |

  # Guards against a request that is refused for good, because its service is
  # in settings that the gateway has not read, or not of late.
  Scenario Outline: gateway a service is not denied after <share> of the settings
    Then a gateway that has read <share> of the settings denies no service
    And a gateway that has read <share> of the settings is not ready

    Examples:
      | share  |
      | none   |
      | a part |

  Scenario: gateway a service is denied only by a recent view of the settings
    Then a gateway that has read the settings denies an unknown service
    And a gateway that was suspended denies no service
    And a gateway that no longer reaches the log denies no service

  # Guards against unknown services that are never denied while no settings
  # change.
  Scenario: gateway an idle log keeps the view of the settings recent
    Then a gateway denies unknown services for 6 seconds of an idle log

  # Guards against a zone without the log that stops serving.
  Scenario: gateway known services are served from an old view of the settings
    Then a gateway that has read the settings to their end is ready
    And a gateway that was suspended still serves the services it knows
    And a gateway that no longer reaches the log serves the services it knows
    And a gateway that no longer reaches the log stays ready
