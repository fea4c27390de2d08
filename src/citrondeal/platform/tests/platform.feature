Feature: platform

  # Guards against malformed records that end the process or are used.
  Scenario: platform malformed records are refused
    Then platform random bytes are refused as records
    And platform worker records with a missing or wrong field are refused
    And platform unknown fields are ignored

  # Guards against a request that goes to the wrong queue.
  Scenario: platform the longest prefix of a host selects the queue
    Then platform requests find their queues

  # Guards against names and records that change when they are transferred.
  Scenario: platform names and records survive their encoding
    Then platform task names survive encoding
    And platform records of the store survive encoding

  # Guards against a start with missing or invalid settings.
  Scenario: platform settings are checked
    Then platform a settings file is decoded
    And platform the error for a missing setting names it

  # Guards against tracebacks and wrong answers to bad requests.
  Scenario: platform bad requests get an answer
    Then platform random bodies never get a server error
    And platform a request without a configuration gets 503
    And platform unsupported jobs are refused with a time to retry
    And platform a job is submitted with its fields decoded

  # Guards against one malformed message that ends the process, or that is
  # taken for the end of a task.
  Scenario: platform malformed answers are refused as a whole
    Then platform reports of runners with a malformed row are refused
    And platform a runner may name the processor time of a task
    And platform no answer of a runner raises an error
    And platform no answer of the ticket service raises an error
    And platform no answer of the store raises an error
    And platform a batch that is cut off is refused
    And platform malformed deadlines count as missing
    And platform stored submissions that cannot be scheduled are refused

  # Guards against one submission that ends owner after owner: each recovers
  # it, and runs out of memory or is busy for too long.
  Scenario: platform jobs that no owner could hold are refused at once
    Then platform jobs beyond a limit get 400 with the limit
    And platform jobs at a limit are accepted
    And platform stored submissions beyond a limit are refused
    And platform stored submissions that earlier versions accepted are known
    And platform the largest body takes less than 40 MB to decode

  # Guards against one record that ends an activity of process after process,
  # because its depth raises an error that no decoder expects.
  Scenario: platform deeply nested values are refused
    Then platform deeply nested records are refused
    And platform deeply nested answers are refused
    And platform a deeply nested body gets 400

  # Guards against the entry or the report of one worker that ends owner after
  # owner: it is taken over and fails when it is stored or used.
  Scenario: platform what a worker says can be stored or is refused
    Then platform each entry of a worker is skipped or can be stored
    And platform an entry with an address that names no server is skipped
    And platform an entry with an id that no header can hold is skipped
    And platform an entry with numbers that JSON does not keep is skipped
    And platform reports with numbers that cannot be stored are refused
    And platform a report of 500 ends may omit others

  # Guards against a job that is accepted and then skipped by every owner,
  # because its record cannot be decoded.
  Scenario: platform an accepted job can be read back
    Then platform every job that is accepted can be read by an owner

  # Guards against a job that runs although all its submissions were answered
  # "not run", and against a task that is started elsewhere while its first
  # start may still take effect: a call is sent again when its connection ends
  # without an answer, and a rejection of the repeat says nothing of the first.
  Scenario: platform a rejected repeat does not settle the first attempt
    Then platform an append that was sent again and is rejected may be stored
    And platform a start that was sent again and is rejected may be carried out
    And platform an append that was sent once and is rejected is not stored

  # Guards against a second copy of a start that the next incarnation of a
  # worker carries out after the run has ended.
  Scenario: platform a start without a ticket is sent once
    Then platform a start without a ticket is not sent again

  # Guards against a call that is served for a withdrawn key or a removed route,
  # and against a refusal by a member that cannot know that it is right.
  Scenario: platform keys and routes decide which calls are served
    Then platform each case of the access table has its answer
    And platform a key that two accounts have belongs to the first one

  # Guards against a key in a log line, a dump, an error, or a message to
  # another member.
  Scenario: platform keys of client accounts do not leave the adapter
    Then platform a configuration shows no key once it is decoded
    And platform a malformed configuration shows no key in its error
    And platform a configuration without keys still finds their accounts

  # Guards against a job that is accepted and waits for ever, because its
  # account may not run a gang or a task of its size.
  Scenario: platform jobs beyond the cap of their account are refused at once
    Then platform a gang or a task beyond the cap of its account gets 429
    And platform a wide step whose tasks fit one by one is accepted

  # Guards against a submission that takes 70 times its size, or the event loop
  # for 0.1 s, until it is refused.
  Scenario: platform the form of a submission is bounded before it is decoded
    Then platform no valid job is refused by its form
    And platform decoding takes no more than was measured before
    And platform a submission without memory for its decoded form gets 503
    And platform the access to a route is decided before the body is read
    And platform the limits of the configuration are in force

  # Guards against a configuration that is sent although a part of it can never
  # work, and against a check that shows the keys in it.
  Scenario: platform a configuration is checked before it is sent
    Then platform each defect of a configuration is found at its place
    And platform the differences from the version in force are named
    And platform a settings tree is checked with what it inherits
    And platform unreadable input of a check exits with 2
    And platform a configuration check never raises and prints no key
