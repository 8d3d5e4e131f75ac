Feature: A graceful shutdown cuts no request in flight
  An entry VM is told to end while callers' requests run through it. It says that
  it is no longer ready, goes on answering until the balancer has heard, lets what
  is in flight finish, and ends by itself. No caller sees a broken connection.

  Scenario: shutdown under load through the balancer
    Given a running fleet
    When the partners send 400 mixed requests over 4 seconds
    And at 40 % daemon 2 is told to end
    Then every call comes to its end
    And daemon 2 ended by itself with status 0
    And no attempt met a broken connection
    And no promise is broken
    And every request is answered

  Scenario: a long request is in flight
    Given a running fleet
    When a request that takes 2 seconds is sent to daemon 3
    And daemon 3 is told to end
    Then daemon 3 is not ready
    And every call comes to its end
    And every request is answered
    And no attempt met a broken connection
    And daemon 3 ended by itself with status 0

  Scenario: the store is down during the shutdown
    Given a running fleet
    When the store goes down
    And a request that takes 1 seconds is sent to daemon 1
    And daemon 1 is told to end
    Then every call comes to its end
    And every request is answered
    And daemon 1 ended by itself with status 0
