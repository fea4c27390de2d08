Feature: workflow anomalies

  # Guards against an incident whose causes the log cannot tell apart: an end
  # that was forgotten unread leaves no other trace.
  Scenario: workflow ends that were forgotten unread are counted
    Then workflow a report whose ends begin above the last one counts the others
    And workflow the first ends that an owner reads count as complete

  # Guards against a task in two places that nobody notices.
  Scenario: workflow a second run of a task is counted
    Then workflow a run that is found beside another one of its task counts
