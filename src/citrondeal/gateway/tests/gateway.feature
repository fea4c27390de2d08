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
