Feature: errors
  # Guards against a kind without an answer and against a refusal that
  # claims "not run" with the wrong status class.

  Scenario: errors have one answer per kind
    Then errors every kind has exactly one answer

  Scenario: errors body carries the public fields
    Then errors the body of "overloaded" says 429 and "not_run"
