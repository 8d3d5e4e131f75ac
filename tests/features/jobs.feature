Feature: A job runs to its end, on one worker at a time
  An operator submits jobs to a pool through any entry VM. While they run, the
  entry VM that holds the pool is killed or paused, or the store is down. The next
  holder continues from the records: every job ends, and no two workers run the
  same job at the same time.

  Scenario Outline: <trouble> while jobs run
    Given a running fleet
    And quotas for the partners
    When 24 jobs are submitted to pool survey
    And half of them have started
    And <trouble>
    Then every job ends as done within 60 seconds
    And no job ran on two workers at once

    Examples:
      | trouble                            |
      | the holder of the pool is killed   |
      | the holder of the pool is frozen   |
      | the store is down for five seconds |

  Scenario: a job that can never run is refused at once
    Given a running fleet
    And quotas for the partners
    When a job larger than any worker is submitted to pool survey
    Then it is refused as no-worker-large-enough
