Feature: scheduler odd rows

  # Guards against a row of the VM list, written by another, that ends the
  # scheduler that owns the pool, and each one that takes the pool over.
  Scenario Outline: scheduler works on beside a worker at <address>
    Then a scheduler with a worker at <address> still calls the others

    Examples:
      | address         |
      | αβ:1            |
      | x:y             |
      | 127.0.0.1:99999 |
      | 127.0.0.1:-1    |
      | [::1:1          |
      | \ud800:1        |
      | a..b:1          |
