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

  # Guards against a row of the VM list, written by another, whose number or id
  # ends the processes that read it.
  Scenario Outline: scheduler skips a row whose <field> is <value>
    Then a scheduler adds the workers of a list with <field> <value> to its pool

    Examples:
      | field        | value      |
      | cores        | 1e400      |
      | memory_mb    | HUGE       |
      | accelerators | HUGE       |
      | slots        | 4294967296 |
      | connections  | 4294967296 |
      | id           | "\ud800"   |
      | id           | "a\nb"     |
      | id           | "a b"      |
