Feature: A batch of jobs from a file completes despite a faulty worker
  Operators submit a file of jobs with the command line. One worker fails all its
  tasks, or the file is submitted twice because the first response seemed lost.
  Every job completes, and no job runs twice at the same time.

  Scenario: a worker fails everything it starts
    Given a running fleet
    And every VM is recorded
    When a worker of pool survey begins to fail all its tasks
    And 12 jobs of 1 second are submitted to pool survey
    Then every job is done within 60 seconds
    And every guarantee holds

  Scenario: the same batch is submitted twice
    Given a running fleet
    And every VM is recorded
    When 6 jobs of 1 second are submitted to pool survey
    And the same jobs are submitted again
    Then every job is done within 60 seconds
    And each job succeeded once
    And every guarantee holds
