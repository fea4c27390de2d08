Feature: gateway

  # Guards against a slot of an endpoint that stays occupied because an attempt
  # failed unexpectedly.
  Scenario: gateway an unexpected error of an attempt keeps no slot occupied
    Then gateway an error while the request is prepared releases its slot
    And gateway an error while the endpoint is called counts as unknown
