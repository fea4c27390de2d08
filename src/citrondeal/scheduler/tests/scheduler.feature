Feature: scheduler

  # Guards against an accepted job that is answered as unknown by a scheduler
  # that has just started, or that no longer reaches the log.
  Scenario: scheduler a job is denied only by a scheduler that has read the log
    Then a scheduler that has not read the log denies no job
    And a scheduler that has read the log denies a job that is not in it
    And a scheduler whose last read failed denies no job

  # Guards against an accepted job that is denied by a scheduler that goes on
  # after a suspension, during which others have accepted jobs.
  Scenario: scheduler an old view of the log denies no job
    Then a scheduler that was suspended for 3 seconds denies no job

  # Guards against an age that counts from the arrival of an answer, against
  # known jobs that a scheduler without the log no longer serves, and against
  # unknown jobs that are never denied while no job is submitted.
  Scenario: scheduler the age of a view counts from the request of a read
    Then a scheduler denies no job by an answer that waited while suspended
    And a scheduler that was suspended still answers for the jobs it knows
    And a scheduler denies unknown jobs for 5 seconds of an idle log

  # Guards against a submission that is refused for good, because its path is in
  # settings that the scheduler has not read yet.
  Scenario Outline: scheduler a path is not denied after <share> of the settings
    Then a scheduler that has read <share> of the settings denies no path

    Examples:
      | share  |
      | none   |
      | a part |

  # Guards against a scheduler that gets work, or lists jobs, before it knows
  # all settings and jobs, and against one that stops when the log is away.
  Scenario Outline: scheduler not ready after <share> of its log
    Then a scheduler is not ready after <share> of the settings
    And a scheduler is not ready after <share> of the jobs
    And a scheduler lists no jobs after <share> of the jobs

    Examples:
      | share  |
      | none   |
      | a part |

  Scenario: scheduler ready after all of its log, also once the log is away
    Then a scheduler that has read both to their end is ready and lists jobs

  # Guards against a job that is refused for good, because its zone is not in
  # a list of VMs that was not read, or not of late.
  Scenario: scheduler a zone is not denied without a list of VMs
    Then a scheduler without a list of VMs denies no zone

  Scenario: scheduler a zone is denied only by a recent list of VMs
    Then a scheduler with a list of VMs denies a zone that is not in it
    And a scheduler that was suspended accepts jobs for the zones it knows
    And a scheduler that was suspended denies no zone
