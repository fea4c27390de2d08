Feature: errors
  # Guards against an error kind without an HTTP status, which could not be
  # reported, and against a refusal before execution whose status or execution
  # state tells the caller otherwise.

  Scenario: errors every kind has a status and an execution state
    Then errors every kind has exactly one status and execution state

  Scenario: errors the error body has the public fields
    Then errors the body of "overloaded" says 429 and "not_run"
