Feature: Jobs end, and run once at a time
  Operators submit a batch of jobs to a pool. The holder of the pool's control work
  places them on workers under leases. The holder dies, the store fails, or a
  worker fails everything it starts. Every job is done in the end, and no two
  workers ever run the same job at the same time.

  Scenario Outline: a batch of jobs while <trouble>
    Given a running fleet
    And every VM is on record
    When 12 jobs of 1 second are submitted to pool survey
    And once 2 jobs have run, <trouble>
    Then every job is done within 60 seconds
    And no promise is broken

    Examples:
      | trouble                      |
      | nothing happens              |
      | the holder of survey dies    |
      | a worker fails all its tasks |
      | the store goes down for 3 s  |

  Scenario: the same batch is submitted twice
    Given a running fleet
    And every VM is on record
    When 6 jobs of 1 second are submitted to pool survey
    And the same jobs are submitted again
    Then every job is done within 60 seconds
    And each job succeeded once
    And no promise is broken
