Feature: A graceful shutdown interrupts no request in flight
  The daemon of an entry VM receives SIGTERM while it handles requests. It reports
  that it is not ready, serves requests until the balancer has noticed, completes
  the requests in flight, and exits. No caller sees a broken connection.

  Scenario: shutdown under load through the balancer
    Given a running fleet
    When the partners send 400 mixed requests over 4 seconds
    And at 40 % daemon 2 is terminated
    Then every call ends
    And daemon 2 exits with status 0
    And no connection of an attempt is broken
    And every guarantee holds
    And every request is answered

  Scenario: a long request is in flight
    Given a running fleet
    When a request that takes 2 seconds is sent to daemon 3
    And daemon 3 is terminated
    Then daemon 3 is not ready
    And every call ends
    And every request is answered
    And no connection of an attempt is broken
    And daemon 3 exits with status 0

  Scenario: the store is down during the shutdown
    Given a running fleet
    When the store goes down
    And a request that takes 1 seconds is sent to daemon 1
    And daemon 1 is terminated
    Then every call ends
    And every request is answered
    And daemon 1 exits with status 0
