Feature: A batch of jobs from a file ends, whatever one worker does to it
  Operators submit a file of jobs by the command line. One worker fails everything
  that it starts, or the file is submitted twice since its first answer seemed
  lost. Every job is done in the end, and no job runs twice at the same time.

  Scenario: a worker fails everything it starts
    Given a running fleet
    And every VM is on record
    When a worker of pool survey begins to fail all its tasks
    And 12 jobs of 1 second are submitted to pool survey
    Then every job is done within 60 seconds
    And no promise is broken

  Scenario: the same batch is submitted twice
    Given a running fleet
    And every VM is on record
    When 6 jobs of 1 second are submitted to pool survey
    And the same jobs are submitted again
    Then every job is done within 60 seconds
    And each job succeeded once
    And no promise is broken
