Feature: Availability budgets hold and every VM reboots once in a wave
  Operators start a maintenance wave over a pool while partners send requests.
  The holder of the pool drains and reboots as many VMs at a time as the budget
  allows. If the holder is killed, or the store loses replies or goes down, the wave
  continues from the records, and no VM is rebooted twice or left out.

  Scenario Outline: a wave over pool consent while <trouble>
    Given a running fleet
    And every VM is recorded
    And reboots take 0.5 seconds
    When the partners send 300 mixed requests over 5 seconds
    And a wave over pool consent starts
    And at 30 % <trouble>
    And the faults end at 70 %
    Then every call ends
    And the wave is done within 45 seconds
    And every VM of pool consent was rebooted once
    And every guarantee holds
    And every repeatable request is answered
    And only requests affected by a fault end unknown
    And at most 3 % are refused as not run

    Examples:
      | trouble                     |
      | nothing happens             |
      | the holder of consent dies  |
      | the store loses replies     |
      | the store goes down         |

  Scenario: VMs move between pools under load
    Given a running fleet
    And every VM is recorded
    When the partners send 300 mixed requests over 5 seconds
    And 2 VMs move from pool consent to pool survey
    Then every call ends
    And the moves are done within 45 seconds
    And 6 VMs belong to pool consent and 6 to pool survey
    And every guarantee holds
    And every repeatable request is answered
    And only requests affected by a fault end unknown
    And at most 3 % are refused as not run
