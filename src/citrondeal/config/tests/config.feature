Feature: config
  # Guards against a daemon that starts with a setting that is misspelt, out
  # of range or in contradiction to another one.

  Scenario Outline: config samples are complete
    Then config the sample of "<program>" loads with the defaults
    And config the sample of "<program>" lists every key once
    And config the sample of "<program>" is valid for it alone

    Examples:
      | program |
      | gateway |
      | scheduler |

  Scenario: config sections with defaults may be left out
    Given config a minimal file
    When config it is loaded for "scheduler"
    Then config "leases.takeover_s" is 4.7
    And config "workers.period_s" is 1.0
    And config "listen.http" prints as "10.0.0.11:8090"

  Scenario Outline: config each problem is reported with section, key and cause
    Given config a minimal file
    And config "<line>" is added to "<section>"
    When config it is loaded for "<program>"
    Then config it is refused for "<place>" with "<words>"

    Examples: unknown sections and keys
      | program | section | line | place | words |
      | gateway | leases | ttl = 5 | [leases] ttl: | ttl_s? |
      | gateway | leases | TTL_S = 5 | [leases] TTL_S: | ttl_s? |
      | gateway | leases | task_ttl_s = 30 | [leases] task_ttl_s: | unknown ttl_s? |
      | gateway | limits | silent_after_s = 3 | [limits] silent_after_s: | [endpoints] |
      | gateway | workers | period_s = 1 | [workers]: | unknown |
      | scheduler | endpoints | silent_after_s = 1 | [endpoints]: | unknown |
      | scheduler | DEFAULT | level = info | [DEFAULT]: | unknown |
      | scheduler | Listen | http = 10.0.0.1:1 | [Listen]: | [listen]? |

    Examples: invalid values
      | program | section | line | place | words |
      | gateway | leases | ttl_s = four | [leases] ttl_s: | number 'four' |
      | gateway | leases | ttl_s = nan | [leases] ttl_s: | finite |
      | gateway | leases | ttl_s = | [leases] ttl_s: | number |
      | gateway | leases | margin_s = 0 | [leases] margin_s: | greater 0.01 |
      | gateway | limits | ids = 1.5 | [limits] ids: | integer |
      | gateway | limits | ids = ٣٣٣ | [limits] ids: | integer |
      | gateway | limits | ids = 1__000 | [limits] ids: | integer |
      | gateway | leases | ttl_s = ٣ | [leases] ttl_s: | number |
      | gateway | limits | body_bytes = 2097152 | [limits] body_bytes: | 2031616 |
      | gateway | logging | level = loud | [logging] level: | 'debug' 'loud' |
      | gateway | drain | limit_s = -1 | [drain] limit_s: | greater |

    Examples: contradicting values
      | program | section | line | place | words |
      | gateway | leases | renew_period_s = 1.4 | [leases] renew_period_s: | third ttl_s |
      | gateway | leases | promise_ttl_s = 2 | [leases] promise_ttl_s: | renew_period_s |
      | gateway | leases | outage_limit_s = 3 | [leases] outage_limit_s: | ttl_s |
      | gateway | leases | rebalance_after_s = 1 | [leases] rebalance_after_s: | ttl_s |
      | gateway | limits | queue_bytes = 2000 | [limits] queue_bytes: | body_bytes |
      | gateway | endpoints | silent_after_s = 0.5 | [endpoints] connect_timeout_s: | silent_after_s |
      | scheduler | leases | task_ttl_s = 8.5 | [leases] task_ttl_s: | 8.9 takeover |
      | scheduler | workers | timeout_s = 10 | [workers] timeout_s: | leases.task_ttl_s |

    Examples: addresses, URLs and process names
      | program | section | line | place | words |
      | gateway | listen | peer = 10.0.0.11:8090 | [listen] peer: | differ |
      | gateway | listen | peer = localhost:8091 | [listen] peer: | IP |
      | gateway | listen | peer = 0.0.0.0:8091 | [listen] peer: | connect |
      | gateway | listen | peer = 10.0.0.11:65536 | [listen] peer: | 65535 |
      | gateway | listen | peer = 10.0.0.11 | [listen] peer: | port |
      | gateway | platform | log_url = 10.0.0.5:1 | [platform] log_url: | http:// |
      | gateway | platform | log_url = http://h:x | [platform] log_url: | http:// |
      | gateway | platform | log_url = http://h/?a=1 | [platform] log_url: | http:// |
      | gateway | process | name = a b | [process] name: | pattern |

  Scenario Outline: config a file that is not INI is refused
    Given config the file <content>
    When config it is loaded for "gateway"
    Then config it is refused for "<place>" with "<words>"

    Examples:
      | content | place | words |
      | "name = a" | line 1 | first section |
      | "[drain]\nlimit_s" | line 2 | key |
      | "[drain]\nlimit_s=1\nlimit_s=2" | [drain] limit_s: | twice 3 |
      | "[drain]\n[drain]" | [drain]: | twice 2 |
      | "[drain]\nlimit_s=\udcff" | is | UTF-8 |
      | "" | [process] name: | required |

  Scenario: config a byte order mark before the first section is ignored
    Given config a minimal file with a byte order mark
    When config it is loaded for "gateway"
    Then config "drain.limit_s" is 30

  Scenario: config a missing file ends the program with status 2
    Then config a program without its file exits with status 2 and the cause

  Scenario: config loading a file needs no validation library
    # A validation library loads 5 to 17 MB, which a daemon cannot release.
    Then config loading a file loads no validation library

  Scenario: config the documentation lists every key with its default
    Then config docs/settings.md has a row for every key
