Feature: bench

  # Guards against a command of bench that no longer starts, because what it
  # extends has changed.
  Scenario Outline: bench <command> prints its figures after a short run
    Then the bench command "<command>" prints <lines> lines of figures

    Examples:
      | command                                                | lines |
      | bench.orders --seconds 0.2                             | 6     |
      | bench.workflow --workers 20 --members 8 --seconds 1    | 1     |
      | bench.workflow --workers 20 --seconds 1 --accounts 4   | 1     |
