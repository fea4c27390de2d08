Feature: web

  # Guards against opening a new connection for each call.
  Scenario: web the client reuses its connections
    Then web 20 calls in turn use one connection

  # Guards against calls that fail because the server closed an idle connection.
  Scenario: web the client repeats a call on a connection that was closed
    Then web a call after the server closed its connections succeeds

  # Guards against calls that a server carries out twice although their caller
  # must know whether they were sent again.
  Scenario: web a call that must not be repeated is sent once
    Then web a call without repeats fails if the server closed its connection

  # Guards against errors that report a call as not run although the server
  # may have run it.
  Scenario: web the client reports unavailable only for calls not sent
    Then web a call to a closed port is unavailable
    And web a call without an answer has an unknown outcome
    And web a call whose answer is cut off has an unknown outcome
    And web a call whose answer is not HTTP has an unknown outcome
    And web a call whose repeat cannot connect has an unknown outcome
    And web a call to a host that cannot be encoded is unavailable

  # Guards against a timeout that cuts off a long answer on a slow link, so
  # that it is requested again forever.
  Scenario: web the client waits longer while parts of an answer arrive
    Then web an answer whose parts arrive slowly is complete
    And web an answer that stops halfway has an unknown outcome

  # Guards against a call that returns nothing because its deadline passed in
  # the turn of the event loop in which a part of the answer arrived.
  Scenario: web a deadline that passes while data arrives is a timeout
    Then web a call whose deadline passes as a part arrives has an unknown outcome

  # Guards against one server whose answers exhaust the memory of each process
  # that calls it.
  Scenario: web the client gives up an answer that is too large
    Then web a call whose answer is larger than 8 MB ends early

  # Guards against a record that counts as stored, because the late answer to
  # another call was taken for the answer to its append.
  Scenario: web a late answer is not taken for that of the next call
    Then web calls after one that timed out or was cancelled get their own answers
