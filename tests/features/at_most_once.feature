Feature: A payment runs at most once
  A caller sends a payment with an Idempotency-Key to one entry VM. It gets no
  response, or an unknown outcome, and retries with the same key through another
  entry VM. Whatever fault occurs in between, upstream VMs run the key at most
  once, and a request that is refused as "not run" never runs.

  Scenario Outline: <trouble> before the payment is claimed
    Given a running fleet
    When <trouble>
    And a payment is sent to daemon 1, and repeated through daemon 2
    And the faults end
    Then every call ends
    And the payment ran once
    And every guarantee holds

    Examples:
      | trouble                           |
      | the store loses replies           |
      | the store is slow                 |
      | the store's connections go silent |
      | upstream connections go silent    |

  Scenario Outline: <trouble> while the payment runs
    Given a running fleet
    When a long payment is sent to daemon 1, and repeated through daemon 2
    And it runs
    And <trouble>
    And the faults end after the first attempt
    Then every call ends
    And the payment ran once
    And every guarantee holds

    Examples:
      | trouble                 |
      | a daemon is killed      |
      | a daemon is paused      |
      | the store goes down     |
      | the store loses replies |

  Scenario Outline: the answer is lost: <trouble>
    Given a running fleet
    When <trouble>
    And a payment is sent to daemon 1, and repeated through daemon 2
    Then every call ends
    And the payment ran once
    And every guarantee holds

    Examples:
      | trouble                        |
      | upstream VMs cut their answers |
      | upstream VMs lose answers      |

  Scenario: the same key comes through two entry VMs at once
    Given a running fleet
    When 20 payments are sent to daemons 1 and 2 at the same moment
    Then every call ends
    And each payment ran once
    And every guarantee holds

  Scenario: a key comes again with another body
    Given a running fleet
    When a payment is sent to daemon 1, and repeated through daemon 2
    And the same key is sent with another body to daemon 3
    Then every call ends
    And the other body is refused with status 422
    And the payment ran once

  Scenario: the store is down when the payment comes
    Given a running fleet
    When the store goes down
    And a payment is sent once to daemon 1
    Then every call ends
    And the caller is told that the outcome is unknown
    And the payment ran 0 times
    When the faults end
    And the payment is sent again through daemon 2
    Then every call ends
    And the payment ran once
    And every guarantee holds
