Feature: An accepted configuration is in force everywhere and never reverts
  An operator edits one row and the command line says that it is accepted. Within
  five seconds every entry VM that can be reached works by it, whatever happens
  to the store right after, and none ever goes back to an older table.

  Scenario: nothing goes wrong
    Given a running fleet
    When an operator sets weight 5 of partner west
    Then the edit is in force at every daemon within 5 seconds
    And no promise is broken

  Scenario: the store goes down right after the edit
    Given a running fleet
    When an operator sets weight 6 of partner west
    And the store goes down
    Then the edit is in force at every daemon within 5 seconds
    And no promise is broken

  Scenario: an entry VM starts while the store is down
    Given a running fleet
    When an operator sets weight 7 of partner west
    And the store goes down
    And a daemon is killed
    And the daemon starts again
    Then the edit is in force at every daemon within 5 seconds
    And a read through daemon 1 is answered
    And no promise is broken

  Scenario: an entry VM sleeps through two edits
    Given a running fleet
    When a daemon is paused
    And an operator sets weight 8 of partner west
    And an operator sets weight 9 of partner west
    And all is well again
    Then the edit is in force at every daemon within 5 seconds
    And no promise is broken

  Scenario: the reply of the write is lost
    Given a running fleet
    When the store loses replies
    And an operator sets weight 10 of partner west
    Then the edit is in force at every daemon within 5 seconds
    And it stands once in the audit trail
    And no promise is broken

  Scenario: two operators race for one row
    Given a running fleet
    When two operators change partner west at the same moment
    Then one of them is accepted and the other is told of the conflict
    And no promise is broken
