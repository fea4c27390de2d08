Feature: platform

  # Guards against records of other writers that end the process or are used.
  Scenario: platform foreign records name no worker and no configuration
    Then platform random bytes are refused as records
    And platform entries with a missing or wrong field are refused
    And platform fields that are not known are ignored

  # Guards against a request that goes to the wrong queue.
  Scenario: platform the longest prefix of a host selects the queue
    Then platform requests find their queues

  # Guards against names that change on their way over the wire.
  Scenario: platform names and records survive their encoding
    Then platform task names survive encoding
    And platform records of the store survive encoding

  # Guards against a start with settings that are missing or wrong.
  Scenario: platform settings are checked
    Then platform a sample of the settings is read
    And platform a missing setting is named

  # Guards against tracebacks and wrong answers for bad requests.
  Scenario: platform bad requests get an answer
    Then platform random bodies never get a server error
    And platform a request without a configuration gets 503
    And platform unsupported jobs are refused with the time to come back
    And platform a job reaches the product with its fields decoded
