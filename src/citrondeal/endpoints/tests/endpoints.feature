Feature: endpoints
  # Guards against truncated, mixed-up or lost answers being reported as
  # complete, and against sent requests being reported as not sent.

  Scenario Outline: endpoints attempt against a faulty endpoint
    Given endpoints an endpoint that <behaviour>
    Then endpoints the attempt ends as <outcome>

    Examples:
      | behaviour                          | outcome    |
      | answers                            | complete   |
      | refuses connections                | not_sent   |
      | closes before the answer           | unknown    |
      | never answers                      | unknown    |
      | sends half of the answer           | incomplete |
      | sends half and goes silent         | incomplete |
      | answers with too much              | incomplete |
      | answers without a length           | incomplete |
      | says that it did not run           | not_run    |
      | sends garbage                      | unknown    |

  # Guards against a request that ends as "may have run", and a slot that stays
  # occupied, because the VM list names an address that no URL can hold.
  Scenario Outline: endpoints attempt at <address> is not sent
    Then endpoints an attempt at <address> is not sent

    Examples:
      | address         |
      | αβ:1            |
      | x:y             |
      | 127.0.0.1:99999 |
      | [::1:1          |
      | a..b:1          |

  Scenario: endpoints attempt withdrawn right before the first byte
    Given endpoints an endpoint that answers
    Then endpoints an attempt whose lease has ended writes nothing

  Scenario: endpoints interleaved attempts get their own whole answers
    Given endpoints an endpoint that answers out of order
    Then endpoints 2000 interleaved attempts get their own answers

  Scenario: endpoints connection is not reused after an error
    Given endpoints an endpoint that answers late on the first connection
    Then endpoints the next attempt gets its own answer

  Scenario Outline: endpoints the outcome check detects <mutation>
    Then endpoints the outcome check fails with <mutation>

    Examples:
      | mutation                              |
      | answers without a length as complete  |
      | the first byte not noted              |
      | a broken answer as not begun          |
