Feature: cell fences

  # Guards against an owner that ends because a worker refuses one of its own
  # orders that arrives after its fence was raised.
  Scenario: cell a refusal by the owner's own later fence ends no ownership
    Then cell a start refused under a fence that was raised meanwhile is unknown
    And cell a stop refused under a fence that was raised meanwhile ends nothing
    And cell a renewal refused under a fence that was raised ends nothing
    And cell a renewal refused under the present fence ends the ownership
