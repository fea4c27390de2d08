Feature: web

  # Guards against a new connection for each call.
  Scenario: web the client keeps its connections
    Then web 20 calls in turn use one connection

  # Guards against calls that fail because a server closed an idle connection.
  Scenario: web the client repeats a call on a connection that was closed
    Then web a call after the server closed its connections succeeds

  # Guards against refusals that say "not run" for calls that may have run.
  Scenario: web the client tells calls that were not sent from unknown ones
    Then web a call to a closed port is unavailable
    And web a call without an answer has an unknown outcome
    And web a call whose answer breaks off has an unknown outcome
    And web a call with a broken answer has an unknown outcome
    And web a call whose repeat cannot connect has an unknown outcome

  # Guards against long answers on a slow link that are given up and asked
  # for again for ever.
  Scenario: web the client goes on with an answer that makes progress
    Then web an answer in slow parts is complete
    And web an answer that stops half way has an unknown outcome
