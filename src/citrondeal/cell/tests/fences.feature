Feature: cell fences

  # Guards against an owner that ends because a worker refuses one of its own
  # orders that arrives after its fence was raised.
  Scenario: cell a refusal by the owner's own later fence ends no ownership
    Then cell a start refused under a fence that was raised meanwhile is unknown
    And cell a stop refused under a fence that was raised meanwhile ends nothing
    And cell a renewal refused under a fence that was raised ends nothing
    And cell a renewal refused under the present fence ends the ownership

  # Guards against ends of a new incarnation that a renewal, sent once more
  # after its connection has ended, makes it forget unread.
  Scenario: cell a renewal whose connection ends is not sent once more
    When a cell renewal acknowledges ends and its connection ends
    Then the cell worker has got each renewal once
    And the next cell renewal acknowledges and extends nothing, with a higher fence
    And the cell worker stays in use once it answers without being stored again

  # Guards against a worker that is down but is never taken for silent.
  Scenario: cell a second failure after an ended connection counts as silence
    When a cell renewal loses its connection to a worker that has gone
    Then the cell worker counts as silent after the next renewal
