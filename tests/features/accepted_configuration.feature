Feature: An accepted configuration is in force everywhere and never reverts
  An operator edits one row and the command line reports that the edit is accepted.
  Within five seconds the edit is in force at every reachable entry VM, even if the
  store fails right after, and no entry VM ever reverts to an older table.

  Scenario: nothing goes wrong
    Given a running fleet
    When an operator sets weight 5 of partner west
    Then the edit is in force at every daemon within 5 seconds
    And every guarantee holds

  Scenario: the store goes down right after the edit
    Given a running fleet
    When an operator sets weight 6 of partner west
    And the store goes down
    Then the edit is in force at every daemon within 5 seconds
    And every guarantee holds

  Scenario: an entry VM starts while the store is down
    Given a running fleet
    When an operator sets weight 7 of partner west
    And the store goes down
    And a daemon is killed
    And the daemon is restarted
    Then the edit is in force at every daemon within 5 seconds
    And a read through daemon 1 is answered
    And every guarantee holds

  Scenario: an entry VM is paused during two edits
    Given a running fleet
    When a daemon is paused
    And an operator sets weight 8 of partner west
    And an operator sets weight 9 of partner west
    And the faults end
    Then the edit is in force at every daemon within 5 seconds
    And every guarantee holds

  Scenario: the reply of the write is lost
    Given a running fleet
    When the store loses replies
    And an operator sets weight 10 of partner west
    Then the edit is in force at every daemon within 5 seconds
    And the audit trail records it once
    And every guarantee holds

  Scenario: two operators race for one row
    Given a running fleet
    When two operators change partner west at the same moment
    Then one of them is accepted and the other reports the conflict
    And every guarantee holds
